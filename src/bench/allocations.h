/// \file
/// Counter of the memory allocations of this program.

#ifndef GALENAFORK_BENCH_ALLOCATIONS_H
#define GALENAFORK_BENCH_ALLOCATIONS_H

#include <cstdint>

namespace galenafork::bench
{

/// Returns the number of calls of `operator new` so far, in all threads.
std::uint64_t allocations();

} // namespace galenafork::bench

#endif
