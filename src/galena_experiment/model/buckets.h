/// \file
/// Homes of the buckets, spread by slots with as few moves as an even spread
/// needs.

#ifndef GALENAFORK_EXPERIMENT_BUCKETS_H
#define GALENAFORK_EXPERIMENT_BUCKETS_H

#include "upstream.h"

#include <array>
#include <vector>

namespace galenafork::pvt
{

/// Home of each bucket, as an index into the members.
using bucket_homes = std::array<std::size_t, bucket_count>;

/// `homes` after the members' `alive_` or `draining_` changed. Members that
/// are absent or draining hold none; if nobody may hold one, nothing changes.
bucket_homes spread_buckets(const bucket_homes& homes,
                            const std::vector<upstream>& members);

/// `homes` after members were lost, before an even spread is restored: each of
/// their buckets goes to its deputy, chosen beforehand by `rule`. Under
/// `deputy_rule::spread` this is `spread_buckets`.
bucket_homes take_over(const bucket_homes& homes,
                       const std::vector<upstream>& members, deputy_rule rule);

} // namespace galenafork::pvt

#endif
