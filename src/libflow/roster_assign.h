/// \file
/// Assignment of watchers to members, and of homes and deputies to buckets.

#ifndef GALENAFORK_LIBFLOW_ROSTER_ASSIGN_H
#define GALENAFORK_LIBFLOW_ROSTER_ASSIGN_H

#include <galenafork/roster.h>

namespace galenafork::pvt
{

/// Removes watchers that are no longer members and gives each member up to
/// `max_watchers`. Never replaces a watcher that is still a member. Prefers
/// members that it does not watch itself, then members in other data centres,
/// then those that watch the fewest members.
void assign_watchers(roster& r);

/// Assigns each bucket a home, in proportion to the slots of the serving
/// members and moving as few buckets as possible, then a deputy, in another
/// data centre than its home if there is one.
void assign_buckets(roster& r);

} // namespace galenafork::pvt

#endif
