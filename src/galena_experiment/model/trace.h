/// \file
/// The flows of a run, the same for every strategy: drawn once from the seed.

#ifndef GALENAFORK_EXPERIMENT_TRACE_H
#define GALENAFORK_EXPERIMENT_TRACE_H

#include "setup.h"

#include <cstdint>
#include <vector>

namespace galenafork::pvt
{

/// Uniform numbers in [0, 1) that depend on nothing but the seed.
class random_source
{
public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// The next 64 random bits (SplitMix64).
    std::uint64_t bits();

    /// The next number in [0, 1).
    double uniform();

private:
    std::uint64_t state_;
};

/// One flow of a trace. Costs and pauses follow from `seed_`.
struct traced_flow
{
    instant start_;
    std::size_t bucket_ = 0;
    std::uint32_t requests_ = 1;
    std::uint64_t seed_ = 0;
};

/// Time that request `number` of `flow` holds a slot of a warm upstream.
duration cost_of(const traced_flow& flow, std::uint32_t number,
                 const service_setup& service);

/// Pause before request `number` of `flow`.
duration pause_before(const traced_flow& flow, std::uint32_t number,
                      const service_setup& service);

/// Flows that offer `load` to `service` for `length`: Poisson arrivals, scaled
/// so that the requests of all flows come to exactly that load.
std::vector<traced_flow> make_trace(const service_setup& service, double load,
                                    duration length, std::uint64_t seed);

} // namespace galenafork::pvt

#endif
