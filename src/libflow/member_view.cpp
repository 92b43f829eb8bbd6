#include <galenafork/member_view.h>

#include <algorithm>
#include <iterator>

namespace galenafork
{

instance_life life_of(const member& m)
{
    return instance_life{m.instance_, m.incarnation_};
}

const member* find_life(const member_view& view, const instance_life& life)
{
    const member* found = find_member(view.roster_, life.instance_);
    const bool same =
        found != nullptr && found->incarnation_ == life.incarnation_;
    return same ? found : nullptr;
}

bool is_live(const member_view& view, const instance_life& life)
{
    const member* found = find_life(view, life);
    return found != nullptr && !view.expired_members_.contains(*found);
}

std::vector<instance_life>
unknown_lapses(const member_view& view, const std::vector<instance_life>& lives)
{
    const auto& known = view.expired_members_.lives_;
    std::vector<instance_life> unknown;
    std::copy_if(
        lives.begin(), lives.end(), std::back_inserter(unknown),
        [&](const instance_life& life)
        { return std::find(known.begin(), known.end(), life) == known.end(); });
    return unknown;
}

bool merge_lapsed(member_view& view, const std::vector<instance_life>& lives)
{
    const auto unknown = unknown_lapses(view, lives);
    auto& known = view.expired_members_.lives_;
    known.insert(known.end(), unknown.begin(), unknown.end());
    return !unknown.empty();
}

std::vector<const member*> live_peers(const member_view& view,
                                      const instance_life& self)
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

bool is_effective_home(const member_view& view, const instance_life& life,
                       bucket_id bucket)
{
    const member* home =
        effective_home_of(view.roster_, view.expired_members_, bucket);
    return home != nullptr && life_of(*home) == life;
}

const member* journal_partner(const member_view& view,
                              const instance_life& owner, bucket_id bucket)
{
    const member* home =
        effective_home_of(view.roster_, view.expired_members_, bucket);
    if (home == nullptr || life_of(*home) != owner)
    {
        return home;
    }
    return successor_of(view.roster_, view.expired_members_, bucket, 1);
}

} // namespace galenafork
