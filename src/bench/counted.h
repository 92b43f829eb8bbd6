/// \file
/// Reports allocations beside the times of a benchmark.

#ifndef GALENAFORK_BENCH_COUNTED_H
#define GALENAFORK_BENCH_COUNTED_H

#include "allocations.h"

#include <benchmark/benchmark.h>

namespace galenafork::bench
{

/// Runs `step` once to warm it up, then as often as the benchmark asks for,
/// and reports the counter `allocs`, allocations for each run.
template <class Step>
void run_counted(benchmark::State& state, const Step& step)
{
    step();
    const std::uint64_t before = allocations();
    for (auto _ : state)
    {
        step();
    }
    const std::uint64_t made = allocations() - before;
    state.counters["allocs"] =
        static_cast<double>(made) / static_cast<double>(state.iterations());
}

} // namespace galenafork::bench

#endif
