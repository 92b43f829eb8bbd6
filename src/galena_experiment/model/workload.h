/// \file
/// The flows of a run. They depend on the seed and not on the strategy, so that
/// all strategies get the same flows.

#ifndef GALENAFORK_EXPERIMENT_WORKLOAD_H
#define GALENAFORK_EXPERIMENT_WORKLOAD_H

#include "setup.h"

#include <cstdint>
#include <vector>

namespace galenafork::pvt
{

/// Generator of pseudo-random numbers that depend on nothing but the seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// Returns the next 64 random bits (SplitMix64).
    std::uint64_t bits();

    /// Returns the next number in [0, 1).
    double uniform();

private:
    std::uint64_t state_;
};

/// One flow of a workload. The costs of its requests and the think times
/// between them follow from `seed_`.
struct workload_flow
{
    instant starts_at_;
    std::size_t bucket_ = 0;
    std::uint32_t request_count_ = 1;
    std::uint64_t seed_ = 0;
};

/// Returns the time that request `index` of `flow` occupies a slot of an
/// upstream that is neither cold nor slow.
duration request_cost(const workload_flow& flow, std::uint32_t index,
                      const service_setup& service);

/// Returns the pause of the caller before request `index` of `flow`.
duration think_time_before(const workload_flow& flow, std::uint32_t index,
                           const service_setup& service);

/// Makes flows that offer `load`, as a fraction of the capacity of `service`,
/// for `length`. Flows are added until their requests add up to the load. Their
/// starts are a Poisson process, scaled so that the last flow starts at the end
/// of `length`.
std::vector<workload_flow> make_workload(const service_setup& service,
                                         double load, duration length,
                                         std::uint64_t seed);

} // namespace galenafork::pvt

#endif
