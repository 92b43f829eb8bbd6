#include "fields.h"

#include <galenafork/wire.h>

#include <capnp/message.h>
#include <cstring>
#include <exception>
#include <kj/exception.h>

namespace galenafork
{

namespace
{

using namespace pvt;
using pvt::read;

constexpr std::size_t segment_table_bytes = 8;
constexpr std::size_t word_bytes = sizeof(capnp::word);

// The most deeply nested message (datagram, peer message, reply, entry list,
// entry, owner, name) has seven levels.
constexpr int nesting_limit = 8;

// Limit of the words that are read in total, as a multiple of the message size.
// No name or list of a valid message is read twice; a higher total means that
// pointers share their targets.
constexpr std::uint64_t traversal_factor = 2;

complete_journal_copy read(schema::JournalMark::Reader in)
{
    return {read_bucket(in.getBucket()), read(in.getHome())};
}

journal_gap read(schema::JournalGap::Reader in)
{
    require(in.getRemainingMicroseconds() >= 0,
            "negative duration of a journal gap");
    return {read_bucket(in.getBucket()),
            duration(in.getRemainingMicroseconds())};
}

bucket_id read(std::uint16_t bucket)
{
    return read_bucket(bucket);
}

template <class Item, class ListReader>
std::vector<Item> read_list(ListReader in)
{
    require(in.size() <= max_list_items, "list is too long");
    std::vector<Item> items;
    items.reserve(in.size());
    for (const auto item : in)
    {
        items.push_back(read(item));
    }
    return items;
}

forwarded_packet read(schema::ForwardedPacket::Reader in)
{
    require(in.getRole() <= static_cast<std::uint8_t>(packet_role::open_flow),
            "unknown packet role");
    require(in.getHops() <= max_hops, "too many hops");
    forwarded_packet packet;
    packet.service_ = service_name(read_name(in.getService()));
    packet.target_ = read(in.getTarget());
    packet.epoch_ = epoch(in.getEpoch());
    packet.role_ = static_cast<packet_role>(in.getRole());
    packet.hops_ = in.getHops();
    packet.flow_ = read(in.getFlow());
    packet.balancer_ = read(in.getBalancer());
    packet.fabric_ = read(in.getFabric());
    packet.trace_ = read(in.getTrace());
    packet.payload_ = read_bytes(in.getPayload(), max_datagram_bytes);
    packet.rules_version_ = rules_version(in.getRulesVersion());
    packet.established_only_ = in.getEstablishedOnly();
    packet.placement_id_ = in.getPlacement();
    if (in.hasSender())
    {
        packet.sender_ = read(in.getSender());
    }
    packet.expired_members_ = read_list<instance_incarnation>(in.getLapsed());
    return packet;
}

peer_header read(schema::PeerHeader::Reader in)
{
    peer_header header;
    header.service_ = service_name(read_name(in.getService()));
    header.sender_ = read(in.getSender());
    header.target_ = read(in.getTarget());
    header.epoch_ = epoch(in.getEpoch());
    header.expired_members_ = read_list<instance_incarnation>(in.getLapsed());
    return header;
}

template <class Reader>
chunk_position read_position(const Reader& in)
{
    require(in.getIndex() < in.getCount(), "invalid position in a transfer");
    return {in.getIndex(), in.getCount()};
}

heartbeat read(schema::Heartbeat::Reader in)
{
    return {in.getSequence(), read(in.getLoad())};
}

heartbeat_ack read(schema::HeartbeatAck::Reader in)
{
    return {in.getSequence(), read(in.getLoad()), in.getGrants()};
}

ownership_query read(schema::OwnershipQuery::Reader in)
{
    return {in.getQuery(), read_list<bucket_id>(in.getBuckets())};
}

ownership_reply read(schema::OwnershipReply::Reader in)
{
    ownership_reply reply;
    reply.query_id_ = in.getQuery();
    reply.position_ = read_position(in);
    reply.flows_ = read_list<flow_key>(in.getFlows());
    reply.entries_ = read_list<journal_entry>(in.getEntries());
    reply.complete_copies_ = read_list<complete_journal_copy>(in.getMarks());
    reply.gaps_ = read_list<journal_gap>(in.getGaps());
    return reply;
}

flow_closed read(schema::FlowClosed::Reader in)
{
    return {read(in.getFlow()), in.getPlacement()};
}

journal_sync read(schema::JournalSync::Reader in)
{
    return {in.getSync(), read_position(in),
            read_list<bucket_id>(in.getBuckets()),
            read_list<journal_entry>(in.getEntries()),
            read_list<instance_incarnation>(in.getLapsed())};
}

journal_sync_ack read(schema::JournalSyncAck::Reader in)
{
    return {in.getSync(), in.getIndex()};
}

peer_body read_body(schema::PeerMessage::Reader in)
{
    switch (in.which())
    {
    case schema::PeerMessage::HEARTBEAT:
        return read(in.getHeartbeat());
    case schema::PeerMessage::HEARTBEAT_ACK:
        return read(in.getHeartbeatAck());
    case schema::PeerMessage::LAPSE_PROMISE:
        return expiry_promise{read(in.getLapsePromise())};
    case schema::PeerMessage::OWNERSHIP_QUERY:
        return read(in.getOwnershipQuery());
    case schema::PeerMessage::OWNERSHIP_REPLY:
        return read(in.getOwnershipReply());
    case schema::PeerMessage::FLOW_CLOSED:
        return read(in.getFlowClosed());
    case schema::PeerMessage::JOURNAL_RECORD:
        return journal_record{read(in.getJournalRecord())};
    case schema::PeerMessage::JOURNAL_ACK:
        return journal_ack{read(in.getJournalAck())};
    case schema::PeerMessage::JOURNAL_SYNC:
        return read(in.getJournalSync());
    case schema::PeerMessage::JOURNAL_SYNC_ACK:
        return read(in.getJournalSyncAck());
    }
    throw bad_field{"unknown kind of peer message"};
}

stale_notice read(schema::StaleNotice::Reader in)
{
    require(in.getReason() <= static_cast<std::uint8_t>(refusal::malformed),
            "unknown refusal reason");
    stale_notice notice;
    notice.service_ = service_name(read_name(in.getService()));
    notice.epoch_ = epoch(in.getEpoch());
    notice.expired_members_ = read_list<instance_incarnation>(in.getLapsed());
    notice.reason_ = static_cast<refusal>(in.getReason());
    return notice;
}

datagram read(schema::Datagram::Reader in)
{
    switch (in.which())
    {
    case schema::Datagram::FORWARDED:
        return read(in.getForwarded());
    case schema::Datagram::PEER:
        return peer_message{read(in.getPeer().getHeader()),
                            read_body(in.getPeer())};
    case schema::Datagram::STALE:
        return read(in.getStale());
    }
    throw bad_field{"unknown kind of datagram"};
}

datagram read_segment(const capnp::word* words, std::size_t count)
{
    const auto segment = kj::arrayPtr(words, count);
    capnp::ReaderOptions options;
    options.traversalLimitInWords = traversal_factor * count;
    options.nestingLimit = nesting_limit;
    capnp::SegmentArrayMessageReader message(kj::arrayPtr(&segment, 1),
                                             options);
    return read(message.getRoot<schema::Datagram>());
}

bool is_aligned(const std::uint8_t* bytes)
{
    return reinterpret_cast<std::uintptr_t>(bytes) % wire_alignment == 0;
}

datagram read_words(const std::uint8_t* bytes, std::size_t count)
{
    if (is_aligned(bytes))
    {
        return read_segment(reinterpret_cast<const capnp::word*>(bytes), count);
    }
    std::vector<capnp::word> copy(count);
    std::memcpy(copy.data(), bytes, count * word_bytes);
    return read_segment(copy.data(), count);
}

tl::unexpected<error> bad_message(const char* reason)
{
    return tl::unexpected(error{error_code::bad_message, reason});
}

bool is_single_segment(const std::uint8_t* bytes, std::size_t size)
{
    if (size < segment_table_bytes || size > max_datagram_bytes)
    {
        return false;
    }
    const std::size_t segment_bytes = size - segment_table_bytes;
    return segment_bytes % word_bytes == 0 &&
           load_u64(bytes) ==
               static_cast<std::uint64_t>(segment_bytes / word_bytes) << 32U;
}

} // namespace

tl::expected<datagram, error> decode(const std::uint8_t* bytes,
                                     std::size_t size)
{
    if (!is_single_segment(bytes, size))
    {
        return bad_message("datagram is not one complete segment");
    }
    try
    {
        return read_words(bytes + segment_table_bytes,
                          (size - segment_table_bytes) / word_bytes);
    }
    catch (const bad_field& field)
    {
        return bad_message(field.reason_);
    }
    catch (const kj::Exception&)
    {
        return bad_message("malformed Cap'n Proto message");
    }
    catch (const std::exception& e)
    {
        return bad_message(e.what());
    }
}

} // namespace galenafork
