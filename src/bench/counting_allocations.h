/// \file
/// Measures the allocations of a benchmark besides its time.

#ifndef GALENAFORK_BENCH_COUNTING_ALLOCATIONS_H
#define GALENAFORK_BENCH_COUNTING_ALLOCATIONS_H

#include "allocations.h"

#include <benchmark/benchmark.h>

namespace galenafork::bench
{

/// Runs `operation` once to warm up, then once for each iteration of the
/// benchmark, and reports the counter `allocs`, allocations per iteration.
template <class Operation>
void run_counting_allocations(benchmark::State& state,
                              const Operation& operation)
{
    operation();
    const std::uint64_t allocations_before = allocations();
    for (auto _ : state)
    {
        operation();
    }
    const std::uint64_t allocations_made = allocations() - allocations_before;
    state.counters["allocs"] = static_cast<double>(allocations_made) /
                               static_cast<double>(state.iterations());
}

} // namespace galenafork::bench

#endif
