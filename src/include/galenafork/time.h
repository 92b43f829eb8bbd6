/// \file
/// Time types. Code that makes decisions, for example about flows, leases and
/// placement, reads no clock; its callers pass `now`.

#ifndef GALENAFORK_TIME_H
#define GALENAFORK_TIME_H

#include <chrono>

namespace galenafork
{

/// A length of time in microseconds.
using duration = std::chrono::microseconds;

/// Clock type of `instant`, without `now()`: the caller supplies the time,
/// which is real in the daemons and virtual in replay and tests.
struct monotonic_clock
{
    using duration = galenafork::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock of one process; not comparable
/// between processes.
using instant = monotonic_clock::time_point;

/// Reads the machine's monotonic clock, which includes time in suspension. For
/// daemons only; decision code gets `now` as an argument.
instant read_monotonic_clock();

} // namespace galenafork

#endif
