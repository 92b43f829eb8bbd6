#include <galenafork/replicated_state.h>

#include <algorithm>

namespace galenafork
{

namespace
{

bool is_member(const roster& r, const instance_incarnation& life)
{
    const member* m = find_member(r, life.instance_);
    return m != nullptr && m->incarnation_ == life.incarnation_;
}

// Lives that are no member cannot come back, but a life that is newer than
// the roster known here looks the same: only a bound drops them.
void trim_expired_members(service_state& service)
{
    auto& lives = service.expired_members_.incarnations_;
    const auto is_idle = [&](const instance_incarnation& life)
    { return !service.roster_ || !is_member(*service.roster_, life); };
    auto idle = static_cast<std::size_t>(
        std::count_if(lives.begin(), lives.end(), is_idle));
    const auto drop = [&](const instance_incarnation& life)
    {
        const bool dropped = idle > max_expired_members && is_idle(life);
        idle -= dropped ? 1 : 0;
        return dropped;
    };
    lives.erase(std::remove_if(lives.begin(), lives.end(), drop), lives.end());
}

std::uint64_t number_of(const roster_delta& change)
{
    return change.epoch_.value();
}

std::uint64_t number_of(const rules_delta& change)
{
    return change.version_.value();
}

/// Adds a step to those kept, which stay without gaps.
template <class Change>
void remember_change(std::vector<Change>& recent, const Change& change)
{
    if (!recent.empty() && number_of(recent.back()) + 1 != number_of(change))
    {
        recent.clear();
    }
    if (recent.size() == max_recent_deltas)
    {
        recent.erase(recent.begin());
    }
    recent.push_back(change);
}

void take_roster(service_state& service, std::shared_ptr<const roster> next)
{
    service.roster_ = std::move(next);
    trim_expired_members(service);
}

} // namespace

const char* to_string(merge_result result)
{
    switch (result)
    {
    case merge_result::applied:
        return "applied";
    case merge_result::old:
        return "old";
    case merge_result::gap:
        return "gap";
    case merge_result::bad:
        return "bad";
    }
    return "bad";
}

merge_result merge(replicated_state& state, const active_rules& update)
{
    if (state.rules_ && update.version_ <= state.rules_->version_)
    {
        return merge_result::old;
    }
    if (state.rules_)
    {
        if (const auto step = delta_between(*state.rules_, update))
        {
            remember_change(state.recent_rules_deltas_, *step);
        }
        else
        {
            state.recent_rules_deltas_.clear();
        }
    }
    state.rules_ = std::make_shared<const active_rules>(update);
    return merge_result::applied;
}

merge_result merge(replicated_state& state, const rules_delta& update)
{
    const std::uint64_t known =
        state.rules_ ? state.rules_->version_.value() : 0;
    if (!state.rules_ || known + 1 < update.version_.value())
    {
        return merge_result::gap;
    }
    if (update.version_.value() <= known)
    {
        return merge_result::old;
    }
    auto next = apply(*state.rules_, update);
    if (!next)
    {
        return merge_result::bad;
    }
    remember_change(state.recent_rules_deltas_, update);
    state.rules_ = std::make_shared<const active_rules>(std::move(*next));
    return merge_result::applied;
}

merge_result merge(replicated_state& state, const roster& update)
{
    service_state& service = state.services_[update.service_];
    const roster* known = service.roster_.get();
    if (known != nullptr && update.epoch_ <= known->epoch_)
    {
        return merge_result::old;
    }
    if (known != nullptr)
    {
        if (const auto step = delta_between(*known, update))
        {
            remember_change(service.recent_deltas_, *step);
        }
        else
        {
            service.recent_deltas_.clear();
        }
    }
    take_roster(service, std::make_shared<const roster>(update));
    return merge_result::applied;
}

merge_result merge(replicated_state& state, const roster_delta& update)
{
    const auto at = state.services_.find(update.service_);
    const roster* known =
        at == state.services_.end() ? nullptr : at->second.roster_.get();
    if (known == nullptr || known->epoch_.value() + 1 < update.epoch_.value())
    {
        return merge_result::gap;
    }
    if (update.epoch_ <= known->epoch_)
    {
        return merge_result::old;
    }
    auto next = apply(*known, update.change_);
    if (!next)
    {
        return merge_result::bad;
    }
    remember_change(at->second.recent_deltas_, update);
    take_roster(at->second, std::make_shared<const roster>(std::move(*next)));
    return merge_result::applied;
}

merge_result merge(replicated_state& state,
                   const expired_members_update& update)
{
    service_state& service = state.services_[update.service_];
    auto& lives = service.expired_members_.incarnations_;
    const auto before = lives;
    lives.insert(lives.end(), update.incarnations_.begin(),
                 update.incarnations_.end());
    std::sort(lives.begin(), lives.end());
    lives.erase(std::unique(lives.begin(), lives.end()), lives.end());
    trim_expired_members(service);
    return lives == before ? merge_result::old : merge_result::applied;
}

state_update compact_update(const replicated_state& state,
                            const state_update& update)
{
    if (const auto* rules = std::get_if<active_rules>(&update))
    {
        const auto& recent = state.recent_rules_deltas_;
        const bool one_step =
            !recent.empty() && recent.back().version_ == rules->version_;
        return one_step ? state_update(recent.back()) : update;
    }
    if (const auto* whole = std::get_if<roster>(&update))
    {
        const auto& recent = state.services_.at(whole->service_).recent_deltas_;
        const bool one_step =
            !recent.empty() && recent.back().epoch_ == whole->epoch_;
        return one_step ? state_update(recent.back()) : update;
    }
    return update;
}

merge_result merge(replicated_state& state, const state_update& update)
{
    return std::visit([&](const auto& u) { return merge(state, u); }, update);
}

} // namespace galenafork
