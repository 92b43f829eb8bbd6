/// \file
/// Messages between balancers and agents, as plain structs. `libwire` encodes
/// them as Cap'n Proto datagrams and decodes them.

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

/// Bytes of a datagram or of a part of it.
using byte_buffer = std::vector<std::uint8_t>;

/// One incarnation of an instance.
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

/// Why a packet is sent to an agent.
enum class packet_role : std::uint8_t
{
    /// From a balancer, or from an agent that forwards the packet to the
    /// effective home of its flow.
    to_home,
    /// From the home, whose directory has the receiver as owner of the flow.
    to_owner,
    /// From the home, which has chosen the receiver as owner of a new flow.
    open_flow,
};

/// Maximum number of times that agents may forward one packet.
inline constexpr std::uint8_t max_hops = 4;

/// A caller's packet, forwarded towards the owner of its flow.
struct forwarded_packet
{
    service_name service_;
    /// The agent that forwarded the packet; empty if a balancer did.
    instance_incarnation sender_;
    instance_incarnation target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
    /// Version of the balancer's rules.
    rules_version rules_version_;
    packet_role role_ = packet_role::to_home;
    std::uint8_t hops_ = 0;
    /// For `to_owner` and `open_flow`: number that the home has given to the
    /// placement of the flow.
    std::uint64_t placement_id_ = 0;
    /// From an agent: the members whose leases it has recorded as expired for
    /// good.
    std::vector<instance_incarnation> expired_members_;
    /// The rule is retired: open flows continue, no new flow opens.
    bool established_only_ = false;
    flow_key flow_;
    /// Where the balancer receives a `stale_notice` (UDP); port 0 if it
    /// receives none.
    endpoint balancer_;
    /// Where answers to the caller are sent (UDP, each behind a PROXY v2
    /// header).
    endpoint fabric_;
    trace_context trace_;
    byte_buffer payload_;
};

/// Sender and receiver of a peer message.
struct peer_header
{
    service_name service_;
    instance_incarnation sender_;
    instance_incarnation target_;
    /// Epoch of the sender's roster.
    epoch epoch_;
    /// Members whose leases the sender has recorded as expired for good; the
    /// receiver records them before it handles the message.
    std::vector<instance_incarnation> expired_members_;
};

/// Load of an agent's upstream, as reported to the agent's peers.
struct load_report
{
    /// Requests that the agent has in flight at its upstream.
    std::uint32_t in_flight_ = 0;
    slot_count slots_;
    /// Load in thousandths of capacity, as reported by the upstream itself.
    std::uint32_t upstream_load_permille_ = 0;
    /// True while the upstream warms up after its start.
    bool cold_ = false;
};

/// Requests a lease from a watcher and reports the sender's load to any member.
struct heartbeat
{
    std::uint64_t sequence_ = 0;
    load_report load_;
};

/// Acknowledges the heartbeat with this sequence number. From a watcher of the
/// receiver, grants the lease that the heartbeat requested.
struct heartbeat_ack
{
    std::uint64_t sequence_ = 0;
    load_report load_;
    /// False while the sender itself holds no lease. The ack then counts for
    /// the receiver's lease only together with acks of all other members.
    bool grants_lease_ = false;
};

/// Promise of a watcher never to ack a heartbeat of `expired_member_` again. A
/// receiver whose roster is older than the header's epoch ignores the message.
struct expiry_promise
{
    instance_incarnation expired_member_;
};

/// Position of a message in a transfer that is split to fit datagrams.
struct chunk_position
{
    std::uint16_t index_ = 0;
    std::uint16_t count_ = 1;
};

/// From a new home to every other member: requests the flows and journal
/// entries of these buckets. A member whose roster is older than the header's
/// epoch does not reply.
struct ownership_query
{
    std::uint64_t query_id_ = 0;
    std::vector<bucket_id> buckets_;
};

/// Reports to the home that the sender does not own the flow, or no longer
/// does.
struct flow_closed
{
    flow_key flow_;
    /// The placement that has ended. The home ignores the message if its
    /// directory has another placement of the flow.
    std::uint64_t placement_id_ = 0;
};

/// Identifies one request of a flow. Retransmissions of the request have the
/// same key.
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

/// State of a request according to its journal entry.
enum class journal_entry_state : std::uint8_t
{
    /// Recorded; may have been sent to the upstream.
    started,
    /// Answered; `answer_` holds the upstream's answer.
    finished,
    /// Refused before it reached the upstream.
    refused,
};

/// Journal entry of one non-idempotent request.
struct journal_entry
{
    request_key key_;
    instance_incarnation owner_;
    journal_entry_state state_ = journal_entry_state::started;
    byte_buffer answer_;
};

/// From an owner to its journal backup: adds or updates an entry.
struct journal_record
{
    journal_entry entry_;
};

/// From the journal backup to the owner: the entry as the backup has it.
/// Another owner in it means that the request has been, or may have been,
/// recorded earlier by another owner. An ack with another state than the record
/// belongs to an earlier record of the entry.
struct journal_ack
{
    journal_entry entry_;
};

/// The sender has every journal entry of the bucket that `home_` had.
struct complete_journal_copy
{
    bucket_id bucket_;
    instance_incarnation home_;
};

/// The sender may lack journal entries of the bucket. Retransmissions of their
/// requests may arrive for another `remaining_`.
struct journal_gap
{
    bucket_id bucket_;
    duration remaining_{};
};

/// Part of the reply to an `ownership_query`.
struct ownership_reply
{
    std::uint64_t query_id_ = 0;
    chunk_position position_;
    /// Flows that the sender owns.
    std::vector<flow_key> flows_;
    /// Entries that the sender has, including those of other owners.
    std::vector<journal_entry> entries_;
    std::vector<complete_journal_copy> complete_copies_;
    std::vector<journal_gap> gaps_;
};

/// From a home to a new journal backup: part of the home's entries of these
/// buckets.
struct journal_sync
{
    std::uint64_t sync_id_ = 0;
    chunk_position position_;
    std::vector<bucket_id> buckets_;
    std::vector<journal_entry> entries_;
    /// Members whose leases have expired for good and whose entries are all in
    /// this transfer.
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

/// From an agent to a balancer: the balancer's roster of the service is
/// outdated.
struct stale_notice
{
    service_name service_;
    epoch epoch_;
    /// Members of the roster of that epoch whose leases have expired for good.
    std::vector<instance_incarnation> expired_members_;
    refusal reason_ = refusal::none;
};

/// A message that balancers and agents send as one datagram.
using datagram = std::variant<forwarded_packet, peer_message, stale_notice>;

} // namespace galenafork

#endif
