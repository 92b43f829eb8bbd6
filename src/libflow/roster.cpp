#include "roster_assign.h"

#include <galenafork/roster.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using members = std::vector<member>;

members::iterator position_of(members& all, const instance_id& instance)
{
    return std::lower_bound(all.begin(), all.end(), instance,
                            [](const member& m, const instance_id& id)
                            { return m.instance_ < id; });
}

tl::unexpected<error> no_such_member(const member& m)
{
    return tl::unexpected(
        error{error_code::not_found, "the roster has no member " +
                                         m.instance_.value() +
                                         " with the requested incarnation"});
}

tl::unexpected<error> change_has_no_effect(const member& m)
{
    return tl::unexpected(
        error{error_code::conflict, "member " + m.instance_.value() +
                                        " is not affected by this change"});
}

bool is_present(const members& all, members::iterator at, const member& m)
{
    return at != all.end() && at->instance_ == m.instance_ &&
           at->incarnation_ == m.incarnation_;
}

// Updates the buckets' member indexes after a member was added or removed.
void remap_member_indexes(roster& r, const members& before)
{
    std::vector<member_index> new_index(before.size(), no_member);
    for (std::size_t i = 0; i < before.size(); ++i)
    {
        const auto at = position_of(r.members_, before[i].instance_);
        if (is_present(r.members_, at, before[i]))
        {
            new_index[i] = member_index(
                static_cast<std::uint16_t>(at - r.members_.begin()));
        }
    }
    const auto remapped = [&](member_index old)
    { return old == no_member ? no_member : new_index[old.value()]; };
    for (auto& bucket : r.buckets_)
    {
        bucket.home_ = remapped(bucket.home_);
        bucket.deputy_ = remapped(bucket.deputy_);
    }
}

tl::expected<void, error> join(roster& r, const member& joiner)
{
    const members before = r.members_;
    const auto at = position_of(r.members_, joiner.instance_);
    if (is_present(r.members_, at, joiner))
    {
        if (at->state_ == joiner.state_ || at->state_ == member_state::draining)
        {
            return change_has_no_effect(joiner);
        }
        at->state_ = joiner.state_;
        return {};
    }
    member added = joiner;
    added.watchers_.clear();
    if (at != r.members_.end() && at->instance_ == joiner.instance_)
    {
        *at = std::move(added);
    }
    else
    {
        r.members_.insert(at, std::move(added));
    }
    remap_member_indexes(r, before);
    return {};
}

tl::expected<void, error> set_state(roster& r, const member& m,
                                    member_state state)
{
    const auto at = position_of(r.members_, m.instance_);
    if (!is_present(r.members_, at, m))
    {
        return no_such_member(m);
    }
    if (at->state_ == state)
    {
        return change_has_no_effect(m);
    }
    at->state_ = state;
    return {};
}

tl::expected<void, error> remove(roster& r, const member& m)
{
    const members before = r.members_;
    const auto at = position_of(r.members_, m.instance_);
    if (!is_present(r.members_, at, m))
    {
        return no_such_member(m);
    }
    r.members_.erase(at);
    // The deputy already acts as home of the lost member's buckets, so it
    // becomes their home.
    const auto removed_index = static_cast<std::uint16_t>(
        std::find_if(before.begin(), before.end(),
                     [&](const member& x)
                     { return x.instance_ == m.instance_; }) -
        before.begin());
    for (auto& bucket : r.buckets_)
    {
        if (bucket.home_.value() == removed_index)
        {
            bucket.home_ = bucket.deputy_;
            bucket.deputy_ = no_member;
        }
    }
    remap_member_indexes(r, before);
    return {};
}

tl::expected<void, error> leave(roster& r, const member& m)
{
    const auto at = position_of(r.members_, m.instance_);
    if (is_present(r.members_, at, m) && at->state_ != member_state::draining)
    {
        return tl::unexpected(
            error{error_code::refused,
                  "member " + m.instance_.value() + " is not draining"});
    }
    auto removed = remove(r, m);
    if (removed)
    {
        r.recent_departures_.insert(
            r.recent_departures_.begin(),
            instance_incarnation{m.instance_, m.incarnation_});
        r.recent_departures_.resize(
            std::min(r.recent_departures_.size(), max_recent_departures));
    }
    return removed;
}

tl::expected<void, error> change_members(roster& r, const roster_change& change)
{
    switch (change.kind_)
    {
    case roster_change_kind::join:
        return join(r, change.member_);
    case roster_change_kind::drain:
        return set_state(r, change.member_, member_state::draining);
    case roster_change_kind::undrain:
        return set_state(r, change.member_, member_state::serving);
    case roster_change_kind::remove:
        return remove(r, change.member_);
    case roster_change_kind::leave:
        return leave(r, change.member_);
    }
    return {};
}

// Sets the watch epoch of members whose watchers changed. A member that has
// none of its earlier watchers left continues under the next incarnation.
void apply_watcher_changes(const roster& before, roster& next)
{
    for (member& m : next.members_)
    {
        const member* old = find_member(before, m.instance_);
        if (old == nullptr || old->incarnation_ != m.incarnation_)
        {
            m.watch_epoch_ = next.epoch_;
            continue;
        }
        if (old->watchers_ == m.watchers_)
        {
            continue;
        }
        m.watch_epoch_ = next.epoch_;
        const bool keeps_one = std::any_of(
            old->watchers_.begin(), old->watchers_.end(),
            [&](const instance_id& id) { return find_member(next, id); });
        if (!old->watchers_.empty() && !keeps_one)
        {
            m.incarnation_ = next_incarnation(m.incarnation_);
        }
    }
}

void record_write(roster& r, const write_id& write)
{
    auto& writes = r.recent_writes_;
    writes.insert(writes.begin(), write);
    writes.resize(std::min(writes.size(), max_recent_writes));
}

bool may_act(const roster& r, const expired_members& expired, std::size_t index)
{
    const member& m = r.members_[index];
    return m.state_ == member_state::serving && !expired.contains(m);
}

} // namespace

const char* to_string(member_state state)
{
    switch (state)
    {
    case member_state::joining:
        return "joining";
    case member_state::serving:
        return "serving";
    case member_state::draining:
        return "draining";
    }
    return "joining";
}

tl::expected<roster, error> apply(const roster& current,
                                  const roster_change& change)
{
    roster next = current;
    if (auto changed = change_members(next, change); !changed)
    {
        return tl::unexpected(changed.error());
    }
    next.epoch_ = epoch(current.epoch_.value() + 1);
    pvt::assign_watchers(next);
    apply_watcher_changes(current, next);
    pvt::assign_buckets(next);
    record_write(next, change.write_);
    return next;
}

bool is_undone(const roster& r, const roster_change& change)
{
    // An instance chooses an even incarnation, so a renewal sets the lowest
    // bit.
    constexpr std::uint64_t renewal_bit = 1;
    const member* found = find_member(r, change.member_.instance_);
    const bool is_member =
        found != nullptr &&
        (found->incarnation_.value() | renewal_bit) ==
            (change.member_.incarnation_.value() | renewal_bit);
    switch (change.kind_)
    {
    case roster_change_kind::join:
        return !is_member;
    case roster_change_kind::remove:
    case roster_change_kind::leave:
        return is_member;
    case roster_change_kind::drain:
    case roster_change_kind::undrain:
        break;
    }
    return false;
}

const member* find_member(const roster& r, const instance_id& instance)
{
    for (const member& m : r.members_)
    {
        if (m.instance_ == instance)
        {
            return &m;
        }
    }
    return nullptr;
}

const member* member_at(const roster& r, member_index index)
{
    return index.value() < r.members_.size() ? &r.members_[index.value()]
                                             : nullptr;
}

const member* home_of(const roster& r, bucket_id bucket)
{
    return member_at(r, r.buckets_[bucket.value()].home_);
}

const member* deputy_of(const roster& r, bucket_id bucket)
{
    return member_at(r, r.buckets_[bucket.value()].deputy_);
}

bool expired_members::contains(const member& m) const
{
    return std::any_of(incarnations_.begin(), incarnations_.end(),
                       [&](const instance_incarnation& expired)
                       {
                           return expired.incarnation_ == m.incarnation_ &&
                                  expired.instance_ == m.instance_;
                       });
}

const member* successor_of(const roster& r, const expired_members& expired,
                           bucket_id bucket, std::size_t rank)
{
    const bucket_assignment& assigned = r.buckets_[bucket.value()];
    std::size_t found = 0;
    for (const member_index index : {assigned.home_, assigned.deputy_})
    {
        const bool can_act = member_at(r, index) != nullptr &&
                             may_act(r, expired, index.value());
        if (can_act && found++ == rank)
        {
            return member_at(r, index);
        }
    }
    const std::size_t count = r.members_.size();
    for (std::size_t step = 0; step < count; ++step)
    {
        const std::size_t index = (bucket.value() + step) % count;
        const member_index as_index(static_cast<std::uint16_t>(index));
        const bool is_assigned =
            as_index == assigned.home_ || as_index == assigned.deputy_;
        if (!is_assigned && may_act(r, expired, index) && found++ == rank)
        {
            return &r.members_[index];
        }
    }
    return nullptr;
}

const member* effective_home_of(const roster& r, const expired_members& expired,
                                bucket_id bucket)
{
    return successor_of(r, expired, bucket, 0);
}

} // namespace galenafork
