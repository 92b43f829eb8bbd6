/// \file
/// Functions shared by the files of the agent's decisions.

#ifndef LIBPASS_AGENT_PVT_H
#define LIBPASS_AGENT_PVT_H

#include <galenafork/pass_agent.h>

namespace galenafork::pvt
{

/// Why an opening segment can't be offered to this agent's upstream now.
enum class rejection_reason
{
    none,
    wrong_service,
    not_accepting,
    full,
    /// The upstream is cold and gets no more opening segments for now.
    cold_limited,
};

/// More bytes than an upstream sends on one flow. An acknowledgement further
/// from the upstream's first sequence number belongs to another upstream's
/// handshake.
inline constexpr std::uint32_t max_sequence_distance = 1U << 26U;

/// A segment that agents have forwarded this many times is in a loop between
/// agents whose state of the flow is outdated.
inline constexpr std::uint8_t max_hops = 8;

/// Backlog recorded for an agent whose upstream did not accept a segment: more
/// than any real backlog, so that any other visited agent gets the segment
/// instead.
inline constexpr double unavailable_backlog = 100.0;

/// Returns whether the agent's data centre is evacuated.
bool is_evacuated(const pass_agent_state& state);

/// Handles the retransmission of an opening segment that the upstream got
/// before and may not get again: its data centre is evacuated, or it is cold
/// and has got too many. While the flow is opening, the segment goes to
/// another agent, which does not refuse it with a reset, because the flow may
/// be open here. Without another agent, or if the caller has continued the
/// handshake, the segment is dropped.
void divert_retransmission(const pass_agent_state& state,
                           const agent_flow& flow, const place_message& message,
                           const segment_header& opening, const char* reason,
                           instant now, pass_actions& out);

/// Returns the time until the upstream may get the opening segment number
/// `position` (1 is the next one), as far as the limit for cold upstreams is
/// concerned.
duration cold_wait(const pass_agent_state& state, std::size_t position,
                   instant now);

/// Returns whether the upstream is cold and gets no opening segment now.
bool is_cold_limited(const pass_agent_state& state, instant now);

/// Records the limit for cold upstreams that a balancer sent.
void note_cold_rate(pass_agent_state& state, const place_message& place);

/// Sends an opening segment to the upstream and counts it. All opening segments
/// are sent with this function.
void send_opening(pass_agent_state& state,
                  const std::vector<std::uint8_t>& packet, instant now,
                  pass_actions& out);

/// Returns whether a caller's segment can belong to the handshake with this
/// agent's upstream.
bool acknowledges_upstream(const agent_flow& flow, const segment_header& s);

/// Handles a caller's segment that acknowledges an answer which the upstream
/// sent after its opening segment had been forwarded to another agent: the
/// caller has accepted this answer, and the flow is opening here again. Returns
/// whether it is.
bool accept_late_answer(agent_flow& flow, const segment_header& s, instant now);

/// Updates the state of an open or opening flow by a segment from its caller.
void track_caller(pass_agent_state& state, agent_flow& flow,
                  const segment_header& s, instant now);

/// Returns the segment to the peer that sent it. A balancer then searches for
/// the flow's owner. Does nothing if `sender` is zero.
void return_to_sender(byte_view bytes, host_address sender,
                      const pass_agent_state& state, pass_actions& out);

/// Forwards a segment of a moved flow to the flow's new agent.
void forward_to_new_agent(const pass_agent_state& state, agent_flow& flow,
                          const segment_header& s, byte_view bytes, instant now,
                          pass_actions& out);

/// Returns whether each flow that the upstream can have has passed this agent:
/// the agent was running when the upstream started, or it has been running for
/// longer than any flow lives. Start times do not show this, because clocks may
/// be set in between.
bool saw_all_flows(const pass_agent_state& state, instant now);

/// Adopts a flow that the upstream may have opened before this agent started:
/// sends the segment to the upstream, which returns it if it does not have the
/// flow.
void adopt(pass_agent_state& state, const segment_header& s, byte_view bytes,
           host_address sender, instant now, pass_actions& out);

/// Tells `receiver`, a searching balancer, a relay or this agent itself, that
/// this agent does not have the flow, or that it is undecided.
void respond_to_search(pass_agent_state& state, const flow_key& flow,
                       host_address receiver, bool undecided,
                       pass_actions& out);

/// Tells the searching balancer that this agent has the flow.
void respond_as_owner(pass_agent_state& state, const flow_key& flow,
                      const awaited_response& question, pass_actions& out);

/// Sends the summaries of the relayed questions whose time is over.
void end_expired_relays(pass_agent_state& state, instant now,
                        pass_actions& out);

/// Offers, forwards, queues or refuses the opening segment of the flow `key`,
/// which must be in `state.flows_`.
void decide_opening(pass_agent_state& state, const flow_key& key, instant now,
                    pass_actions& out);

/// Refuses an opening segment with a reset to its caller. A retransmission that
/// was sent here because the agent of an earlier transmission had timed out is
/// dropped without a reset: that agent may have opened the flow, and a reset
/// would end it.
void refuse(pass_agent_state& state, const flow_key& key, agent_flow& flow,
            const char* reason, instant now, pass_actions& out);

/// Forwards an opening segment that the upstream did not accept to its next
/// candidate. Records a visit of this agent with a backlog higher than any real
/// one, so that the segment does not return here while another agent can queue
/// it. Returns false if no candidate is left, or for a hedge.
bool reroute_opening(pass_agent_state& state, const flow_key& key,
                     agent_flow& flow, const char* reason, instant now,
                     pass_actions& out);

/// Forwards a hedge that this agent's upstream can't get now to its next
/// candidate, or drops it if none is left. Returns false if the upstream has a
/// free slot. A hedge that waits would displace segments that have no other
/// agent, and a reset could end the flow that the first agent opens. A record
/// of the flow would replace that of the first transmission, which may have
/// passed this agent too.
bool pass_on_hedge(const pass_agent_state& state, const place_message& message,
                   const segment_header& opening, instant now,
                   pass_actions& out);

/// Offers queued segments to the upstream while it has free slots: first those
/// that can still meet their latency target, then by priority, then by age.
void offer_queued(pass_agent_state& state, instant now, pass_actions& out);

/// Empties the queue and decides about each of its segments anew. The earlier
/// visit of this agent no longer counts.
void reroute_queued(pass_agent_state& state, instant now, pass_actions& out);

/// Returns when the upstream was last active on a flow, by the evidence that a
/// caller of `end_flows` has.
using activity_time = instant (*)(const agent_flow& flow);

/// Ends the flows without activity since `since`, when no upstream had them any
/// more. Their callers get resets, so that those with idempotent requests can
/// retry at once.
void end_flows(pass_agent_state& state, instant since,
               activity_time last_activity, instant now, pass_actions& out);

/// Adds a decision about the upstream to the log.
void add_upstream_decision(pass_actions& out, const pass_agent_state& state,
                           const char* event, const char* reason,
                           duration age = duration(0));

/// Records that a segment which needs a response is sent to the upstream now.
void await_upstream(pass_agent_state& state, instant now);

/// Updates the state of the checks by a report of the upstream, which is of the
/// same incarnation as the last one or of a new one.
void note_report_for_checks(pass_agent_state& state, bool is_new_incarnation);

/// Records that the agent handles an event now. Returns whether it has resumed
/// after a pause so recently that messages may have waited during the pause.
bool note_attention(pass_agent_state& state, instant now);

/// Sets whether the flow counts as one of the upstream's requests in flight.
void set_occupies_slot(pass_agent_state& state, agent_flow& flow,
                       bool occupies);

/// Adds `sample` to the exponential moving average `average`.
void update_average(duration& average, duration sample);

/// Changes the phase and records the time of the change.
void set_phase(agent_flow& flow, pass_phase phase, instant now);

/// Removes the flow from the queue, if it is there.
void remove_from_queue(pass_agent_state& state, const flow_key& key);

/// Adds a decision about a flow to the log.
void add_decision(pass_actions& out, const pass_agent_state& state,
                  const flow_key& key, const agent_flow& flow,
                  const char* event, const char* reason, instant now,
                  bool important, host_address host = {});

} // namespace galenafork::pvt

#endif
