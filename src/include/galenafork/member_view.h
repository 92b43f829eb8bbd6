/// \file
/// What one agent knows of its service: the roster and who has lapsed.

#ifndef GALENAFORK_MEMBER_VIEW_H
#define GALENAFORK_MEMBER_VIEW_H

#include <galenafork/roster.h>

#include <vector>

namespace galenafork
{

/// Roster and lapsed members as one agent knows them.
struct member_view
{
    roster roster_;
    lapsed_set expired_members_;
};

/// The life of `m` that the roster names.
instance_life life_of(const member& m);

/// True if `life` is a member and has not lapsed.
bool is_live(const member_view& view, const instance_life& life);

/// The roster's entry of `life`, or null if it names another life or none.
const member* find_life(const member_view& view, const instance_life& life);

/// Adds what is missing of `lives` to the lapsed set. True if that changed it.
bool merge_lapsed(member_view& view, const std::vector<instance_life>& lives);

/// Those of `lives` that are not in the lapsed set yet.
std::vector<instance_life>
unknown_lapses(const member_view& view,
               const std::vector<instance_life>& lives);

/// Every live member but `self`.
std::vector<const member*> live_peers(const member_view& view,
                                      const instance_life& self);

/// True if `life` is the effective home of `bucket`.
bool is_effective_home(const member_view& view, const instance_life& life,
                       bucket_id bucket);

/// Who keeps the journal entries of `owner` in `bucket`: the effective home,
/// or its successor where the owner is the home. Null if there is nobody else.
const member* journal_partner(const member_view& view,
                              const instance_life& owner, bucket_id bucket);

} // namespace galenafork

#endif
