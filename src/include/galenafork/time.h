/// \file
/// Time as the decision code sees it. No decision reads a clock: the caller
/// passes `now`.

#ifndef GALENAFORK_TIME_H
#define GALENAFORK_TIME_H

#include <chrono>

namespace galenafork
{

/// Span of time in microseconds.
using duration = std::chrono::microseconds;

/// Tag type of instants on a monotonic clock that the caller reads: real time
/// in the daemons, virtual time in replay and tests.
struct monotonic_clock
{
    using duration = galenafork::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point on one process's monotonic clock; not comparable between processes.
using instant = monotonic_clock::time_point;

/// Reads the machine's monotonic clock. For daemons only; decision code takes
/// `now` as an argument.
instant read_monotonic_clock();

} // namespace galenafork

#endif
