/// \file
/// Metrics of one run, and their recorder.

#ifndef GALENAFORK_EXPERIMENT_RUN_METRICS_H
#define GALENAFORK_EXPERIMENT_RUN_METRICS_H

#include "simulated_member.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <cstdint>
#include <vector>

namespace galenafork::pvt
{

/// Imbalance of load: highest over mean load, and coefficient of variation.
struct imbalance
{
    double max_over_mean_ = 1;
    double variation_ = 0;
};

/// Returns the imbalance of those of `loads` that are not negative: {1, 0},
/// perfect balance, if there are none or all are zero.
imbalance measure_imbalance(const std::vector<double>& loads);

/// Length of the windows over which load is averaged.
inline constexpr duration window_length = std::chrono::seconds(1);

/// Load of each member, averaged over one window, in requests in flight per
/// slot; negative for a member that did not accept flows at some time in the
/// window.
struct load_window
{
    instant starts_at_;
    std::vector<double> load_;
};

/// Metrics of one run. They cover the measured period unless stated otherwise.
struct run_metrics
{
    /// Mean over time of the imbalance of requests in flight per slot.
    imbalance instantaneous_;
    /// Mean imbalance of the load in one-second windows.
    imbalance one_second_windows_;
    /// Imbalance of the load averaged over the measured period, of the members
    /// that accept flows at its end. Windows in which a member accepted no
    /// flows at some time count as windows without load.
    imbalance whole_run_;
    /// Lower bound of `instantaneous_.max_over_mean_` for the same requests in
    /// flight, if they could be moved between members at any moment. It can be
    /// above 1 because requests are indivisible. Valid for members with equal
    /// slots.
    double integer_bound_ = 0;
    /// Mean imbalance of the load in the one-second windows from 5 s to 10 s
    /// after the fault.
    imbalance after_change_;
    /// Imbalance between data centres of admitted requests per slot.
    imbalance across_data_centres_;
    /// Percentiles of the time from the first attempt of a request to its
    /// answer, late answers included.
    double p50_ms_ = 0;
    double p99_ms_ = 0;
    double p999_ms_ = 0;
    /// Answers within the deadline, as a fraction of the service's capacity.
    double goodput_ = 0;
    /// Requests that callers sent, without retries, as a fraction of the
    /// capacity. It is below the scenario's load if slow answers delay the
    /// later requests of flows.
    double offered_load_ = 0;
    /// Refusals per attempt sent, retries included. A queued request that is
    /// dropped after its deadline counts as refused.
    double refused_fraction_ = 0;
    /// Fraction of the requests without an answer within the deadline after all
    /// retries.
    double failed_fraction_ = 0;
    /// Retries that callers sent, per request.
    double retries_per_request_ = 0;
    /// Retries admitted per first attempt admitted. It is counted from the
    /// start of the run, because the retry budget limits this ratio over the
    /// whole history of a member.
    double admitted_retry_ratio_ = 0;
    /// Fraction of the requests admitted after the fault that the first member
    /// admitted.
    double first_member_fraction_ = 0;
    /// Flows that lost their owner and then sent another request.
    std::uint64_t broken_flows_ = 0;
    /// Time from the drain to the last flow opened on the draining member.
    double last_open_after_drain_ms_ = 0;
    /// Fraction of the flows that their home placed on another member.
    double placed_off_home_fraction_ = 0;
    /// Requests that callers sent, without retries.
    std::uint64_t requests_ = 0;
};

/// Returns the mean of each metric over `runs`, except that `requests_` and
/// `broken_flows_` are sums. `runs` must not be empty.
run_metrics mean_of(const std::vector<run_metrics>& runs);

/// Records the events of one run and computes its metrics.
class metrics_recorder
{
public:
    metrics_recorder(const std::vector<simulated_member>& members,
                     instant measured_from, instant measured_until,
                     instant fault_at);

    /// Accounts for the members' load up to `now`. It must be called before the
    /// load of any member changes.
    void advance(instant now);

    /// Records the load of a member. It must be called after each change of the
    /// member's requests in flight, or of whether it accepts flows.
    void load_changed(std::size_t member, const simulated_member& m);

    void request_sent(instant now, bool is_retry);
    void request_refused(instant now);
    void request_admitted(instant now, bool is_retry, std::size_t member);
    void request_answered(instant now, duration response_time, bool in_time);
    void request_failed(instant now);
    void flow_opened(instant now, bool off_home, bool on_draining_member);
    void flow_broken(instant now);

    /// Computes the metrics of the run; `capacity` is in requests per second.
    run_metrics summarize(double capacity) const;

    /// Returns the load of each member in each window, warm-up included.
    const std::vector<load_window>& windows() const
    {
        return windows_;
    }

private:
    using response_time_statistics = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::p_square_quantile,
                                   boost::accumulators::tag::tail_quantile<
                                       boost::accumulators::right>>>;

    bool in_measured_period(instant now) const;
    void accumulate_instantaneous(duration span);
    void accumulate_window(duration span);
    void close_window();
    imbalance mean_window_imbalance(instant from, instant until) const;
    imbalance whole_run_imbalance() const;
    imbalance data_centre_imbalance() const;

    instant measured_from_;
    instant measured_until_;
    instant fault_at_;
    instant now_;
    instant window_start_;
    std::vector<std::size_t> member_data_centres_;
    std::vector<double> slots_;
    /// Requests in flight per slot at `now_`; negative for a member that
    /// accepts no flows.
    std::vector<double> load_;
    /// Integral over time, in seconds, of `load_` in the current window.
    std::vector<double> window_load_integral_;
    /// True for members that accepted flows during the whole current window.
    std::vector<bool> open_whole_window_;
    std::vector<load_window> windows_;
    double measured_seconds_ = 0;
    imbalance instantaneous_integral_{0, 0};
    double integer_bound_integral_ = 0;
    std::vector<std::uint64_t> admitted_by_member_;
    std::vector<std::uint64_t> admitted_after_fault_;
    response_time_statistics response_times_ms_;
    std::uint64_t first_attempts_sent_ = 0;
    std::uint64_t retries_sent_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t first_attempts_admitted_ = 0;
    std::uint64_t retries_admitted_ = 0;
    std::uint64_t answered_in_time_ = 0;
    std::uint64_t failed_ = 0;
    std::uint64_t flows_opened_ = 0;
    std::uint64_t placed_off_home_ = 0;
    std::uint64_t broken_flows_ = 0;
    duration last_flow_after_drain_{0};
};

} // namespace galenafork::pvt

#endif
