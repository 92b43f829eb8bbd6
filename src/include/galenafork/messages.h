/// \file
/// Messages between balancers and agents, as plain structs. `libwire` turns
/// them into Cap'n Proto datagrams and back.

#ifndef GALENAFORK_MESSAGES_H
#define GALENAFORK_MESSAGES_H

#include <galenafork/error.h>
#include <galenafork/flow.h>
#include <galenafork/ids.h>
#include <galenafork/time.h>
#include <galenafork/trace.h>

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace galenafork
{

/// Payload bytes of a datagram.
using byte_buffer = std::vector<std::uint8_t>;

/// One life of one instance.
struct instance_incarnation
{
    instance_id instance_;
    incarnation incarnation_;

    friend bool operator==(const instance_incarnation& a,
                           const instance_incarnation& b)
    {
        return a.incarnation_ == b.incarnation_ && a.instance_ == b.instance_;
    }
    friend bool operator!=(const instance_incarnation& a,
                           const instance_incarnation& b)
    {
        return !(a == b);
    }
    friend bool operator<(const instance_incarnation& a,
                          const instance_incarnation& b)
    {
        if (a.instance_ != b.instance_)
        {
            return a.instance_ < b.instance_;
        }
        return a.incarnation_ < b.incarnation_;
    }
};

/// Why a packet comes to an agent.
enum class packet_role : std::uint8_t
{
    /// From a balancer, or passed on to the effective home.
    to_home,
    /// From the home: the receiver owns the flow.
    to_owner,
    /// From the home: the receiver owns the flow from now on.
    open_flow,
};

/// Most agents that one packet may pass through.
inline constexpr std::uint8_t max_hops = 4;

/// A caller's packet on its way to the owner of its flow.
struct forwarded_packet
{
    service_name service_;
    /// The agent that passed the packet on; empty from a balancer.
    instance_incarnation sender_;
    instance_incarnation target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
    /// Version of the balancer's rules.
    rules_version rules_version_;
    packet_role role_ = packet_role::to_home;
    std::uint8_t hops_ = 0;
    /// For `to_owner` and `open_flow`: number of the home's placement.
    std::uint64_t placement_id_ = 0;
    /// From an agent: members that it knows to have lapsed.
    std::vector<instance_incarnation> expired_members_;
    /// The rule is retired: known flows go on, no new one opens.
    bool established_only_ = false;
    flow_key flow_;
    /// Where the balancer takes `stale_notice` (UDP); port 0 for none.
    endpoint balancer_;
    /// Where the answer goes (UDP, behind a PROXY v2 header).
    endpoint fabric_;
    trace_context trace_;
    byte_buffer payload_;
};

/// Whom a peer message is from and for.
struct peer_header
{
    service_name service_;
    instance_incarnation sender_;
    instance_incarnation target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
    /// Members that the sender knows to have lapsed; the receiver takes them
    /// over before it acts on the message.
    std::vector<instance_incarnation> expired_members_;
};

/// What an agent tells its peers about its upstream.
struct load_report
{
    /// Requests or open flows that this agent has in flight.
    std::uint32_t in_flight_ = 0;
    slot_count slots_;
    /// Load in thousandths of capacity as the upstream itself reports it.
    std::uint32_t upstream_load_permille_ = 0;
    /// True from its start until the upstream has warmed up.
    bool cold_ = false;
};

/// Asks a watcher for a lease, and tells any member the sender's load.
struct heartbeat
{
    std::uint64_t sequence_ = 0;
    load_report load_;
};

/// Grants the lease asked for by the heartbeat of that sequence number, if
/// the sender is a watcher of the receiver.
struct heartbeat_ack
{
    std::uint64_t sequence_ = 0;
    load_report load_;
    /// False while the sender itself holds no lease: counts only together
    /// with the acks of all other members.
    bool grants_lease_ = false;
};

/// The sender, a watcher, will never again ack `expired_member_`. Counts only
/// for whoever holds a roster at least as new as the header's epoch.
struct expiry_promise
{
    instance_incarnation expired_member_;
};

/// Place of a message in a transfer that was cut to fit datagrams.
struct chunk_position
{
    std::uint16_t index_ = 0;
    std::uint16_t count_ = 1;
};

/// New home to every other member: asks for all it holds of these buckets.
/// Answered only at an epoch at least as new as the header's.
struct ownership_query
{
    std::uint64_t query_id_ = 0;
    std::vector<bucket_id> buckets_;
};

/// Tells the home that the sender does not own a flow, or no more.
struct flow_closed
{
    flow_key flow_;
    /// The placement that this ends; an older one changes nothing.
    std::uint64_t placement_id_ = 0;
};

/// Identity of one request of a flow. A caller's repeat has the same key.
struct request_key
{
    flow_key flow_;
    std::uint16_t message_id_ = 0;
    /// CoAP token, 0 to 8 bytes.
    byte_buffer token_;

    friend bool operator==(const request_key& a, const request_key& b)
    {
        return a.message_id_ == b.message_id_ && a.token_ == b.token_ &&
               a.flow_ == b.flow_;
    }
    friend bool operator<(const request_key& a, const request_key& b)
    {
        if (a.message_id_ != b.message_id_)
        {
            return a.message_id_ < b.message_id_;
        }
        if (a.token_ != b.token_)
        {
            return a.token_ < b.token_;
        }
        return a.flow_ < b.flow_;
    }
};

/// How far the journal knows a request to have come.
enum class journal_entry_state : std::uint8_t
{
    /// Recorded; may be with the upstream.
    started,
    /// Answered; `answer_` holds the upstream's answer.
    finished,
    /// Refused before it reached the upstream.
    refused,
};

/// One journal entry.
struct journal_entry
{
    request_key key_;
    instance_incarnation owner_;
    journal_entry_state state_ = journal_entry_state::started;
    byte_buffer answer_;
};

/// Owner to journal partner: records or updates an entry.
struct journal_record
{
    journal_entry entry_;
};

/// Partner to owner: the entry as the partner holds it. If its owner or state
/// is not what was sent, an earlier owner recorded the request first.
struct journal_ack
{
    journal_entry entry_;
};

/// The sender holds every journal entry of the bucket that `home_` held.
struct complete_journal_copy
{
    bucket_id bucket_;
    instance_incarnation home_;
};

/// The sender may lack journal entries of the bucket for that long yet.
struct journal_gap
{
    bucket_id bucket_;
    duration remaining_{};
};

/// Part of the answer to `ownership_query`.
struct ownership_reply
{
    std::uint64_t query_id_ = 0;
    chunk_position position_;
    /// Flows that the sender owns.
    std::vector<flow_key> flows_;
    /// Entries that the sender holds, its own and those of others.
    std::vector<journal_entry> entries_;
    std::vector<complete_journal_copy> complete_copies_;
    std::vector<journal_gap> gaps_;
};

/// Home to its new journal partner: part of all entries it holds of these
/// buckets.
struct journal_sync
{
    std::uint64_t sync_id_ = 0;
    chunk_position position_;
    std::vector<bucket_id> buckets_;
    std::vector<journal_entry> entries_;
    /// Members known to have lapsed whose entries are all in this transfer.
    std::vector<instance_incarnation> expired_members_;
};

/// Confirms one chunk of a `journal_sync`.
struct journal_sync_ack
{
    std::uint64_t sync_id_ = 0;
    std::uint16_t index_ = 0;
};

/// Body of a message between two agents of one service.
using peer_body =
    std::variant<heartbeat, heartbeat_ack, expiry_promise, ownership_query,
                 ownership_reply, flow_closed, journal_record, journal_ack,
                 journal_sync, journal_sync_ack>;

/// A message between two agents of one service.
struct peer_message
{
    peer_header header_;
    peer_body body_;
};

/// Agent to balancer: its roster of this service is old.
struct stale_notice
{
    service_name service_;
    epoch epoch_;
    /// Members of that epoch known to have lapsed.
    std::vector<instance_incarnation> expired_members_;
    refusal reason_ = refusal::none;
};

/// Anything that travels in one datagram between processes of the system.
using datagram = std::variant<forwarded_packet, peer_message, stale_notice>;

} // namespace galenafork

#endif
