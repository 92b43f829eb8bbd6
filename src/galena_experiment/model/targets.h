/// \file
/// The targets that the policy has to meet, checked against results.

#ifndef GALENAFORK_EXPERIMENT_TARGETS_H
#define GALENAFORK_EXPERIMENT_TARGETS_H

#include "results.h"

#include <string>
#include <vector>

namespace galenafork::pvt
{

/// How a figure compares with its target.
enum class target_outcome
{
    met,
    /// Missed, but the omniscient strategy misses it in the same run too, and
    /// the figure is close to that strategy's.
    limit,
    missed,
};

/// `met`, `limit` or `missed`.
const char* to_string(target_outcome outcome);

/// One target checked on one service and scenario.
struct target_check
{
    std::string service_;
    std::string scenario_;
    std::string target_;
    double value_ = 0;
    /// The highest value under a single seed.
    double worst_ = 0;
    /// What `value_` may be at most.
    double bound_ = 0;
    /// The same figure under the omniscient strategy, where it marks a limit.
    double limit_ = 0;
    /// What whole requests allow at best, see `figures::integer_bound_`.
    double integer_bound_ = 0;
    target_outcome outcome_ = target_outcome::missed;
};

/// Scenario names that `check_targets` looks for.
inline constexpr const char* unloaded_scenario = "unloaded";
inline constexpr const char* steady_scenario = "steady";

/// Checks every target on every service, on the mean over the seeds: five
/// seconds of a few servers with long flows vary by more than the targets leave
/// room for, so `worst_` tells of single seeds. The scenarios `unloaded`
/// and `steady` must be among them, else the checks that need them are absent.
std::vector<target_check> check_targets(const std::vector<results>& by_seed);

/// One line of JSON.
std::string to_json_line(const target_check& check);

} // namespace galenafork::pvt

#endif
