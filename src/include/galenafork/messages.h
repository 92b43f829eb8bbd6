/// \file
/// Messages between balancers and agents, as plain structs. `libwire` turns
/// them into Cap'n Proto datagrams and back.

#ifndef GALENAFORK_MESSAGES_H
#define GALENAFORK_MESSAGES_H

#include <galenafork/error.h>
#include <galenafork/flow.h>
#include <galenafork/ids.h>
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
struct instance_life
{
    instance_id instance_;
    incarnation incarnation_;

    friend bool operator==(const instance_life& a, const instance_life& b)
    {
        return a.incarnation_ == b.incarnation_ && a.instance_ == b.instance_;
    }
    friend bool operator!=(const instance_life& a, const instance_life& b)
    {
        return !(a == b);
    }
    friend bool operator<(const instance_life& a, const instance_life& b)
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
    open_here,
};

/// Most agents that one packet may pass through.
inline constexpr std::uint8_t max_hops = 4;

/// A caller's packet on its way to the owner of its flow.
struct forwarded_packet
{
    service_name service_;
    instance_life target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
    packet_role role_ = packet_role::to_home;
    std::uint8_t hops_ = 0;
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
    instance_life sender_;
    instance_life target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
};

/// What an agent tells its peers about its upstream.
struct load_report
{
    /// Requests or open flows that this agent has in flight.
    std::uint32_t in_flight_ = 0;
    slot_count slots_;
    /// Load in thousandths of capacity as the upstream itself reports it.
    std::uint32_t reported_permille_ = 0;
    /// True from its start until the upstream has warmed up.
    bool cold_ = false;
};

/// Asks a watcher for a lease.
struct heartbeat
{
    std::uint64_t sequence_ = 0;
    load_report load_;
};

/// Grants the lease asked for by the heartbeat of that sequence number.
struct heartbeat_ack
{
    std::uint64_t sequence_ = 0;
    load_report load_;
};

/// The sender, a watcher, will never again ack `lapsed_`.
struct lapse_promise
{
    instance_life lapsed_;
};

/// A flow and the member that owns it.
struct directory_entry
{
    flow_key flow_;
    instance_life owner_;
};

/// Place of a message in a transfer that was cut to fit datagrams.
struct chunk_position
{
    std::uint16_t index_ = 0;
    std::uint16_t count_ = 1;
};

/// Planned change of home: part of the old home's directory of one bucket.
struct directory_chunk
{
    bucket_id bucket_;
    chunk_position position_;
    std::vector<directory_entry> entries_;
};

/// Confirms one `directory_chunk`.
struct directory_ack
{
    bucket_id bucket_;
    std::uint16_t index_ = 0;
};

/// Takeover: asks for the flows that the receiver owns in a bucket.
struct ownership_query
{
    bucket_id bucket_;
};

/// Part of the answer to `ownership_query`.
struct ownership_reply
{
    bucket_id bucket_;
    chunk_position position_;
    std::vector<flow_key> flows_;
};

/// The owner tells the home that a flow has ended.
struct flow_closed
{
    flow_key flow_;
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
enum class journal_state : std::uint8_t
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
    instance_life owner_;
    journal_state state_ = journal_state::started;
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

/// Owner to new partner: part of its live entries of one bucket.
struct journal_sync
{
    bucket_id bucket_;
    chunk_position position_;
    std::vector<journal_entry> entries_;
};

/// Confirms one `journal_sync`.
struct journal_sync_ack
{
    bucket_id bucket_;
    std::uint16_t index_ = 0;
};

/// Body of a message between two agents of one service.
using peer_body =
    std::variant<heartbeat, heartbeat_ack, lapse_promise, directory_chunk,
                 directory_ack, ownership_query, ownership_reply, flow_closed,
                 journal_record, journal_ack, journal_sync, journal_sync_ack>;

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
    std::vector<instance_life> lapsed_;
    refusal reason_ = refusal::none;
};

/// Anything that travels in one datagram between processes of the system.
using datagram = std::variant<forwarded_packet, peer_message, stale_notice>;

} // namespace galenafork

#endif
