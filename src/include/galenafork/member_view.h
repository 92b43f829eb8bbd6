/// \file
/// One agent's view of its service: the roster and the expired members.

#ifndef GALENAFORK_MEMBER_VIEW_H
#define GALENAFORK_MEMBER_VIEW_H

#include <galenafork/roster.h>

#include <vector>

namespace galenafork
{

/// Newest roster and expired members that one agent has recorded.
struct member_view
{
    roster roster_;
    expired_members expired_members_;
};

/// Returns the instance and incarnation of `m`.
instance_incarnation incarnation_of(const member& m);

/// True if `member_incarnation` is a member and has not expired.
bool is_live(const member_view& view,
             const instance_incarnation& member_incarnation);

/// Returns the roster's member of `member_incarnation`. Null if the roster does
/// not name the instance, or names another incarnation of it.
const member* find_incarnation(const member_view& view,
                               const instance_incarnation& member_incarnation);

/// Adds `incarnations` to the set of expired members. True if that changed it.
bool add_expired_members(member_view& view,
                         const std::vector<instance_incarnation>& incarnations);

/// Returns those of `incarnations` that are not in the set of expired members
/// yet.
std::vector<instance_incarnation>
newly_expired(const member_view& view,
              const std::vector<instance_incarnation>& incarnations);

/// Returns every live member except `self`.
std::vector<const member*> live_peers(const member_view& view,
                                      const instance_incarnation& self);

/// True if `member_incarnation` is the effective home of `bucket`.
bool is_effective_home(const member_view& view,
                       const instance_incarnation& member_incarnation,
                       bucket_id bucket);

/// Returns the member that stores the journal entries of `owner` in `bucket`:
/// the effective home, or its successor if the owner is the home. Null if there
/// is no such member.
const member* journal_backup(const member_view& view,
                             const instance_incarnation& owner,
                             bucket_id bucket);

} // namespace galenafork

#endif
