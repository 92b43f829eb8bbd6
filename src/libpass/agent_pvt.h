/// \file
/// Steps that the agent's decisions share.

#ifndef LIBPASS_AGENT_PVT_H
#define LIBPASS_AGENT_PVT_H

#include <galenafork/pass_agent.h>

namespace galenafork::pvt
{

/// Why an opening segment can't go to this agent's upstream now.
enum class obstacle
{
    none,
    wrong_service,
    not_accepting,
    full,
};

/// Offers, passes on, holds or refuses the opening segment of `flow`, which is
/// in the table.
void decide_opening(pass_agent_state& state, const flow_key& key, instant now,
                    pass_actions& out);

/// Tells the caller that its segment was not offered. A copy that was sent here
/// because the agent of an earlier one seemed silent is dropped instead: that
/// agent may have opened the flow, which a reset would end.
void refuse(pass_agent_state& state, const flow_key& key, agent_flow& flow,
            const char* reason, instant now, pass_actions& out);

/// The upstream did not take the opening segment of `flow`: sends it to its
/// next candidate, never back here. False if no candidate is left.
bool send_past_upstream(pass_agent_state& state, const flow_key& key,
                        agent_flow& flow, const char* reason, instant now,
                        pass_actions& out);

/// Gives free slots to waiting segments, the most important and then the
/// oldest first.
void release_held(pass_agent_state& state, instant now, pass_actions& out);

/// Finds other places for all waiting segments.
void move_held(pass_agent_state& state, instant now, pass_actions& out);

/// Counts the flow as one of the upstream's requests, or no longer.
void set_occupies_slot(pass_agent_state& state, agent_flow& flow, bool counted);

/// Moves `smoothed` towards the newest sample.
void smooth(duration& smoothed, duration sample);

/// Changes the phase.
void enter(agent_flow& flow, pass_phase phase, instant now);

/// Takes the flow out of the waiting segments.
void drop_from_held(pass_agent_state& state, const flow_key& key);

/// Adds a decision about a flow to the log.
void note(pass_actions& out, const pass_agent_state& state, const flow_key& key,
          const agent_flow& flow, const char* event, const char* reason,
          instant now, bool important, host_address host = {});

} // namespace galenafork::pvt

#endif
