#include "fields.h"

#include <galenafork/wire.h>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <cstring>

namespace galenafork
{

namespace
{

using namespace pvt;
using pvt::write;

// Size of the segment table: the number of segments minus one and the size of
// the only segment in words, 32 bits each.
constexpr std::size_t segment_table_bytes = 8;
constexpr std::size_t word_bytes = sizeof(capnp::word);

// Size of the buffer on the stack for the first segment of a message, in words.
constexpr std::size_t scratch_words = 512;

constexpr std::size_t words_of_bytes(std::size_t bytes)
{
    return (bytes + word_bytes - 1) / word_bytes;
}

// Cap'n Proto texts end in a zero byte.
std::size_t words_of_text(const std::string& text)
{
    return words_of_bytes(text.size() + 1);
}

bool is_named(const instance_incarnation& instance)
{
    return !instance.instance_.value().empty();
}

template <class Schema>
constexpr std::size_t words_of_struct()
{
    return capnp::_::structSize<Schema>().total() / capnp::WORDS;
}

std::size_t words_of_incarnation(const instance_incarnation& instance)
{
    return words_of_struct<schema::InstanceLife>() +
           words_of_text(instance.instance_.value());
}

std::size_t
words_of_incarnations(const std::vector<instance_incarnation>& instances)
{
    // A list of structs starts with a tag word.
    std::size_t words = instances.empty() ? 0 : 1;
    for (const instance_incarnation& instance : instances)
    {
        words += words_of_incarnation(instance);
    }
    return words;
}

// Returns the size of a forwarded packet without names, expired members and
// payload, in words.
constexpr std::size_t fixed_packet_words()
{
    return 1 + words_of_struct<schema::Datagram>() +
           words_of_struct<schema::ForwardedPacket>() +
           words_of_struct<schema::FlowKey>() +
           2 * words_of_struct<schema::Endpoint>() +
           words_of_struct<schema::TraceContext>();
}

template <class Items>
unsigned list_size(const Items& items)
{
    return static_cast<unsigned>(items.size());
}

void write(schema::JournalMark::Builder out, const complete_journal_copy& value)
{
    out.setBucket(value.bucket_.value());
    write(out.initHome(), value.home_);
}

void write(schema::JournalGap::Builder out, const journal_gap& value)
{
    out.setBucket(value.bucket_.value());
    out.setRemainingMicroseconds(value.remaining_.count());
}

template <class ListBuilder, class Items>
void write_list(ListBuilder out, const Items& items)
{
    unsigned i = 0;
    for (const auto& item : items)
    {
        write(out[i], item);
        ++i;
    }
}

void write(schema::ForwardedPacket::Builder out, const forwarded_packet& value)
{
    out.setService(text_of(value.service_.value()));
    write(out.initTarget(), value.target_);
    out.setEpoch(value.epoch_.value());
    out.setRole(static_cast<std::uint8_t>(value.role_));
    out.setHops(value.hops_);
    write(out.initFlow(), value.flow_);
    write(out.initBalancer(), value.balancer_);
    write(out.initFabric(), value.fabric_);
    write(out.initTrace(), value.trace_);
    out.setPayload(data_of(value.payload_));
    out.setRulesVersion(value.rules_version_.value());
    out.setEstablishedOnly(value.established_only_);
    out.setPlacement(value.placement_id_);
    if (is_named(value.sender_))
    {
        write(out.initSender(), value.sender_);
    }
    if (!value.expired_members_.empty())
    {
        write_list(out.initLapsed(list_size(value.expired_members_)),
                   value.expired_members_);
    }
}

void write(schema::PeerHeader::Builder out, const peer_header& value)
{
    out.setService(text_of(value.service_.value()));
    write(out.initSender(), value.sender_);
    write(out.initTarget(), value.target_);
    out.setEpoch(value.epoch_.value());
    write_list(out.initLapsed(list_size(value.expired_members_)),
               value.expired_members_);
}

void write_buckets(capnp::List<std::uint16_t>::Builder out,
                   const std::vector<bucket_id>& buckets)
{
    unsigned i = 0;
    for (const bucket_id bucket : buckets)
    {
        out.set(i, bucket.value());
        ++i;
    }
}

template <class Builder>
void write_position(Builder& out, const chunk_position& position)
{
    out.setIndex(position.index_);
    out.setCount(position.count_);
}

// Writes a body of any kind into the union of a peer message.
class body_writer
{
public:
    explicit body_writer(schema::PeerMessage::Builder out) : out_(out) {}

    void operator()(const heartbeat& body)
    {
        auto builder = out_.initHeartbeat();
        builder.setSequence(body.sequence_);
        write(builder.initLoad(), body.load_);
    }
    void operator()(const heartbeat_ack& body)
    {
        auto builder = out_.initHeartbeatAck();
        builder.setSequence(body.sequence_);
        builder.setGrants(body.grants_lease_);
        write(builder.initLoad(), body.load_);
    }
    void operator()(const expiry_promise& body)
    {
        write(out_.initLapsePromise(), body.expired_member_);
    }
    void operator()(const ownership_query& body)
    {
        auto builder = out_.initOwnershipQuery();
        builder.setQuery(body.query_id_);
        write_buckets(builder.initBuckets(list_size(body.buckets_)),
                      body.buckets_);
    }
    void operator()(const ownership_reply& body)
    {
        auto builder = out_.initOwnershipReply();
        builder.setQuery(body.query_id_);
        write_position(builder, body.position_);
        write_list(builder.initFlows(list_size(body.flows_)), body.flows_);
        write_list(builder.initEntries(list_size(body.entries_)),
                   body.entries_);
        write_list(builder.initMarks(list_size(body.complete_copies_)),
                   body.complete_copies_);
        write_list(builder.initGaps(list_size(body.gaps_)), body.gaps_);
    }
    void operator()(const flow_closed& body)
    {
        auto builder = out_.initFlowClosed();
        write(builder.initFlow(), body.flow_);
        builder.setPlacement(body.placement_id_);
    }
    void operator()(const journal_record& body)
    {
        write(out_.initJournalRecord(), body.entry_);
    }
    void operator()(const journal_ack& body)
    {
        write(out_.initJournalAck(), body.entry_);
    }
    void operator()(const journal_sync& body)
    {
        auto builder = out_.initJournalSync();
        builder.setSync(body.sync_id_);
        write_position(builder, body.position_);
        write_buckets(builder.initBuckets(list_size(body.buckets_)),
                      body.buckets_);
        write_list(builder.initEntries(list_size(body.entries_)),
                   body.entries_);
        write_list(builder.initLapsed(list_size(body.expired_members_)),
                   body.expired_members_);
    }
    void operator()(const journal_sync_ack& body)
    {
        auto builder = out_.initJournalSyncAck();
        builder.setSync(body.sync_id_);
        builder.setIndex(body.index_);
    }

private:
    schema::PeerMessage::Builder out_;
};

void write_datagram(schema::Datagram::Builder out, const peer_message& value)
{
    auto peer = out.initPeer();
    write(peer.initHeader(), value.header_);
    std::visit(body_writer(peer), value.body_);
}

void write_datagram(schema::Datagram::Builder out, const stale_notice& value)
{
    auto stale = out.initStale();
    stale.setService(text_of(value.service_.value()));
    stale.setEpoch(value.epoch_.value());
    stale.setReason(static_cast<std::uint8_t>(value.reason_));
    write_list(stale.initLapsed(list_size(value.expired_members_)),
               value.expired_members_);
}

void write_segment_table(std::uint8_t* out, std::size_t words)
{
    store_u64(out, static_cast<std::uint64_t>(words) << 32U);
}

// Returns the datagram with the message in one segment, however many segments
// the message was built in.
byte_buffer flatten(capnp::MessageBuilder& message)
{
    const auto segments = message.getSegmentsForOutput();
    if (segments.size() > 1)
    {
        const std::size_t words = message.sizeInWords();
        capnp::MallocMessageBuilder single_segment(
            static_cast<unsigned>(words + 1));
        single_segment.setRoot(message.getRoot<schema::Datagram>().asReader());
        return flatten(single_segment);
    }
    const auto bytes = segments[0].asBytes();
    byte_buffer result(segment_table_bytes + bytes.size());
    write_segment_table(result.data(), segments[0].size());
    std::memcpy(result.data() + segment_table_bytes, bytes.begin(),
                bytes.size());
    return result;
}

template <class Message>
byte_buffer encode_message(const Message& message)
{
    std::array<capnp::word, scratch_words> scratch{};
    capnp::MallocMessageBuilder builder(
        kj::arrayPtr(scratch.data(), scratch.size()));
    write_datagram(builder.initRoot<schema::Datagram>(), message);
    return flatten(builder);
}

byte_buffer encode_packet(const forwarded_packet& packet)
{
    // The buffer is aligned to `wire_alignment`, since operator new allocates
    // it.
    byte_buffer result(encoded_size(packet));
    encode_into(packet, result.data(), result.size());
    return result;
}

} // namespace

std::size_t encoded_size(const forwarded_packet& packet)
{
    std::size_t words = fixed_packet_words();
    words += words_of_text(packet.service_.value());
    words += words_of_incarnation(packet.target_);
    words +=
        is_named(packet.sender_) ? words_of_incarnation(packet.sender_) : 0;
    words += words_of_incarnations(packet.expired_members_);
    words += words_of_bytes(packet.payload_.size());
    return segment_table_bytes + words * word_bytes;
}

std::size_t encode_into(const forwarded_packet& packet, std::uint8_t* buffer,
                        std::size_t capacity)
{
    const std::size_t size = encoded_size(packet);
    if (size > capacity)
    {
        return 0;
    }
    // Cap'n Proto builders expect zeroed memory.
    std::memset(buffer, 0, size);
    const std::size_t words = (size - segment_table_bytes) / word_bytes;
    write_segment_table(buffer, words);
    // The builder cannot add a segment, but `words` is the exact size.
    capnp::FlatMessageBuilder builder(kj::arrayPtr(
        reinterpret_cast<capnp::word*>(buffer + segment_table_bytes), words));
    write(builder.initRoot<schema::Datagram>().initForwarded(), packet);
    return size;
}

byte_buffer encode(const datagram& message)
{
    if (const auto* packet = std::get_if<forwarded_packet>(&message))
    {
        return encode_packet(*packet);
    }
    if (const auto* peer = std::get_if<peer_message>(&message))
    {
        return encode_message(*peer);
    }
    return encode_message(std::get<stale_notice>(message));
}

} // namespace galenafork
