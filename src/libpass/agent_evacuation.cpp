/// \file
/// An agent's decisions about the evacuation of its own data centre. Load
/// pattern: a balancer that does not know the evacuation yet continues to send
/// opening segments; the agent passes them on to other data centres.

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace pvt
{

bool is_evacuated(const pass_agent_state& state)
{
    return galenafork::is_evacuated(state.evacuations_,
                                    state.settings_.data_centre_);
}

void divert_retransmission(const pass_agent_state& state,
                           const agent_flow& flow, const place_message& message,
                           const segment_header& opening, const char* reason,
                           instant now, pass_actions& out)
{
    const host_address self = state.settings_.host_;
    place_message diverted = message;
    auto& candidates = diverted.candidates_;
    candidates.erase(std::remove(candidates.begin(), candidates.end(), self),
                     candidates.end());
    if (flow.phase_ == pass_phase::open || candidates.empty())
    {
        add_decision(out, state, opening.flow_, flow, "dropped", reason, now,
                     true);
        return;
    }
    const host_address next = candidates.front();
    candidates.erase(candidates.begin());
    diverted.earlier_agent_ = self;
    // The visit makes the next agent notify the balancer.
    diverted.visits_.push_back({self, unavailable_backlog});
    add_decision(out, state, opening.flow_, flow, "passed_on", reason, now,
                 true, next);
    out.send_to_peer(next, std::move(diverted));
}

} // namespace pvt

evacuation_update update_evacuations(pass_agent_state& state,
                                     const evacuation_state& next, instant now,
                                     pass_actions& out)
{
    if (!state.settings_.follows_evacuations_)
    {
        return evacuation_update::ignored;
    }
    const bool was_evacuated = pvt::is_evacuated(state);
    const evacuation_update update =
        apply_evacuations(state.evacuations_, next);
    const bool evacuated = pvt::is_evacuated(state);
    if (evacuated != was_evacuated)
    {
        state.status_changed_ = true;
    }
    if (evacuated)
    {
        pvt::reroute_queued(state, now, out);
    }
    return update;
}

} // namespace galenafork
