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
    expired_members expired_members_;
};

/// The life of `m` that the roster names.
instance_incarnation incarnation_of(const member& m);

/// True if `life` is a member and has not lapsed.
bool is_live(const member_view& view, const instance_incarnation& life);

/// The roster's entry of `life`, or null if it names another life or none.
const member* find_incarnation(const member_view& view,
                               const instance_incarnation& life);

/// Adds what is missing of `lives` to the lapsed set. True if that changed it.
bool merge_expired(member_view& view,
                   const std::vector<instance_incarnation>& lives);

/// Those of `lives` that are not in the lapsed set yet.
std::vector<instance_incarnation>
newly_expired(const member_view& view,
              const std::vector<instance_incarnation>& lives);

/// Every live member but `self`.
std::vector<const member*> live_peers(const member_view& view,
                                      const instance_incarnation& self);

/// True if `life` is the effective home of `bucket`.
bool is_effective_home(const member_view& view,
                       const instance_incarnation& life, bucket_id bucket);

/// Who keeps the journal entries of `owner` in `bucket`: the effective home,
/// or its successor where the owner is the home. Null if there is nobody else.
const member* journal_backup(const member_view& view,
                             const instance_incarnation& owner,
                             bucket_id bucket);

} // namespace galenafork

#endif
