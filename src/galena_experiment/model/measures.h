/// \file
/// What a run records, and the figures drawn from it.

#ifndef GALENAFORK_EXPERIMENT_MEASURES_H
#define GALENAFORK_EXPERIMENT_MEASURES_H

#include "upstream.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdint>
#include <vector>

namespace galenafork::pvt
{

/// Highest load over mean load, and the coefficient of variation.
struct evenness
{
    double max_over_mean_ = 1;
    double variation_ = 0;
};

/// Evenness of those of `loads` that are not negative; even if all are zero.
evenness evenness_of(const std::vector<double>& loads);

/// Length of the windows over which load is averaged.
inline constexpr duration window_length = std::chrono::seconds(1);

/// Load of each member over one window, in requests per slot; negative for a
/// member that could take no flow in it.
struct load_window
{
    instant from_;
    std::vector<double> load_;
};

/// The figures of one run.
struct figures
{
    /// Of requests in flight per slot: at each moment, averaged over time.
    evenness now_;
    /// Of averages over one-second windows, averaged over the windows.
    evenness per_second_;
    /// Of the averages over the run.
    evenness whole_;
    /// The lowest that `now_.max_over_mean_` could be with as many requests in
    /// flight, were each moved freely at any moment: requests are whole.
    /// Holds for members with equal slots.
    double integer_bound_ = 0;
    /// As `per_second_`, from 5 s to 10 s after the fault.
    evenness after_change_;
    /// Of requests for each slot of a data centre.
    evenness data_centres_;
    double p50_ms_ = 0;
    double p99_ms_ = 0;
    double p999_ms_ = 0;
    /// Answers in time, as a share of what all slots can do.
    double goodput_ = 0;
    /// Requests that callers sent, without retries, as a share of what all
    /// slots can do: less than the load asked for if answers hold flows up.
    double offered_ = 0;
    /// Refusals for each request sent.
    double refused_share_ = 0;
    /// Requests that got no answer in time, after all retries.
    double failed_share_ = 0;
    /// Retries that callers sent for each request.
    double retries_sent_ = 0;
    /// Retries that were admitted for each first request that was, from the
    /// very start: the budget's promise holds over any history.
    double retries_admitted_ = 0;
    /// Share of the requests that the first member ran after the fault.
    double first_member_share_ = 0;
    /// Flows that lost their owner.
    std::uint64_t broken_flows_ = 0;
    /// From the drain to the last flow opened on the draining member, in
    /// milliseconds.
    double last_open_after_drain_ms_ = 0;
    /// Share of flows that their home gave away.
    double given_away_ = 0;
    std::uint64_t requests_ = 0;
};

/// The mean of each figure over several runs, the sum of `requests_` and
/// `broken_flows_`; `runs` must not be empty.
figures mean_of(const std::vector<figures>& runs);

/// Collects the events of one run after its warm-up.
class recorder
{
public:
    recorder(const std::vector<upstream>& members, instant from, instant to,
             instant fault_at);

    /// Brings load up to `now`; call it before any member's load changes.
    void advance(instant now);

    /// A member's count changed, or whether it takes flows.
    void load_changed(std::size_t member, const upstream& u);

    void request_sent(instant now, bool repeat);
    void request_refused(instant now);
    void request_admitted(instant now, bool repeat, std::size_t member);
    void request_answered(instant now, duration taken, bool in_time);
    void request_failed(instant now);
    void flow_opened(instant now, bool given_away, bool on_draining);
    void flow_broken(instant now);

    /// The figures; `capacity` is in requests per second.
    figures result(double capacity) const;

    /// Load of each member, second by second, warm-up included.
    const std::vector<load_window>& windows() const
    {
        return windows_;
    }

private:
    using time_statistics = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                   boost::accumulators::tag::tail_quantile<
                                       boost::accumulators::right>>>;

    bool counts(instant now) const;
    void add_moment(duration span);
    void add_to_window(duration span);
    void close_window();
    evenness mean_of_windows(instant from, instant to) const;
    evenness whole_run() const;
    evenness of_data_centres() const;

    instant from_;
    instant to_;
    instant fault_at_;
    instant now_;
    instant window_from_;
    std::vector<std::size_t> data_centre_;
    std::vector<double> slots_;
    /// Requests per slot at `now_`; negative for a member that takes no flow.
    std::vector<double> load_;
    std::vector<double> window_load_;
    std::vector<bool> window_open_;
    std::vector<load_window> windows_;
    double moment_time_ = 0;
    evenness moment_sum_{0, 0};
    double integer_bound_sum_ = 0;
    std::vector<std::uint64_t> admitted_by_;
    std::vector<std::uint64_t> admitted_after_fault_;
    time_statistics times_;
    std::uint64_t sent_ = 0;
    std::uint64_t repeats_sent_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t firsts_admitted_ = 0;
    std::uint64_t repeats_admitted_ = 0;
    std::uint64_t in_time_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t opened_ = 0;
    std::uint64_t given_away_ = 0;
    std::uint64_t broken_ = 0;
    duration last_open_after_drain_{0};
};

} // namespace galenafork::pvt

#endif
