/// \file
/// Parts of the agent's decisions that call each other.

#ifndef GALENAFORK_LIBFLOW_AGENT_PVT_H
#define GALENAFORK_LIBFLOW_AGENT_PVT_H

#include <galenafork/agent_core.h>

namespace galenafork::pvt
{

/// Appends a message to `peer`.
void send_to(const agent_state& state, const member& peer, peer_body body,
             agent_actions& out);

/// The next random number.
std::uint64_t next_random(agent_state& state);

/// Handles a packet whose envelope was checked; holds it if it has to wait.
void route_packet(agent_state& state, received_packet arrival, instant now,
                  agent_actions& out);

/// Tries every held packet again and drops those whose time is over.
void retry_held(agent_state& state, instant now, agent_actions& out);

/// The owner takes a packet of its flow.
void serve_owned(agent_state& state, received_packet arrival, instant now,
                 agent_actions& out);

/// Takes over what another member knows of lapsed members.
void learn_lapsed(agent_state& state,
                  const std::vector<instance_incarnation>& lives, instant now,
                  agent_actions& out);

/// Settles homes, directories and partners after the view changed.
void settle_view(agent_state& state, instant now, agent_actions& out);

/// Sends or repeats the takeover query.
void drive_query(agent_state& state, instant now, agent_actions& out);

/// Answers another member's takeover query.
void answer_query(agent_state& state, const peer_header& from,
                  const ownership_query& query, instant now,
                  agent_actions& out);

/// Takes in part of an answer; opens the buckets once all have answered.
void take_reply(agent_state& state, const peer_header& from,
                const ownership_reply& reply, instant now, agent_actions& out);

/// Starts or repeats transfers of journal entries to new partners.
void drive_syncs(agent_state& state, instant now, agent_actions& out);

/// Takes in entries as a new partner.
void take_sync(agent_state& state, const peer_header& from,
               const journal_sync& sync, instant now, agent_actions& out);

/// One chunk of a transfer was confirmed.
void take_sync_ack(agent_state& state, const peer_header& from,
                   const journal_sync_ack& ack);

/// Records an entry for its owner, if this agent is the partner.
void take_record(agent_state& state, const peer_header& from,
                 const journal_record& record, instant now, agent_actions& out);

/// The partner confirmed a record.
void take_record_ack(agent_state& state, const peer_header& from,
                     const journal_ack& ack, instant now, agent_actions& out);

/// Starts a non-idempotent request or repeats what is known of it.
void guard_request(agent_state& state, const forwarded_packet& packet,
                   const request_info& request, instant now,
                   agent_actions& out);

/// Records a refusal at the partner and tells the caller once that is done.
void record_refusal(agent_state& state, const forwarded_packet& packet,
                    const request_info& request, refusal reason, instant now,
                    agent_actions& out);

/// Sends unconfirmed records again and gives up those past their time.
void drive_records(agent_state& state, instant now, agent_actions& out);

/// True if entries of `bucket` may be missing here.
bool has_gap(const agent_state& state, bucket_id bucket, instant now);

/// Tells the balancer of `packet` about this agent's roster.
void notify_balancer(agent_state& state, const endpoint& balancer,
                     refusal reason, instant now, agent_actions& out);

} // namespace galenafork::pvt

#endif
