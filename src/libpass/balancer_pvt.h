/// \file
/// Functions shared by the files of the balancer's decisions.

#ifndef LIBPASS_BALANCER_PVT_H
#define LIBPASS_BALANCER_PVT_H

#include <galenafork/pass_balancer.h>

namespace galenafork::pvt
{

/// Adds a decision about the flow of `s` to the log. If `host` is an agent, the
/// entry contains the load and the age of its last status.
void add_decision(pass_actions& out, const char* event, const char* reason,
                  const segment_header& s, host_address host, bool important,
                  const pass_balancer_state& state, instant now);

/// Returns whether the agent may get opening segments: it has sent a status in
/// time and accepts new flows.
bool is_usable(const pass_balancer_state& state, const agent_record& agent,
               instant now);

/// Returns the agent's load: requests that are in flight, queued or on their
/// way there, per slot. A slot of a cold upstream counts less.
double load_of(const pass_balancer_state& state, const agent_record& agent);

/// Returns the active rule for the flow's address, or null.
const pass_rule* rule_for(const pass_balancer_state& state,
                          const flow_key& flow);

/// Handles an opening segment from a caller: places it, keeps it pending, or
/// refuses it.
void handle_opening(pass_balancer_state& state, const segment_header& s,
                    byte_view bytes, instant now, pass_actions& out);

/// Returns the agents of `service` that opening segments may go to, usable or
/// not: those with a subscription, or all if none of these is usable.
const std::vector<host_address>&
placement_targets(const pass_balancer_state& state, const service_name& service,
                  instant now);

/// Places or refuses pending opening segments; those for which no agent has
/// capacity yet stay pending.
void place_pending(pass_balancer_state& state, instant now, pass_actions& out);

} // namespace galenafork::pvt

#endif
