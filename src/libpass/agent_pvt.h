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
};

/// More bytes than an upstream sends on one flow. An acknowledgement further
/// from the upstream's first sequence number belongs to another upstream's
/// handshake.
inline constexpr std::uint32_t max_sequence_distance = 1U << 26U;

/// A segment that agents have forwarded this many times is in a loop between
/// agents whose state of the flow is outdated.
inline constexpr std::uint8_t max_hops = 8;

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
