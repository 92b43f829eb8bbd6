/// \file
/// The agent's side of the flow protocol, without input or output: each
/// function takes the agent's state, an event and the current time, updates
/// the state and returns the actions to perform. The daemon and the tests run
/// the same code.

#ifndef GALENAFORK_AGENT_CORE_H
#define GALENAFORK_AGENT_CORE_H

#include <galenafork/journal.h>
#include <galenafork/lease.h>
#include <galenafork/load_settings.h>
#include <galenafork/member_view.h>
#include <galenafork/messages.h>

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

namespace galenafork
{

/// Timeouts and limits of flows and their packets.
struct flow_settings
{
    /// A flow ends after this time without a packet.
    duration idle_timeout_ = std::chrono::seconds(60);
    /// Maximum time that a packet is held because it can be neither routed nor
    /// served yet, for example because its home's directory is incomplete.
    duration hold_time_ = std::chrono::milliseconds(1500);
    /// Maximum number of held packets; further ones are dropped.
    std::size_t max_held_packets_ = 4096;
    /// Interval at which an ownership query is resent to peers that have not
    /// replied.
    duration query_interval_ = std::chrono::milliseconds(50);
    /// Minimum time between two stale notices to the same balancer.
    duration notice_interval_ = std::chrono::milliseconds(20);
    /// Time limit for the upstream's answer to a non-idempotent request.
    duration request_time_ = std::chrono::seconds(5);
};

/// Settings of the agent's side of the flow protocol.
struct agent_settings
{
    lease_settings lease_;
    journal_settings journal_;
    flow_settings flow_;
};

/// What the agent's codec extracted from a caller's packet. Absent for opaque
/// flows and for packets that are not requests.
struct request_info
{
    request_key key_;
    bool idempotent_ = true;
};

/// One flow that this agent owns.
struct owned_flow
{
    instant last_packet_;
    endpoint fabric_;
    /// Id of the home's newest placement of this flow on this agent.
    std::uint64_t placement_id_ = 0;
    /// Requests in flight at the upstream.
    std::uint32_t in_flight_ = 0;
};

/// A home's record of a flow that another member owns.
struct directory_record
{
    instance_incarnation owner_;
    instant last_packet_;
    /// Id of this placement; a later placement of the flow by the same home has
    /// a higher id. Zero if the record comes from the owner's reply to an
    /// ownership query.
    std::uint64_t placement_id_ = 0;
};

/// This agent's state for one bucket.
struct bucket_state
{
    /// This agent is the effective home of the bucket.
    bool is_home_ = false;
    /// As home: the directory has every flow of the bucket that another member
    /// owns, so new flows may open.
    bool directory_complete_ = false;
    /// As home: the journal backup has every journal entry of the bucket.
    bool backup_synced_ = false;
    /// Journal entries of the bucket may be missing here until this time.
    std::optional<instant> journal_gap_until_;
    /// As journal backup: the home whose journal entries this agent holds in
    /// full, and the expired members whose entries are among them.
    std::optional<instance_incarnation> copied_home_;
    std::vector<instance_incarnation> copied_expired_members_;
    /// The last effective home in this agent's view.
    std::optional<instance_incarnation> last_home_;
    /// As home with an incomplete directory: the effective home before this
    /// agent.
    std::optional<instance_incarnation> predecessor_;
};

/// A caller's packet with what the codec extracted from it.
struct received_packet
{
    forwarded_packet packet_;
    std::optional<request_info> request_;
    /// The packet is dropped if it is still held at this time.
    instant hold_deadline_;
};

/// The ownership query in progress. It covers every bucket of this home whose
/// directory is incomplete.
struct pending_ownership_query
{
    std::uint64_t query_id_ = 0;
    std::vector<bucket_id> buckets_;
    instant last_sent_;
    /// For each peer, which chunks of its reply have arrived; a peer without
    /// any is absent.
    std::map<instance_incarnation, std::vector<bool>> received_chunks_;
    std::vector<complete_journal_copy> complete_copies_;
};

/// The reply to a peer's ownership query, split into chunks once and resent
/// for each retransmission of the query.
struct cached_ownership_reply
{
    std::uint64_t query_id_ = 0;
    std::vector<ownership_reply> chunks_;
};

/// A transfer of journal entries to a new backup, in progress.
struct outgoing_sync
{
    std::uint64_t sync_id_ = 0;
    instance_incarnation backup_;
    instant last_sent_;
    std::vector<journal_sync> chunks_;
    std::vector<bool> acked_chunks_;
};

/// A transfer of journal entries from a home, received in chunks.
struct incoming_sync
{
    std::uint64_t sync_id_ = 0;
    std::vector<bool> received_chunks_;
};

/// A journal entry that the backup has not acked yet.
struct pending_record
{
    /// Packet of the request; empty once the request has finished.
    forwarded_packet packet_;
    journal_entry entry_;
    /// For a refusal: the reason given to the caller.
    refusal reason_ = refusal::none;
    instant last_sent_;
    instant deadline_;
};

/// A peer's last load report.
struct peer_load
{
    load_report report_;
    instant received_at_;
    /// Flows that this home assigned to the peer since the report.
    std::uint32_t assigned_since_report_ = 0;
};

struct agent_state;
/// Chooses the owner of a new flow: this agent or a live, serving peer.
/// `random` is a uniformly random 64-bit value.
using owner_chooser = instance_incarnation (*)(const agent_state& state,
                                               bucket_id bucket, instant now,
                                               std::uint64_t random);

/// Complete state of the agent's side of the flow protocol.
struct agent_state
{
    agent_settings settings_;
    instance_incarnation self_;
    member_view view_;
    lease_state lease_;
    watch_state watch_;
    std::array<bucket_state, bucket_count> buckets_{};
    std::unordered_map<flow_key, owned_flow> owned_flows_;
    std::unordered_map<flow_key, directory_record> directory_;
    request_journal journal_;
    std::deque<received_packet> held_packets_;
    std::optional<pending_ownership_query> pending_ownership_query_;
    std::map<instance_incarnation, cached_ownership_reply> ownership_replies_;
    std::map<instance_incarnation, outgoing_sync> outgoing_syncs_;
    std::map<instance_incarnation, incoming_sync> incoming_syncs_;
    std::map<request_key, pending_record> pending_records_;
    std::map<instance_id, peer_load> peer_loads_;
    /// Balancers that have sent packets, and when each was last sent a stale
    /// notice.
    std::map<endpoint, instant> balancers_;
    load_report load_;
    owner_chooser choose_owner_ = nullptr;
    /// Settings that `choose_owner_` uses.
    load_settings load_settings_;
    /// State of the random number generator.
    std::uint64_t random_state_ = 0;
    std::uint64_t next_id_ = 1;
    /// True once this incarnation has expired or was removed: it serves no
    /// packet any more.
    bool fenced_ = false;
    std::optional<instant> last_heartbeat_;
    /// Last scan for idle flows and expired journal entries.
    std::optional<instant> last_sweep_;
    /// When this agent recorded each loss that may have taken journal entries
    /// with it. A member lost while joining held no entries as home: a home
    /// opens its buckets only after every live member has replied to it under
    /// a roster that lists it as serving.
    std::map<instance_incarnation, instant> member_loss_times_;
    /// Last request for a newer roster made because the lease is missing.
    std::optional<instant> last_roster_fetch_;
    /// Last removal request for each member.
    std::map<instance_incarnation, instant> removal_request_times_;
};

/// Sends a message to another agent.
struct send_peer_message
{
    peer_message message_;
    endpoint to_;
};

/// Forwards a caller's packet to another agent.
struct forward_to_agent
{
    forwarded_packet packet_;
    endpoint to_;
};

/// Notifies a balancer that its roster is out of date.
struct send_stale_notice
{
    stale_notice notice_;
    endpoint to_;
};

/// Sends a packet to the upstream on the flow's own socket.
struct send_to_upstream
{
    forwarded_packet packet_;
    std::optional<request_info> request_;
    /// For a non-idempotent request: time limit for the upstream's answer.
    std::optional<duration> upstream_timeout_;
};

/// Sends the caller the stored answer to a duplicate request.
struct send_stored_answer
{
    flow_key flow_;
    endpoint fabric_;
    byte_buffer answer_;
};

/// Refuses a caller's packet and counts the refusal. If `notify_caller_` is
/// set and the packet is a request that can be answered, `verdict_` is sent to
/// the caller; otherwise the packet is dropped.
struct refuse_packet
{
    forwarded_packet packet_;
    verdict verdict_;
    /// False: send no answer, so that the caller retransmits.
    bool notify_caller_ = false;
};

/// Closes the socket to the upstream of a flow that has ended.
struct close_flow
{
    flow_key flow_;
};

/// Makes the control thread fetch the newest roster from the platform.
struct fetch_roster
{
    /// Lowest epoch that is of use to the agent; the control thread does not
    /// check it.
    epoch min_epoch_;
};

/// Makes the control thread remove a member from the roster, provided that the
/// newest roster still contains this agent.
struct request_removal
{
    instance_incarnation lost_member_;
};

/// Makes the daemon discard the state of this incarnation and join again.
struct rejoin_service
{
};

/// An action for the daemon to perform.
using agent_action =
    std::variant<send_peer_message, forward_to_agent, send_stale_notice,
                 send_to_upstream, send_stored_answer, refuse_packet,
                 close_flow, fetch_roster, request_removal, rejoin_service>;

/// Actions in the order in which they are to be performed.
using agent_actions = std::vector<agent_action>;

/// Returns the state of a new agent `self`, a member in `initial_roster`, whose
/// join request was sent at `join_requested_at`. `seed` seeds the random number
/// generator.
agent_state make_agent(const agent_settings& settings,
                       const instance_incarnation& self,
                       const roster& initial_roster, instant join_requested_at,
                       std::uint64_t seed);

/// Handles a packet from a balancer or another agent. A packet that can be
/// neither routed nor served yet is held.
agent_actions on_packet(agent_state& state, forwarded_packet packet,
                        std::optional<request_info> request, instant now);

/// Handles a message from another agent. A message for another service or
/// incarnation changes nothing.
agent_actions on_peer_message(agent_state& state, const peer_message& message,
                              instant now);

/// Applies a roster from the platform or a peer. One that is not newer than the
/// present roster changes nothing.
agent_actions on_roster(agent_state& state, const roster& next, instant now);

/// Handles the upstream's answer to a request of `flow`. `key` is set if the
/// request was non-idempotent; `answer` is then stored for duplicates.
agent_actions on_upstream_answer(agent_state& state, const flow_key& flow,
                                 const std::optional<request_key>& key,
                                 const byte_buffer& answer, instant now);

/// Handles the refusal of an owned flow's packet by the admission policy,
/// before the packet reached the upstream.
agent_actions on_request_shed(agent_state& state,
                              const forwarded_packet& packet,
                              const std::optional<request_info>& request,
                              refusal reason, instant now);

/// Does the periodic work; to be called every 10 to 50 ms.
agent_actions on_tick(agent_state& state, instant now);

/// True if this agent owns no flow and holds no journal entry of its own, so
/// that it may leave once it is draining.
bool may_leave(const agent_state& state);

} // namespace galenafork

#endif
