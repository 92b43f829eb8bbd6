/// \file
/// Assigns homes to the buckets in proportion to the members' slots and moves
/// as few buckets as possible.

#ifndef GALENAFORK_EXPERIMENT_BUCKETS_H
#define GALENAFORK_EXPERIMENT_BUCKETS_H

#include "simulated_member.h"

#include <array>
#include <vector>

namespace galenafork::pvt
{

/// Home of each bucket, as an index into the members.
using bucket_homes = std::array<std::size_t, bucket_count>;

/// Returns `homes` adapted to the members' current `present_` and `draining_`.
/// Absent and draining members are home of no bucket. If all members are absent
/// or draining, `homes` is returned unchanged.
bucket_homes distribute_buckets(const bucket_homes& homes,
                                const std::vector<simulated_member>& members);

/// Returns `homes` after members joined, started to drain or were lost. With
/// `deputy_assignment::spread` this is `distribute_buckets`. With
/// `deputy_assignment::neighbour` each bucket whose home is lost or draining
/// goes to the next member that can be a home, if there is one, and all other
/// buckets stay. This models the time before the buckets are balanced again.
bucket_homes reassign_lost_buckets(const bucket_homes& homes,
                                   const std::vector<simulated_member>& members,
                                   deputy_assignment deputies);

} // namespace galenafork::pvt

#endif
