/// \file
/// Checks whether the load policy meets its targets.

#ifndef GALENAFORK_EXPERIMENT_TARGETS_H
#define GALENAFORK_EXPERIMENT_TARGETS_H

#include "results.h"

#include <string>
#include <vector>

namespace galenafork::pvt
{

/// How a metric compares with its target.
enum class target_outcome
{
    met,
    /// The target is missed, but the omniscient strategy misses it in the same
    /// scenario too, and the metric is close to that strategy's.
    at_limit,
    missed,
};

/// Returns "met", "limit" for `at_limit`, or "missed".
const char* to_string(target_outcome outcome);

/// Check of one target in one scenario of one service.
struct target_check
{
    std::string service_;
    std::string scenario_;
    std::string target_;
    /// Value of the metric in the `mean_of` the seeds, which is a sum for
    /// `broken_flows`.
    double value_ = 0;
    /// Highest value of a single seed.
    double worst_seed_value_ = 0;
    /// Highest `value_` that meets the target.
    double max_value_ = 0;
    /// The same metric under the omniscient strategy; zero for targets that are
    /// not compared with it.
    double omniscient_value_ = 0;
    /// `run_metrics::integer_bound_`; zero for other targets than
    /// `max_over_mean_now`.
    double integer_bound_ = 0;
    target_outcome outcome_ = target_outcome::missed;
};

/// Names of the scenarios with which `check_targets` compares others.
inline constexpr const char* unloaded_scenario = "unloaded";
inline constexpr const char* steady_scenario = "steady";

/// Checks all targets of all services against the means over the seeds, because
/// a metric of five seconds on a few servers with long flows varies between
/// seeds by more than the margin of its target. Results of
/// `strategy::omniscient` must be present. Without the scenarios `unloaded` and
/// `steady`, the checks that need them are absent.
std::vector<target_check> check_targets(const std::vector<results>& by_seed);

/// Formats `check` as one line of JSON.
std::string to_json_line(const target_check& check);

} // namespace galenafork::pvt

#endif
