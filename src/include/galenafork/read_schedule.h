/// \file
/// How often a process reads data of the store that it must follow within a
/// time limit. Balancers share their reads: each tells its peers when the read
/// that it relies on began, and reads only if neither its own last read nor one
/// of a peer is recent enough. A process without peers, or whose peers are all
/// gone, therefore reads as often as the limit requires, whatever the store
/// lists.

#ifndef GALENAFORK_READ_SCHEDULE_H
#define GALENAFORK_READ_SCHEDULE_H

#include <galenafork/time.h>

namespace galenafork
{

/// Time that is reserved for the read itself: an attempt that gets no response
/// because its connection is silent (1 s), the next attempt, and the delay of
/// the peer's message about an earlier read.
inline constexpr duration read_reserve = std::chrono::milliseconds(1500);

/// Returns the age at which a process stops to rely on a read, for data that
/// must be applied within `limit`. Positive if `limit` is.
duration max_read_age(duration limit);

/// Returns the time from the beginning of a read to the next one, at most
/// `max_age`. `random` in [0, 1) keeps processes that rely on the same read
/// from reading at the same time: the first one tells the others.
duration read_delay(duration max_age, double random);

} // namespace galenafork

#endif
