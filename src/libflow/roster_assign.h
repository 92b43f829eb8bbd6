/// \file
/// Who watches whom and who is home and deputy of which bucket.

#ifndef GALENAFORK_LIBFLOW_ROSTER_ASSIGN_H
#define GALENAFORK_LIBFLOW_ROSTER_ASSIGN_H

#include <galenafork/roster.h>

namespace galenafork::pvt
{

/// Replaces watchers that are members no more and fills up to `max_watchers`;
/// never takes a present watcher away. Prefers other data centres, then the
/// members that watch the fewest.
void assign_watchers(roster& r);

/// Gives each serving member its share of homes by slots, moving as few
/// buckets as that takes, then gives each bucket a deputy, in another data
/// centre than its home where there is one.
void assign_buckets(roster& r);

} // namespace galenafork::pvt

#endif
