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
                               const instance_incarnation& life)
{
    const member* found = find_member(view.roster_, life.instance_);
    const bool same =
        found != nullptr && found->incarnation_ == life.incarnation_;
    return same ? found : nullptr;
}

bool is_live(const member_view& view, const instance_incarnation& life)
{
    const member* found = find_incarnation(view, life);
    return found != nullptr && !view.expired_members_.contains(*found);
}

std::vector<instance_incarnation>
newly_expired(const member_view& view,
              const std::vector<instance_incarnation>& lives)
{
    const auto& known = view.expired_members_.incarnations_;
    std::vector<instance_incarnation> unknown;
    std::copy_if(
        lives.begin(), lives.end(), std::back_inserter(unknown),
        [&](const instance_incarnation& life)
        { return std::find(known.begin(), known.end(), life) == known.end(); });
    return unknown;
}

bool merge_expired(member_view& view,
                   const std::vector<instance_incarnation>& lives)
{
    const auto unknown = newly_expired(view, lives);
    auto& known = view.expired_members_.incarnations_;
    known.insert(known.end(), unknown.begin(), unknown.end());
    return !unknown.empty();
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
                       const instance_incarnation& life, bucket_id bucket)
{
    const member* home =
        effective_home_of(view.roster_, view.expired_members_, bucket);
    return home != nullptr && incarnation_of(*home) == life;
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
