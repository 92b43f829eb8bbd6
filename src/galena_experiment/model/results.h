/// \file
/// Results of an experiment, and their output as JSON lines.

#ifndef GALENAFORK_EXPERIMENT_RESULTS_H
#define GALENAFORK_EXPERIMENT_RESULTS_H

#include "run_metrics.h"
#include "strategy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace galenafork::pvt
{

/// Metrics of one scenario of one service under one strategy.
struct result
{
    std::string service_;
    scenario scenario_;
    strategy strategy_ = strategy::policy;
    run_metrics metrics_;
    std::vector<load_window> windows_;
};

/// Results of all runs of a setup file.
using results = std::vector<result>;

/// Runs every scenario of every service under each of `strategies` and returns
/// the results. All strategies get the same workload. `strategy::no_shedding`
/// runs only in scenarios that overload the service.
results run_all(const experiment_setup& setup, std::uint64_t seed,
                const std::vector<strategy>& strategies);

/// Returns the results of `run_all` for each of `count` consecutive seeds, the
/// first of which is `first`.
std::vector<results> run_seeds(const experiment_setup& setup,
                               std::uint64_t first, std::uint64_t count,
                               const std::vector<strategy>& strategies);

/// Returns each result with the means of its metrics over the seeds and the
/// load windows of the first seed. There must be at least one seed.
results mean_of(const std::vector<results>& by_seed);

/// Returns the result of `scenario` of `service` under `s`, or null.
const result* find_result(const results& all, const std::string& service,
                          const std::string& scenario, strategy s);

/// Formats `r` as one line of JSON: its metrics and, for each other strategy in
/// the same scenario, the ratios of its metrics to that strategy's.
std::string to_json_line(const result& r, const results& all);

} // namespace galenafork::pvt

#endif
