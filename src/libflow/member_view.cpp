#include <galenafork/member_view.h>

#include <algorithm>
#include <iterator>

namespace galenafork
{

instance_incarnation incarnation_of(const member& m)
{
    return instance_incarnation{m.instance_, m.incarnation_};
}

const member* find_incarnation(const member_view& view,
                               const instance_incarnation& member_incarnation)
{
    const member* found =
        find_member(view.roster_, member_incarnation.instance_);
    const bool is_same = found != nullptr &&
                         found->incarnation_ == member_incarnation.incarnation_;
    return is_same ? found : nullptr;
}

bool is_live(const member_view& view,
             const instance_incarnation& member_incarnation)
{
    const member* found = find_incarnation(view, member_incarnation);
    return found != nullptr && !view.expired_members_.contains(*found);
}

std::vector<instance_incarnation>
newly_expired(const member_view& view,
              const std::vector<instance_incarnation>& incarnations)
{
    const auto& expired = view.expired_members_.incarnations_;
    std::vector<instance_incarnation> added;
    std::copy_if(incarnations.begin(), incarnations.end(),
                 std::back_inserter(added),
                 [&](const instance_incarnation& candidate)
                 {
                     return std::find(expired.begin(), expired.end(),
                                      candidate) == expired.end();
                 });
    return added;
}

bool add_expired_members(member_view& view,
                         const std::vector<instance_incarnation>& incarnations)
{
    const auto added = newly_expired(view, incarnations);
    auto& expired = view.expired_members_.incarnations_;
    expired.insert(expired.end(), added.begin(), added.end());
    return !added.empty();
}

std::vector<const member*> live_peers(const member_view& view,
                                      const instance_incarnation& self)
{
    std::vector<const member*> peers;
    for (const member& m : view.roster_.members_)
    {
        if (m.instance_ != self.instance_ && !view.expired_members_.contains(m))
        {
            peers.push_back(&m);
        }
    }
    return peers;
}

bool is_effective_home(const member_view& view,
                       const instance_incarnation& member_incarnation,
                       bucket_id bucket)
{
    const member* home =
        effective_home_of(view.roster_, view.expired_members_, bucket);
    return home != nullptr && incarnation_of(*home) == member_incarnation;
}

const member* journal_backup(const member_view& view,
                             const instance_incarnation& owner,
                             bucket_id bucket)
{
    const member* home =
        effective_home_of(view.roster_, view.expired_members_, bucket);
    if (home == nullptr || incarnation_of(*home) != owner)
    {
        return home;
    }
    return successor_of(view.roster_, view.expired_members_, bucket, 1);
}

} // namespace galenafork
