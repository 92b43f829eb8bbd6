#include <galenafork/replicated_state.h>

#include <algorithm>

namespace galenafork
{

namespace
{

bool is_member(const roster& r, const instance_incarnation& instance)
{
    const member* m = find_member(r, instance.instance_);
    return m != nullptr && m->incarnation_ == instance.incarnation_;
}

// An expired incarnation that is not in the roster was either removed from it
// and cannot rejoin, or joined after the epoch of the local roster. The two
// cases look the same, so these incarnations are kept, up to a limit.
void trim_expired_members(service_state& service)
{
    auto& incarnations = service.expired_members_.incarnations_;
    const auto is_removable = [&](const instance_incarnation& instance)
    { return !service.roster_ || !is_member(*service.roster_, instance); };
    auto removable_count = static_cast<std::size_t>(
        std::count_if(incarnations.begin(), incarnations.end(), is_removable));
    const auto should_drop = [&](const instance_incarnation& instance)
    {
        const bool drop =
            removable_count > max_expired_members && is_removable(instance);
        removable_count -= drop ? 1 : 0;
        return drop;
    };
    incarnations.erase(
        std::remove_if(incarnations.begin(), incarnations.end(), should_drop),
        incarnations.end());
}

std::uint64_t version_number(const roster_delta& delta)
{
    return delta.epoch_.value();
}

std::uint64_t version_number(const rules_delta& delta)
{
    return delta.version_.value();
}

/// Appends `delta` to the recent ones. Clears them first if it does not follow
/// the last one, so that they never have a gap.
template <class Delta>
void append_delta(std::vector<Delta>& recent, const Delta& delta)
{
    if (!recent.empty() &&
        version_number(recent.back()) + 1 != version_number(delta))
    {
        recent.clear();
    }
    if (recent.size() == max_recent_deltas)
    {
        recent.erase(recent.begin());
    }
    recent.push_back(delta);
}

void replace_roster(service_state& service, std::shared_ptr<const roster> next)
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
        if (const auto delta = delta_between(*state.rules_, update))
        {
            append_delta(state.recent_rules_deltas_, *delta);
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
    const std::uint64_t current =
        state.rules_ ? state.rules_->version_.value() : 0;
    if (!state.rules_ || current + 1 < update.version_.value())
    {
        return merge_result::gap;
    }
    if (update.version_.value() <= current)
    {
        return merge_result::old;
    }
    auto next = apply(*state.rules_, update);
    if (!next)
    {
        return merge_result::bad;
    }
    append_delta(state.recent_rules_deltas_, update);
    state.rules_ = std::make_shared<const active_rules>(std::move(*next));
    return merge_result::applied;
}

merge_result merge(replicated_state& state, const roster& update)
{
    service_state& service = state.services_[update.service_];
    const roster* current = service.roster_.get();
    if (current != nullptr && update.epoch_ <= current->epoch_)
    {
        return merge_result::old;
    }
    if (current != nullptr)
    {
        if (const auto delta = delta_between(*current, update))
        {
            append_delta(service.recent_deltas_, *delta);
        }
        else
        {
            service.recent_deltas_.clear();
        }
    }
    replace_roster(service, std::make_shared<const roster>(update));
    return merge_result::applied;
}

merge_result merge(replicated_state& state, const roster_delta& update)
{
    const auto at = state.services_.find(update.service_);
    const roster* current =
        at == state.services_.end() ? nullptr : at->second.roster_.get();
    if (current == nullptr ||
        current->epoch_.value() + 1 < update.epoch_.value())
    {
        return merge_result::gap;
    }
    if (update.epoch_ <= current->epoch_)
    {
        return merge_result::old;
    }
    auto next = apply(*current, update.change_);
    if (!next)
    {
        return merge_result::bad;
    }
    append_delta(at->second.recent_deltas_, update);
    replace_roster(at->second,
                   std::make_shared<const roster>(std::move(*next)));
    return merge_result::applied;
}

merge_result merge(replicated_state& state,
                   const expired_members_update& update)
{
    service_state& service = state.services_[update.service_];
    auto& incarnations = service.expired_members_.incarnations_;
    const auto before = incarnations;
    incarnations.insert(incarnations.end(), update.incarnations_.begin(),
                        update.incarnations_.end());
    std::sort(incarnations.begin(), incarnations.end());
    incarnations.erase(std::unique(incarnations.begin(), incarnations.end()),
                       incarnations.end());
    trim_expired_members(service);
    return incarnations == before ? merge_result::old : merge_result::applied;
}

state_update compact_update(const replicated_state& state,
                            const state_update& update)
{
    if (const auto* rules = std::get_if<active_rules>(&update))
    {
        const auto& recent = state.recent_rules_deltas_;
        const bool one_delta =
            !recent.empty() && recent.back().version_ == rules->version_;
        return one_delta ? state_update(recent.back()) : update;
    }
    if (const auto* whole = std::get_if<roster>(&update))
    {
        const auto& recent = state.services_.at(whole->service_).recent_deltas_;
        const bool one_delta =
            !recent.empty() && recent.back().epoch_ == whole->epoch_;
        return one_delta ? state_update(recent.back()) : update;
    }
    return update;
}

merge_result merge(replicated_state& state, const state_update& update)
{
    return std::visit([&](const auto& u) { return merge(state, u); }, update);
}

} // namespace galenafork
