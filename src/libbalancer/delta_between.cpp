#include <galenafork/replicated_state.h>

namespace galenafork
{

namespace
{

bool same_member(const member& a, const member& b)
{
    return a.instance_ == b.instance_ && a.incarnation_ == b.incarnation_ &&
           a.data_centre_ == b.data_centre_ &&
           a.packet_endpoint_ == b.packet_endpoint_ &&
           a.control_endpoint_ == b.control_endpoint_ && a.slots_ == b.slots_ &&
           a.state_ == b.state_ && a.watchers_ == b.watchers_ &&
           a.watch_epoch_ == b.watch_epoch_;
}

bool same_roster(const roster& a, const roster& b)
{
    if (a.epoch_ != b.epoch_ || a.members_.size() != b.members_.size() ||
        !(a.buckets_ == b.buckets_) || a.recent_writes_ != b.recent_writes_)
    {
        return false;
    }
    for (std::size_t i = 0; i < a.members_.size(); ++i)
    {
        if (!same_member(a.members_[i], b.members_[i]))
        {
            return false;
        }
    }
    return true;
}

/// Returns the kind of change that turned `old_member` (null if it was added)
/// into `new_member` (null if it was removed), or nothing if neither its
/// incarnation nor its state changed.
std::optional<roster_change_kind>
kind_of(const roster& after, const member* old_member, const member* new_member)
{
    if (new_member == nullptr)
    {
        const bool left = !after.recent_departures_.empty() &&
                          after.recent_departures_.front().instance_ ==
                              old_member->instance_ &&
                          after.recent_departures_.front().incarnation_ ==
                              old_member->incarnation_;
        return left ? roster_change_kind::leave : roster_change_kind::remove;
    }
    if (old_member == nullptr ||
        old_member->incarnation_ != new_member->incarnation_)
    {
        return roster_change_kind::join;
    }
    if (old_member->state_ == new_member->state_)
    {
        return std::nullopt;
    }
    if (new_member->state_ == member_state::draining)
    {
        return roster_change_kind::drain;
    }
    return old_member->state_ == member_state::draining
               ? roster_change_kind::undrain
               : roster_change_kind::join;
}

} // namespace

std::optional<roster_delta> delta_between(const roster& before,
                                          const roster& after)
{
    if (after.epoch_.value() != before.epoch_.value() + 1 ||
        after.recent_writes_.empty())
    {
        return std::nullopt;
    }
    const auto delta_for =
        [&](const member* old_member,
            const member* new_member) -> std::optional<roster_delta>
    {
        const auto kind = kind_of(after, old_member, new_member);
        if (!kind)
        {
            return std::nullopt;
        }
        roster_delta delta{after.service_, after.epoch_, {}};
        delta.change_ = {*kind,
                         new_member == nullptr ? *old_member : *new_member,
                         after.recent_writes_.front()};
        const auto outcome = apply(before, delta.change_);
        if (!outcome || !same_roster(*outcome, after))
        {
            return std::nullopt;
        }
        return delta;
    };
    for (const member& m : before.members_)
    {
        if (auto delta = delta_for(&m, find_member(after, m.instance_)))
        {
            return delta;
        }
    }
    for (const member& m : after.members_)
    {
        const bool is_new = find_member(before, m.instance_) == nullptr;
        if (auto delta = is_new ? delta_for(nullptr, &m) : std::nullopt)
        {
            return delta;
        }
    }
    return std::nullopt;
}

} // namespace galenafork
