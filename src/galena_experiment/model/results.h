/// \file
/// Results of an experiment, as JSON lines.

#ifndef GALENAFORK_EXPERIMENT_RESULTS_H
#define GALENAFORK_EXPERIMENT_RESULTS_H

#include "measures.h"
#include "strategy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenafork::pvt
{

/// Figures of one scenario of one service under one strategy.
struct result
{
    std::string service_;
    scenario scenario_;
    strategy strategy_ = strategy::policy;
    figures figures_;
    std::vector<load_window> windows_;
};

/// Every result of an experiment file.
using results = std::vector<result>;

/// Runs every scenario of every service under each of `strategies` that
/// applies: the same trace for all of them.
results run_all(const experiment_setup& setup, std::uint64_t seed,
                const std::vector<strategy>& strategies);

/// Runs `run_all` for `count` seeds from `first` on.
std::vector<results> run_seeds(const experiment_setup& setup,
                               std::uint64_t first, std::uint64_t count,
                               const std::vector<strategy>& strategies);

/// Each result with the mean of its figures over the seeds.
results mean_of(const std::vector<results>& by_seed);

/// The result of `service`, `scenario` and `s`, or null.
const result* find_result(const results& all, const std::string& service,
                          const std::string& scenario, strategy s);

/// One line of JSON for `r`: its figures and, for each baseline of the same
/// scenario, the ratio of `r`'s figures to the baseline's.
std::string to_json_line(const result& r, const results& all);

} // namespace galenafork::pvt

#endif
