/// \file
/// Pieces that the files of the balancer's decisions share.

#ifndef LIBPASS_BALANCER_PVT_H
#define LIBPASS_BALANCER_PVT_H

#include <galenafork/pass_balancer.h>

namespace galenafork::pvt
{

/// Adds a decision to the log, with what is known of agent `host`.
void note(pass_actions& out, const char* event, const char* reason,
          const segment_header& s, host_address host, bool important,
          const pass_balancer_state& state, instant now);

/// The agent may get opening segments.
bool is_usable(const pass_balancer_state& state, const agent_record& agent,
               instant now);

/// Requests at the agent and on their way there, over its slots.
double load_of(const pass_balancer_state& state, const agent_record& agent);

/// The rule in force for the flow's address, or null.
const pass_rule* rule_for(const pass_balancer_state& state,
                          const flow_key& flow);

/// Takes an opening segment from a caller.
void take_opening(pass_balancer_state& state, const segment_header& s,
                  byte_view bytes, instant now, pass_actions& out);

/// Places or refuses what waits for a first agent or for rules.
void place_waiting(pass_balancer_state& state, instant now, pass_actions& out);

} // namespace galenafork::pvt

#endif
