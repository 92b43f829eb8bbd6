/// \file
/// The agent's decisions: (state, event, now) -> actions. The daemon, trace
/// replay and the tests drive this same code.

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

/// Times and bounds of flows and packets.
struct flow_settings
{
    /// A flow without packets for so long has ended.
    duration idle_timeout_ = std::chrono::seconds(60);
    /// How long a packet waits for a home that may not open yet.
    duration hold_time_ = std::chrono::milliseconds(1500);
    /// Most packets that wait.
    std::size_t max_held_packets_ = 4096;
    /// Between two tries of a takeover query.
    duration query_interval_ = std::chrono::milliseconds(50);
    /// Between two notices to the same balancer.
    duration notice_interval_ = std::chrono::milliseconds(20);
    /// Time that the upstream gets for a non-idempotent request.
    duration request_time_ = std::chrono::seconds(5);
};

/// All settings of the decisions.
struct agent_settings
{
    lease_settings lease_;
    journal_settings journal_;
    flow_settings flow_;
};

/// What the agent's codec found in a caller's packet. Absent for opaque flows
/// and for packets that are no request.
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
    /// Number of the home's newest placement of this flow here.
    std::uint64_t placement_id_ = 0;
    /// Requests at the upstream.
    std::uint32_t in_flight_ = 0;
};

/// One flow of a bucket of this home that another member owns.
struct directory_record
{
    instance_incarnation owner_;
    instant last_packet_;
    /// Number of this placement; a later one of the flow has a higher number.
    std::uint64_t placement_id_ = 0;
};

/// This agent's part in one bucket.
struct bucket_state
{
    /// This agent is the effective home.
    bool is_home_ = false;
    /// As home: the directory is complete, flows may open.
    bool directory_complete_ = false;
    /// As home: the journal partner has every entry.
    bool backup_synced_ = false;
    /// As home: entries may be missing until then.
    std::optional<instant> journal_gap_until_;
    /// As partner: the home whose entries are all here, and the lapsed
    /// members whose entries that includes.
    std::optional<instance_incarnation> copied_home_;
    std::vector<instance_incarnation> copied_expired_members_;
    /// The last effective home that this agent knew.
    std::optional<instance_incarnation> last_home_;
    /// As home that is not complete: the home before it.
    std::optional<instance_incarnation> predecessor_;
};

/// A caller's packet with what the codec found in it.
struct received_packet
{
    forwarded_packet packet_;
    std::optional<request_info> request_;
    /// How long it may wait for a home that may not open yet.
    instant hold_deadline_;
};

/// The takeover query in progress; covers every incomplete bucket.
struct pending_ownership_query
{
    std::uint64_t query_id_ = 0;
    std::vector<bucket_id> buckets_;
    instant last_sent_;
    /// Chunks still missing, by peer; a peer that has not answered at all is
    /// absent.
    std::map<instance_incarnation, std::vector<bool>> received_chunks_;
    std::vector<complete_journal_copy> complete_copies_;
};

/// The answer to a peer's query, cut once and sent again on each repeat.
struct cached_ownership_reply
{
    std::uint64_t query_id_ = 0;
    std::vector<ownership_reply> chunks_;
};

/// A transfer of journal entries to a new partner in progress.
struct outgoing_sync
{
    std::uint64_t sync_id_ = 0;
    instance_incarnation backup_;
    instant last_sent_;
    std::vector<journal_sync> chunks_;
    std::vector<bool> acked_chunks_;
};

/// A transfer from a home that arrives in parts.
struct incoming_sync
{
    std::uint64_t sync_id_ = 0;
    std::vector<bool> received_chunks_;
};

/// A non-idempotent request that waits for the partner's ack.
struct pending_record
{
    forwarded_packet packet_;
    journal_entry entry_;
    /// For a refusal: the reason.
    refusal reason_ = refusal::none;
    instant last_sent_;
    instant deadline_;
};

/// What this agent last heard of a peer's load.
struct peer_load
{
    load_report report_;
    instant received_at_;
    /// Flows that this home gave the peer since.
    std::uint32_t assigned_since_report_ = 0;
};

/// Chooses the owner of a new flow: this agent or a live, serving peer.
struct agent_state;
using owner_chooser = instance_incarnation (*)(const agent_state& state,
                                               bucket_id bucket, instant now,
                                               std::uint64_t draw);

/// Everything that the decisions keep.
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
    /// Balancers that sent packets lately, and when each was last sent a
    /// notice.
    std::map<endpoint, instant> balancers_;
    load_report load_;
    owner_chooser choose_owner_ = nullptr;
    /// For `choose_owner_`.
    load_settings load_settings_;
    /// State of the random number generator; seeded by the caller.
    std::uint64_t random_state_ = 0;
    std::uint64_t next_id_ = 1;
    /// True once this incarnation has lapsed or was removed: it acts no more.
    bool fenced_ = false;
    std::optional<instant> last_heartbeat_;
    /// Last search for idle flows and expired entries.
    std::optional<instant> last_sweep_;
    /// When this agent learned of each loss that may have taken journal
    /// entries along. A member lost while it was joining held none: no home
    /// opens before every member has answered it as serving.
    std::map<instance_incarnation, instant> member_loss_times_;
    /// Last request for a newer roster because the lease is missing.
    std::optional<instant> last_roster_fetch_;
    /// Last requests to remove a member.
    std::map<instance_incarnation, instant> removal_request_times_;
};

/// Sends a message to another agent.
struct send_peer_message
{
    peer_message message_;
    endpoint to_;
};

/// Passes a caller's packet to another agent.
struct forward_to_agent
{
    forwarded_packet packet_;
    endpoint to_;
};

/// Tells a balancer that its roster is old.
struct send_stale_notice
{
    stale_notice notice_;
    endpoint to_;
};

/// Passes a packet to the upstream on the flow's own socket.
struct send_to_upstream
{
    forwarded_packet packet_;
    std::optional<request_info> request_;
    /// For a non-idempotent request: how long the upstream may take.
    std::optional<duration> upstream_timeout_;
};

/// Sends the caller the stored answer of a repeated request.
struct send_stored_answer
{
    flow_key flow_;
    endpoint fabric_;
    byte_buffer answer_;
};

/// Refuses a caller's packet. `verdict_` is told to the caller if the packet
/// is a request that can be answered; else the packet is dropped and counted.
struct refuse_packet
{
    forwarded_packet packet_;
    verdict verdict_;
    /// False: say nothing, so that the caller repeats.
    bool notify_caller_ = false;
};

/// The flow has ended: its socket to the upstream may be closed.
struct close_flow
{
    flow_key flow_;
};

/// The control thread is to fetch a roster of at least this epoch.
struct fetch_roster
{
    epoch min_epoch_;
};

/// The control thread is to remove a member from the roster, if this agent is
/// a member itself in the newest one.
struct request_removal
{
    instance_incarnation lost_member_;
};

/// This incarnation is out: the daemon drops everything and joins anew.
struct rejoin_service
{
};

/// Something that the shell around the decisions has to do.
using agent_action =
    std::variant<send_peer_message, forward_to_agent, send_stale_notice,
                 send_to_upstream, send_stored_answer, refuse_packet,
                 close_flow, fetch_roster, request_removal, rejoin_service>;

/// Actions in the order in which they are to be done.
using agent_actions = std::vector<agent_action>;

/// A new agent: `self` joined `first` (which names it) by a request sent at
/// `joined`.
agent_state make_agent(const agent_settings& settings,
                       const instance_incarnation& self, const roster& first,
                       instant joined, std::uint64_t seed);

/// A packet from a balancer or another agent.
agent_actions on_packet(agent_state& state, forwarded_packet packet,
                        std::optional<request_info> request, instant now);

/// A message from another agent.
agent_actions on_peer_message(agent_state& state, const peer_message& message,
                              instant now);

/// A roster from the platform or a peer; older ones change nothing.
agent_actions on_roster(agent_state& state, const roster& next, instant now);

/// The upstream answered a request of `flow`. `key` is that of the request if
/// it was non-idempotent; `answer` is then kept for repeats.
agent_actions on_upstream_answer(agent_state& state, const flow_key& flow,
                                 const std::optional<request_key>& key,
                                 const byte_buffer& answer, instant now);

/// The admission policy refuses a request of an owned flow before it reached
/// the upstream.
agent_actions on_request_shed(agent_state& state,
                              const forwarded_packet& packet,
                              const std::optional<request_info>& request,
                              refusal reason, instant now);

/// Time passes; to be called every 10 to 50 ms.
agent_actions on_tick(agent_state& state, instant now);

/// True if this agent owns no flow and keeps no journal entry of its own: a
/// draining member may leave.
bool may_leave(const agent_state& state);

} // namespace galenafork

#endif
