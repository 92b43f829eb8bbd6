/// \file
/// Functions shared by the files of the balancer's decisions.

#ifndef LIBPASS_BALANCER_PVT_H
#define LIBPASS_BALANCER_PVT_H

#include <galenafork/pass_balancer.h>

#include <algorithm>

namespace galenafork::pvt
{

inline void remove_from(std::vector<host_address>& hosts, host_address host)
{
    hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
}

inline bool contains(const std::vector<host_address>& hosts, host_address host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

/// Adds a decision about the flow of `s` to the log. If `host` is an agent, the
/// entry contains the load and the age of its last status.
void add_decision(pass_actions& out, const char* event, const char* reason,
                  const segment_header& s, host_address host, bool important,
                  const pass_balancer_state& state, instant now);

/// Returns whether the agent's data centre is evacuated.
bool is_evacuated(const pass_balancer_state& state, const agent_record& agent);
bool is_evacuated(const pass_balancer_state& state, host_address agent);

/// Returns whether the agent may get opening segments: it has sent a status in
/// time, accepts new flows, and its data centre is not evacuated.
bool is_usable(const pass_balancer_state& state, const agent_record& agent,
               instant now);

/// Returns whether the agent is known to be in the balancer's data centre.
bool is_near(const pass_balancer_state& state, const agent_record& agent);

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

/// Starts a search for the owner of the flow of `s`, or asks the agents that
/// have not responded to it again, unless they were asked just now.
/// `returned_by` is the agent that returned the segment, or zero.
void search_owner(pass_balancer_state& state, const segment_header& s,
                  byte_view bytes, host_address returned_by, instant now,
                  pass_actions& out);

/// Removes searches that have timed out, and has further agents ask their
/// upstreams where those asked before do not respond.
void handle_search_tick(pass_balancer_state& state, instant now,
                        pass_actions& out);

/// Returns the agents of `service` that opening segments may go to, usable or
/// not: those with a subscription, or all if none of these is usable.
const std::vector<host_address>&
placement_targets(const pass_balancer_state& state, const service_name& service,
                  instant now);

/// Returns the hello for peers, without a request for statuses.
hello_message make_hello(const pass_balancer_state& state, instant now);

/// Returns the mean time between two probes of an agent that has neither a
/// subscription nor been silent for the lifetime of a flow.
duration probe_interval(const pass_balancer_state& state);

/// Asks an agent without a subscription for one status.
void send_probe(const pass_balancer_state& state, host_address host,
                agent_record& agent, instant now, pass_actions& out);

/// Sends a subscribed agent the hello that keeps its subscription.
void send_subscription(const pass_balancer_state& state, host_address host,
                       const service_agents& agents, agent_record& agent,
                       instant now, pass_actions& out);

/// Subscribes to the agents of the highest rank and ends other subscriptions.
/// A silent agent keeps its subscription for a while, and others are subscribed
/// in its place: if it comes back, it gets flows again without a probe.
void update_subscriptions(pass_balancer_state& state, service_agents& agents,
                          instant now, pass_actions& out);

/// Returns whether an agent that accepts flows should be subscribed without
/// waiting for the next round. After an outage agents start one after the
/// other; if all balancers kept the first ones, these would get all flows.
bool is_wanted(const pass_balancer_state& state, const service_agents& agents,
               host_address host, instant now);

/// Sends a hedge of `opening`, whose flow has an owner, to another agent that
/// has a free slot. Returns false if there is none.
bool place_hedge(pass_balancer_state& state, const tracked_opening& opening,
                 instant now, pass_actions& out);

inline bool is_hedging(const pass_balancer_state& state)
{
    return state.settings_.hedging_.percent_ > 0;
}

/// Places or refuses pending opening segments; those for which no agent has
/// capacity yet stay pending.
void place_pending(pass_balancer_state& state, instant now, pass_actions& out);

} // namespace galenafork::pvt

#endif
