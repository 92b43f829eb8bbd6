#include "run_metrics.h"

#include <algorithm>
#include <cmath>

namespace galenafork::pvt
{

namespace
{

namespace acc = boost::accumulators;

// Number of the longest response times that are kept for the upper percentiles.
// p99 is exact for up to a hundred times as many answers.
constexpr std::size_t max_tail_samples = 20000;

// Time after a fault within which load must be balanced again, and length of
// the period after it for which the imbalance is measured.
constexpr duration rebalancing_time = std::chrono::seconds(5);
constexpr duration after_change_length = std::chrono::seconds(5);

double seconds(duration d)
{
    return static_cast<double>(d.count()) / 1e6;
}

// Value that stands for the load of a member that accepts no flows.
constexpr double closed_member_load = -1;

bool is_open(double load)
{
    return load >= 0;
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

// Returns the highest over the mean load if the requests in flight were
// distributed evenly over the open members, which have `slots` slots each.
double integer_bound(const std::vector<double>& loads, double slots)
{
    double requests = 0;
    double members = 0;
    for (const double load : loads)
    {
        requests += std::max(load, 0.0) * slots;
        members += is_open(load) ? 1 : 0;
    }
    const double mean = ratio(std::round(requests), members);
    return mean > 0 ? std::ceil(mean) / mean : 1;
}

} // namespace

imbalance measure_imbalance(const std::vector<double>& loads)
{
    acc::accumulator_set<double, acc::stats<acc::tag::max, acc::tag::variance>>
        statistics;
    for (const double load : loads)
    {
        if (load >= 0)
        {
            statistics(load);
        }
    }
    const double mean = acc::count(statistics) == 0 ? 0 : acc::mean(statistics);
    if (mean <= 0)
    {
        return {};
    }
    const double variance = std::max(acc::variance(statistics), 0.0);
    return {acc::max(statistics) / mean, std::sqrt(variance) / mean};
}

metrics_recorder::metrics_recorder(const std::vector<simulated_member>& members,
                                   instant measured_from,
                                   instant measured_until, instant fault_at)
    : measured_from_(measured_from), measured_until_(measured_until),
      fault_at_(fault_at), load_(members.size(), 0),
      window_load_integral_(members.size(), 0),
      open_whole_window_(members.size(), true),
      admitted_by_member_(members.size(), 0),
      admitted_after_fault_(members.size(), 0),
      response_times_ms_(acc::quantile_probability = 0.5,
                         acc::tag::tail<acc::right>::cache_size =
                             max_tail_samples)
{
    for (const simulated_member& m : members)
    {
        member_data_centres_.push_back(m.data_centre_);
        slots_.push_back(m.slots_.value());
    }
}

bool metrics_recorder::in_measured_period(instant now) const
{
    return now >= measured_from_ && now < measured_until_;
}

void metrics_recorder::advance(instant now)
{
    while (now_ < now)
    {
        const instant span_end = std::min(now, window_start_ + window_length);
        if (in_measured_period(now_))
        {
            accumulate_instantaneous(span_end - now_);
        }
        accumulate_window(span_end - now_);
        now_ = span_end;
        if (now_ == window_start_ + window_length)
        {
            close_window();
        }
    }
}

void metrics_recorder::accumulate_instantaneous(duration span)
{
    const imbalance current = measure_imbalance(load_);
    instantaneous_integral_.max_over_mean_ +=
        current.max_over_mean_ * seconds(span);
    instantaneous_integral_.variation_ += current.variation_ * seconds(span);
    integer_bound_integral_ +=
        integer_bound(load_, slots_.front()) * seconds(span);
    measured_seconds_ += seconds(span);
}

void metrics_recorder::accumulate_window(duration span)
{
    for (std::size_t i = 0; i < load_.size(); ++i)
    {
        window_load_integral_[i] += std::max(load_[i], 0.0) * seconds(span);
        open_whole_window_[i] = open_whole_window_[i] && is_open(load_[i]);
    }
}

void metrics_recorder::close_window()
{
    load_window window{window_start_, window_load_integral_};
    for (std::size_t i = 0; i < window.load_.size(); ++i)
    {
        window.load_[i] = open_whole_window_[i]
                              ? window.load_[i] / seconds(window_length)
                              : closed_member_load;
        open_whole_window_[i] = is_open(load_[i]);
    }
    windows_.push_back(std::move(window));
    std::fill(window_load_integral_.begin(), window_load_integral_.end(), 0);
    window_start_ += window_length;
}

void metrics_recorder::load_changed(std::size_t member,
                                    const simulated_member& m)
{
    const bool open = m.present_ && !m.draining_;
    load_[member] = open ? in_flight(m) / slots_[member] : closed_member_load;
}

void metrics_recorder::request_sent(instant now, bool is_retry)
{
    if (in_measured_period(now))
    {
        ++(is_retry ? retries_sent_ : first_attempts_sent_);
    }
}

void metrics_recorder::request_refused(instant now)
{
    refused_ += in_measured_period(now) ? 1 : 0;
}

void metrics_recorder::request_admitted(instant now, bool is_retry,
                                        std::size_t member)
{
    ++(is_retry ? retries_admitted_ : first_attempts_admitted_);
    if (!in_measured_period(now))
    {
        return;
    }
    ++admitted_by_member_[member];
    admitted_after_fault_[member] += now >= fault_at_ ? 1 : 0;
}

void metrics_recorder::request_answered(instant now, duration response_time,
                                        bool in_time)
{
    if (!in_measured_period(now))
    {
        return;
    }
    response_times_ms_(static_cast<double>(response_time.count()) / 1e3);
    ++(in_time ? answered_in_time_ : failed_);
}

void metrics_recorder::request_failed(instant now)
{
    failed_ += in_measured_period(now) ? 1 : 0;
}

void metrics_recorder::flow_opened(instant now, bool off_home,
                                   bool on_draining_member)
{
    if (on_draining_member)
    {
        last_flow_after_drain_ = now - fault_at_;
    }
    if (in_measured_period(now))
    {
        ++flows_opened_;
        placed_off_home_ += off_home ? 1 : 0;
    }
}

void metrics_recorder::flow_broken(instant now)
{
    broken_flows_ += in_measured_period(now) ? 1 : 0;
}

imbalance metrics_recorder::mean_window_imbalance(instant from,
                                                  instant until) const
{
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> max_over_mean;
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> variation;
    for (const load_window& window : windows_)
    {
        if (window.starts_at_ >= from &&
            window.starts_at_ + window_length <= until)
        {
            const imbalance in_window = measure_imbalance(window.load_);
            max_over_mean(in_window.max_over_mean_);
            variation(in_window.variation_);
        }
    }
    if (acc::count(max_over_mean) == 0)
    {
        return {};
    }
    return {acc::mean(max_over_mean), acc::mean(variation)};
}

imbalance metrics_recorder::whole_run_imbalance() const
{
    std::vector<double> sums(load_.size(), 0);
    for (const load_window& window : windows_)
    {
        for (std::size_t i = 0;
             i < sums.size() && window.starts_at_ >= measured_from_; ++i)
        {
            sums[i] += std::max(window.load_[i], 0.0);
        }
    }
    for (std::size_t i = 0; i < sums.size(); ++i)
    {
        sums[i] = is_open(load_[i]) ? sums[i] : closed_member_load;
    }
    return measure_imbalance(sums);
}

imbalance metrics_recorder::data_centre_imbalance() const
{
    const std::size_t count =
        1 + *std::max_element(member_data_centres_.begin(),
                              member_data_centres_.end());
    std::vector<double> requests(count, 0);
    std::vector<double> slots(count, 0);
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        requests[member_data_centres_[i]] +=
            static_cast<double>(admitted_by_member_[i]);
        slots[member_data_centres_[i]] += slots_[i];
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        requests[i] = ratio(requests[i], slots[i]);
    }
    return measure_imbalance(requests);
}

run_metrics metrics_recorder::summarize(double capacity) const
{
    run_metrics metrics;
    const double measured_length_s = seconds(measured_until_ - measured_from_);
    metrics.instantaneous_ = {
        ratio(instantaneous_integral_.max_over_mean_, measured_seconds_),
        ratio(instantaneous_integral_.variation_, measured_seconds_)};
    metrics.integer_bound_ = ratio(integer_bound_integral_, measured_seconds_);
    metrics.one_second_windows_ =
        mean_window_imbalance(measured_from_, measured_until_);
    metrics.whole_run_ = whole_run_imbalance();
    metrics.after_change_ = mean_window_imbalance(fault_at_ + rebalancing_time,
                                                  fault_at_ + rebalancing_time +
                                                      after_change_length);
    metrics.across_data_centres_ = data_centre_imbalance();
    metrics.p50_ms_ = acc::p_square_quantile(response_times_ms_);
    metrics.p99_ms_ =
        acc::quantile(response_times_ms_, acc::quantile_probability = 0.99);
    metrics.p999_ms_ =
        acc::quantile(response_times_ms_, acc::quantile_probability = 0.999);
    metrics.goodput_ =
        static_cast<double>(answered_in_time_) / (measured_length_s * capacity);
    metrics.offered_load_ = static_cast<double>(first_attempts_sent_) /
                            (measured_length_s * capacity);
    const double attempts_sent =
        static_cast<double>(first_attempts_sent_ + retries_sent_);
    metrics.refused_fraction_ =
        ratio(static_cast<double>(refused_), attempts_sent);
    metrics.failed_fraction_ = ratio(static_cast<double>(failed_),
                                     static_cast<double>(first_attempts_sent_));
    metrics.retries_per_request_ =
        ratio(static_cast<double>(retries_sent_),
              static_cast<double>(first_attempts_sent_));
    metrics.admitted_retry_ratio_ =
        ratio(static_cast<double>(retries_admitted_),
              static_cast<double>(first_attempts_admitted_));
    double after_fault = 0;
    for (const std::uint64_t n : admitted_after_fault_)
    {
        after_fault += static_cast<double>(n);
    }
    metrics.first_member_fraction_ =
        ratio(static_cast<double>(admitted_after_fault_.front()), after_fault);
    metrics.broken_flows_ = broken_flows_;
    metrics.last_open_after_drain_ms_ = seconds(last_flow_after_drain_) * 1e3;
    metrics.placed_off_home_fraction_ =
        ratio(static_cast<double>(placed_off_home_),
              static_cast<double>(flows_opened_));
    metrics.requests_ = first_attempts_sent_;
    return metrics;
}

} // namespace galenafork::pvt
