#include "placement_adapter.h"

#include <galenafork/load_policy.h>

namespace galenafork
{

namespace
{

constexpr double draws_per_unit = 4294967296.0;

// A peer that still says it is cold has this much of its start behind it, as
// a share of the slow start.
constexpr int cold_share = 2;

load_candidate candidate_of(const agent_state& state, const member& m,
                            const member& home)
{
    load_candidate candidate;
    candidate.same_data_centre_ = m.data_centre_ == home.data_centre_;
    candidate.accepts_new_flows_ = m.state_ == member_state::serving;
    candidate.slots_ = m.slots_;
    const auto heard = state.peer_loads_.find(m.instance_);
    const bool is_self = incarnation_of(m) == state.self_;
    const load_report* report = nullptr;
    if (is_self)
    {
        report = &state.load_;
    }
    else if (heard != state.peer_loads_.end())
    {
        report = &heard->second.report_;
        candidate.assigned_since_report_ = heard->second.assigned_since_report_;
    }
    if (report == nullptr)
    {
        candidate.accepts_new_flows_ = false;
        return candidate;
    }
    candidate.in_flight_ = report->in_flight_;
    if (report->cold_)
    {
        candidate.serving_for_ =
            state.load_settings_.slow_start_.length_ / cold_share;
    }
    return candidate;
}

} // namespace

instance_incarnation choose_by_load(const agent_state& state,
                                    bucket_id /*bucket*/, instant /*now*/,
                                    std::uint64_t draw)
{
    const member* self = find_incarnation(state.view_, state.self_);
    if (self == nullptr)
    {
        return state.self_;
    }
    std::vector<load_candidate> candidates{candidate_of(state, *self, *self)};
    std::vector<instance_incarnation> lives{state.self_};
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        candidates.push_back(candidate_of(state, *peer, *self));
        lives.push_back(incarnation_of(*peer));
    }
    const placement_draws draws{
        static_cast<double>(draw & 0xffffffffU) / draws_per_unit,
        static_cast<double>(draw >> 32U) / draws_per_unit};
    const auto chosen =
        choose_owner(candidates, 0, state.load_settings_, draws);
    return chosen ? lives[chosen->index_] : state.self_;
}

} // namespace galenafork
