#include "measures.h"

#include <algorithm>
#include <cmath>

namespace galenafork::pvt
{

namespace
{

namespace acc = boost::accumulators;

// Answers kept for the upper percentiles; p99 is exact up to a hundred times
// as many answers.
constexpr std::size_t tail_size = 20000;

// When load must be even again after a change, and how long it is watched.
constexpr duration settling_time = std::chrono::seconds(5);
constexpr duration settled_time = std::chrono::seconds(5);

double seconds(duration d)
{
    return static_cast<double>(d.count()) / 1e6;
}

// Load of a member that takes no flows.
constexpr double closed = -1;

bool is_open(double load)
{
    return load >= 0;
}

double ratio(double part, double whole)
{
    return whole > 0 ? part / whole : 0;
}

// Highest over mean if the requests in flight were dealt out evenly.
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

evenness evenness_of(const std::vector<double>& loads)
{
    acc::accumulator_set<double, acc::stats<acc::tag::max, acc::tag::variance>>
        set;
    for (const double load : loads)
    {
        if (load >= 0)
        {
            set(load);
        }
    }
    const double mean = acc::count(set) == 0 ? 0 : acc::mean(set);
    if (mean <= 0)
    {
        return {};
    }
    const double variance = std::max(acc::variance(set), 0.0);
    return {acc::max(set) / mean, std::sqrt(variance) / mean};
}

recorder::recorder(const std::vector<upstream>& members, instant from,
                   instant to, instant fault_at)
    : from_(from), to_(to), fault_at_(fault_at), load_(members.size(), 0),
      window_load_(members.size(), 0), window_open_(members.size(), true),
      admitted_by_(members.size(), 0), admitted_after_fault_(members.size(), 0),
      times_(acc::quantile_probability = 0.5,
             acc::tag::tail<acc::right>::cache_size = tail_size)
{
    for (const upstream& u : members)
    {
        data_centre_.push_back(u.data_centre_);
        slots_.push_back(u.slots_.value());
    }
}

bool recorder::counts(instant now) const
{
    return now >= from_ && now < to_;
}

void recorder::advance(instant now)
{
    while (now_ < now)
    {
        const instant step = std::min(now, window_from_ + window_length);
        if (counts(now_))
        {
            add_moment(step - now_);
        }
        add_to_window(step - now_);
        now_ = step;
        if (now_ == window_from_ + window_length)
        {
            close_window();
        }
    }
}

void recorder::add_moment(duration span)
{
    const evenness moment = evenness_of(load_);
    moment_sum_.max_over_mean_ += moment.max_over_mean_ * seconds(span);
    moment_sum_.variation_ += moment.variation_ * seconds(span);
    integer_bound_sum_ += integer_bound(load_, slots_.front()) * seconds(span);
    moment_time_ += seconds(span);
}

void recorder::add_to_window(duration span)
{
    for (std::size_t i = 0; i < load_.size(); ++i)
    {
        window_load_[i] += std::max(load_[i], 0.0) * seconds(span);
        window_open_[i] = window_open_[i] && is_open(load_[i]);
    }
}

void recorder::close_window()
{
    load_window window{window_from_, window_load_};
    for (std::size_t i = 0; i < window.load_.size(); ++i)
    {
        window.load_[i] =
            window_open_[i] ? window.load_[i] / seconds(window_length) : closed;
        window_open_[i] = is_open(load_[i]);
    }
    windows_.push_back(std::move(window));
    std::fill(window_load_.begin(), window_load_.end(), 0);
    window_from_ += window_length;
}

void recorder::load_changed(std::size_t member, const upstream& u)
{
    const bool open = u.alive_ && !u.draining_;
    load_[member] = open ? in_flight(u) / slots_[member] : closed;
}

void recorder::request_sent(instant now, bool repeat)
{
    if (counts(now))
    {
        ++(repeat ? repeats_sent_ : sent_);
    }
}

void recorder::request_refused(instant now)
{
    refused_ += counts(now) ? 1 : 0;
}

void recorder::request_admitted(instant now, bool repeat, std::size_t member)
{
    ++(repeat ? repeats_admitted_ : firsts_admitted_);
    if (!counts(now))
    {
        return;
    }
    ++admitted_by_[member];
    admitted_after_fault_[member] += now >= fault_at_ ? 1 : 0;
}

void recorder::request_answered(instant now, duration taken, bool in_time)
{
    if (!counts(now))
    {
        return;
    }
    times_(static_cast<double>(taken.count()) / 1e3);
    ++(in_time ? in_time_ : failed_);
}

void recorder::request_failed(instant now)
{
    failed_ += counts(now) ? 1 : 0;
}

void recorder::flow_opened(instant now, bool given_away, bool on_draining)
{
    if (on_draining)
    {
        last_open_after_drain_ = now - fault_at_;
    }
    if (counts(now))
    {
        ++opened_;
        given_away_ += given_away ? 1 : 0;
    }
}

void recorder::flow_broken(instant now)
{
    broken_ += counts(now) ? 1 : 0;
}

evenness recorder::mean_of_windows(instant from, instant to) const
{
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> max_over_mean;
    acc::accumulator_set<double, acc::stats<acc::tag::mean>> variation;
    for (const load_window& window : windows_)
    {
        if (window.from_ >= from && window.from_ + window_length <= to)
        {
            const evenness e = evenness_of(window.load_);
            max_over_mean(e.max_over_mean_);
            variation(e.variation_);
        }
    }
    if (acc::count(max_over_mean) == 0)
    {
        return {};
    }
    return {acc::mean(max_over_mean), acc::mean(variation)};
}

evenness recorder::whole_run() const
{
    std::vector<double> sums(load_.size(), 0);
    for (const load_window& window : windows_)
    {
        for (std::size_t i = 0; i < sums.size() && window.from_ >= from_; ++i)
        {
            sums[i] += std::max(window.load_[i], 0.0);
        }
    }
    for (std::size_t i = 0; i < sums.size(); ++i)
    {
        sums[i] = is_open(load_[i]) ? sums[i] : closed;
    }
    return evenness_of(sums);
}

evenness recorder::of_data_centres() const
{
    const std::size_t count =
        1 + *std::max_element(data_centre_.begin(), data_centre_.end());
    std::vector<double> requests(count, 0);
    std::vector<double> slots(count, 0);
    for (std::size_t i = 0; i < slots_.size(); ++i)
    {
        requests[data_centre_[i]] += static_cast<double>(admitted_by_[i]);
        slots[data_centre_[i]] += slots_[i];
    }
    for (std::size_t i = 0; i < count; ++i)
    {
        requests[i] = ratio(requests[i], slots[i]);
    }
    return evenness_of(requests);
}

figures recorder::result(double capacity) const
{
    figures f;
    const double length = seconds(to_ - from_);
    f.now_ = {ratio(moment_sum_.max_over_mean_, moment_time_),
              ratio(moment_sum_.variation_, moment_time_)};
    f.integer_bound_ = ratio(integer_bound_sum_, moment_time_);
    f.per_second_ = mean_of_windows(from_, to_);
    f.whole_ = whole_run();
    f.after_change_ = mean_of_windows(fault_at_ + settling_time,
                                      fault_at_ + settling_time + settled_time);
    f.data_centres_ = of_data_centres();
    f.p50_ms_ = acc::p_square_quantile(times_);
    f.p99_ms_ = acc::quantile(times_, acc::quantile_probability = 0.99);
    f.p999_ms_ = acc::quantile(times_, acc::quantile_probability = 0.999);
    f.goodput_ = static_cast<double>(in_time_) / (length * capacity);
    f.offered_ = static_cast<double>(sent_) / (length * capacity);
    const double all_sent = static_cast<double>(sent_ + repeats_sent_);
    f.refused_share_ = ratio(static_cast<double>(refused_), all_sent);
    f.failed_share_ =
        ratio(static_cast<double>(failed_), static_cast<double>(sent_));
    f.retries_sent_ =
        ratio(static_cast<double>(repeats_sent_), static_cast<double>(sent_));
    f.retries_admitted_ = ratio(static_cast<double>(repeats_admitted_),
                                static_cast<double>(firsts_admitted_));
    double after_fault = 0;
    for (const std::uint64_t n : admitted_after_fault_)
    {
        after_fault += static_cast<double>(n);
    }
    f.first_member_share_ =
        ratio(static_cast<double>(admitted_after_fault_.front()), after_fault);
    f.broken_flows_ = broken_;
    f.last_open_after_drain_ms_ = seconds(last_open_after_drain_) * 1e3;
    f.given_away_ =
        ratio(static_cast<double>(given_away_), static_cast<double>(opened_));
    f.requests_ = sent_;
    return f;
}

} // namespace galenafork::pvt
