/// \file
/// Functions of the agent's side of the flow protocol that its source files
/// share. Those with a parameter `out` append the actions to perform to it.

#ifndef GALENAFORK_LIBFLOW_AGENT_PVT_H
#define GALENAFORK_LIBFLOW_AGENT_PVT_H

#include <galenafork/agent_core.h>

namespace galenafork::pvt
{

/// Sends a message to `peer`.
void send_to(const agent_state& state, const member& peer, peer_body body,
             agent_actions& out);

/// Returns the next random 64-bit number.
std::uint64_t next_random(agent_state& state);

/// Serves, forwards, holds or drops a packet whose service and target have been
/// checked.
void route_packet(agent_state& state, received_packet received, instant now,
                  agent_actions& out);

/// Routes every held packet again; drops those past their hold deadline that
/// would have to be held further.
void retry_held_packets(agent_state& state, instant now, agent_actions& out);

/// Handles a packet of a flow that this agent owns.
void serve_owned_flow(agent_state& state, received_packet received, instant now,
                      agent_actions& out);

/// Adds `expired` to the expired members and applies the change. Fences this
/// agent if it is one of them.
void apply_expired_members(agent_state& state,
                           const std::vector<instance_incarnation>& expired,
                           instant now, agent_actions& out);

/// Updates leases, homes, directories and journal backups after a change of the
/// view, and starts an ownership query for the buckets that need one.
void apply_view_change(agent_state& state, instant now, agent_actions& out);

/// Sends the pending ownership query to the peers that have not replied, at
/// most once per `query_interval_`. Opens the buckets if all have replied.
void send_ownership_query(agent_state& state, instant now, agent_actions& out);

/// Replies to another member's ownership query.
void reply_to_ownership_query(agent_state& state, const peer_header& from,
                              const ownership_query& query, instant now,
                              agent_actions& out);

/// Handles one chunk of an ownership reply. Opens the buckets once all peers
/// have replied.
void handle_ownership_reply(agent_state& state, const peer_header& from,
                            const ownership_reply& reply, instant now,
                            agent_actions& out);

/// Starts transfers of journal entries to new backups and resends the chunks
/// that are not acked yet.
void send_journal_syncs(agent_state& state, instant now, agent_actions& out);

/// Stores journal entries as a new backup.
void handle_journal_sync(agent_state& state, const peer_header& from,
                         const journal_sync& sync, instant now,
                         agent_actions& out);

/// Handles the ack of one chunk of a transfer.
void handle_journal_sync_ack(agent_state& state, const peer_header& from,
                             const journal_sync_ack& ack);

/// Records an entry for its owner if this agent is the journal backup.
void handle_journal_record(agent_state& state, const peer_header& from,
                           const journal_record& record, instant now,
                           agent_actions& out);

/// Handles the journal backup's ack of a record.
void handle_journal_ack(agent_state& state, const peer_header& from,
                        const journal_ack& ack, instant now,
                        agent_actions& out);

/// Starts a new non-idempotent request, answers a duplicate from its journal
/// entry, and ignores a duplicate of a request in progress. Refuses a request
/// whose journal entry may be missing.
void handle_non_idempotent_request(agent_state& state,
                                   const forwarded_packet& packet,
                                   const request_info& request, instant now,
                                   agent_actions& out);

/// Records a refusal at the journal backup and notifies the caller once the
/// backup has acked it.
void record_refusal(agent_state& state, const forwarded_packet& packet,
                    const request_info& request, refusal reason, instant now,
                    agent_actions& out);

/// Resends records that are not acked yet and drops those past their deadline.
void resend_pending_records(agent_state& state, instant now,
                            agent_actions& out);

/// True if journal entries of `bucket` may be missing here.
bool has_journal_gap(const agent_state& state, bucket_id bucket, instant now);

/// Sends `balancer` a stale notice, at most once per `notice_interval_`.
void notify_balancer(agent_state& state, const endpoint& balancer,
                     refusal reason, instant now, agent_actions& out);

} // namespace galenafork::pvt

#endif
