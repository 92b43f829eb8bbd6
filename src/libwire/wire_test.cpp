#include "samples.h"

#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

#include <doctest/doctest.h>

using namespace galenafork;

TEST_CASE("a decoded datagram equals the encoded one")
{
    for (const datagram& message : test::sample_datagrams())
    {
        CAPTURE(message.index());
        const byte_buffer bytes = encode(message);
        const auto decoded = decode(bytes.data(), bytes.size());
        REQUIRE(decoded.has_value());
        CHECK(decoded->index() == message.index());
        CHECK(encode(*decoded) == bytes);
    }
}

TEST_CASE("encoding and decoding preserve the fields of a forwarded packet")
{
    const forwarded_packet packet = test::sample_packet();
    const byte_buffer bytes = encode(packet);
    const auto decoded = decode(bytes.data(), bytes.size());
    REQUIRE(decoded.has_value());
    const auto& copy = std::get<forwarded_packet>(*decoded);
    CHECK(copy.service_ == packet.service_);
    CHECK(copy.target_ == packet.target_);
    CHECK(copy.epoch_ == packet.epoch_);
    CHECK(copy.rules_version_ == packet.rules_version_);
    CHECK(copy.established_only_ == packet.established_only_);
    CHECK(copy.sender_ == packet.sender_);
    CHECK(copy.placement_id_ == packet.placement_id_);
    CHECK(copy.expired_members_ == packet.expired_members_);
    CHECK(copy.role_ == packet.role_);
    CHECK(copy.hops_ == packet.hops_);
    CHECK(copy.flow_ == packet.flow_);
    CHECK(copy.balancer_ == packet.balancer_);
    CHECK(copy.fabric_ == packet.fabric_);
    CHECK(copy.trace_.trace_id_ == packet.trace_.trace_id_);
    CHECK(copy.trace_.span_id_ == packet.trace_.span_id_);
    CHECK(copy.trace_.sampled_ == packet.trace_.sampled_);
    CHECK(copy.payload_ == packet.payload_);
}

TEST_CASE("a packet from a balancer has no sender")
{
    forwarded_packet packet = test::sample_packet();
    packet.sender_ = {};
    packet.expired_members_.clear();
    const byte_buffer bytes = encode(packet);
    const auto decoded = decode(bytes.data(), bytes.size());
    REQUIRE(decoded.has_value());
    CHECK(std::get<forwarded_packet>(*decoded).sender_ ==
          instance_incarnation{});
}

TEST_CASE("encoding and decoding preserve the fields of a journal entry")
{
    const journal_entry entry = test::sample_entry();
    peer_message message = test::sample_peer(journal_ack{entry});
    const byte_buffer bytes = encode(message);
    const auto decoded = decode(bytes.data(), bytes.size());
    REQUIRE(decoded.has_value());
    const auto& body = std::get<peer_message>(*decoded).body_;
    const auto& copy = std::get<journal_ack>(body).entry_;
    CHECK(copy.key_ == entry.key_);
    CHECK(copy.owner_ == entry.owner_);
    CHECK(copy.state_ == entry.state_);
    CHECK(copy.answer_ == entry.answer_);
}

TEST_CASE(
    "encode_into does not write to a buffer that is too small for the packet")
{
    const forwarded_packet packet = test::sample_packet();
    alignas(wire_alignment) std::array<std::uint8_t, 512> buffer{};
    const std::size_t size = encoded_size(packet);
    CHECK(encode_into(packet, buffer.data(), size - 1) == 0);
    CHECK(buffer == std::array<std::uint8_t, 512>{});
    CHECK(encode_into(packet, buffer.data(), size) == size);
}

TEST_CASE("a datagram in an unaligned buffer is decoded")
{
    const byte_buffer bytes = encode(test::sample_packet());
    byte_buffer shifted(1);
    shifted.insert(shifted.end(), bytes.begin(), bytes.end());
    CHECK(decode(shifted.data() + 1, bytes.size()).has_value());
}

namespace
{

const instance_incarnation max_size_incarnation{
    instance_id(std::string(max_name_bytes, 'i')), incarnation(1)};

peer_header max_size_header()
{
    return {service_name(std::string(max_name_bytes, 's')),
            max_size_incarnation,
            max_size_incarnation,
            epoch(1),
            {max_size_incarnation, max_size_incarnation}};
}

std::size_t size_with_max_header(const peer_body& body)
{
    return encode(peer_message{max_size_header(), body}).size();
}

journal_entry max_size_entry(std::uint16_t message_id)
{
    journal_entry entry = test::sample_entry();
    entry.owner_ = max_size_incarnation;
    entry.key_.message_id_ = message_id;
    entry.key_.token_.resize(max_token_bytes);
    entry.answer_.resize(100);
    return entry;
}

} // namespace

TEST_CASE(
    "the chunks of a reply keep the size limit and have all items of the reply")
{
    constexpr std::uint16_t items = 300;
    ownership_reply whole;
    whole.query_id_ = 5;
    for (std::uint16_t i = 0; i < items; ++i)
    {
        const bucket_id bucket(i % bucket_count);
        whole.flows_.push_back(test::sample_flow());
        whole.entries_.push_back(max_size_entry(i));
        whole.complete_copies_.push_back({bucket, max_size_incarnation});
        whole.gaps_.push_back({bucket, duration(i)});
    }
    const auto chunks = split_into_chunks(whole, max_size_header());
    ownership_reply joined;
    for (std::size_t i = 0; i < chunks.size(); ++i)
    {
        const ownership_reply& chunk = chunks[i];
        CHECK(chunk.query_id_ == whole.query_id_);
        CHECK(chunk.position_.index_ == i);
        CHECK(chunk.position_.count_ == chunks.size());
        CHECK(size_with_max_header(chunk) <= max_chunk_bytes);
        joined.flows_.insert(joined.flows_.end(), chunk.flows_.begin(),
                             chunk.flows_.end());
        for (const journal_entry& entry : chunk.entries_)
        {
            CHECK(entry.key_.message_id_ == joined.entries_.size());
            joined.entries_.push_back(entry);
        }
        joined.complete_copies_.insert(joined.complete_copies_.end(),
                                       chunk.complete_copies_.begin(),
                                       chunk.complete_copies_.end());
        joined.gaps_.insert(joined.gaps_.end(), chunk.gaps_.begin(),
                            chunk.gaps_.end());
    }
    CHECK(joined.flows_ == whole.flows_);
    CHECK(joined.entries_.size() == items);
    CHECK(joined.complete_copies_.size() == items);
    CHECK(joined.gaps_.size() == items);
}

TEST_CASE(
    "the chunks of a sync keep the size limit and have all entries and buckets")
{
    journal_sync whole;
    whole.sync_id_ = 6;
    whole.expired_members_ = {max_size_incarnation};
    CHECK(split_into_chunks(whole, max_size_header()).size() == 1);
    for (std::uint16_t i = 0; i < bucket_count / 2; ++i)
    {
        whole.buckets_.emplace_back(i);
        whole.entries_.push_back(max_size_entry(i));
    }
    std::size_t entries = 0;
    for (const journal_sync& chunk :
         split_into_chunks(whole, max_size_header()))
    {
        CHECK(chunk.buckets_ == whole.buckets_);
        CHECK(chunk.expired_members_ == whole.expired_members_);
        CHECK(size_with_max_header(chunk) <= max_chunk_bytes);
        entries += chunk.entries_.size();
    }
    CHECK(entries == whole.entries_.size());
}

TEST_CASE("datagrams with invalid values are refused")
{
    std::vector<datagram> messages;
    forwarded_packet packet = test::sample_packet();
    packet.hops_ = max_hops + 1;
    messages.emplace_back(packet);
    packet = test::sample_packet();
    packet.service_ = service_name("Not A Name");
    messages.emplace_back(packet);
    packet = test::sample_packet();
    packet.target_.instance_ = instance_id("");
    messages.emplace_back(packet);
    const bucket_id invalid_bucket{bucket_count};
    messages.emplace_back(
        test::sample_peer(ownership_query{1, {invalid_bucket}}));
    ownership_reply reply;
    reply.position_ = {1, 1};
    messages.emplace_back(test::sample_peer(reply));
    reply.position_ = {0, 1};
    reply.gaps_ = {{bucket_id(0), duration(-1)}};
    messages.emplace_back(test::sample_peer(reply));
    journal_entry entry = test::sample_entry();
    entry.key_.token_.resize(max_token_bytes + 1);
    messages.emplace_back(test::sample_peer(journal_record{entry}));
    reply.gaps_.clear();
    reply.flows_.resize(max_list_items + 1);
    messages.emplace_back(test::sample_peer(reply));
    for (const datagram& message : messages)
    {
        const byte_buffer bytes = encode(message);
        const auto decoded = decode(bytes.data(), bytes.size());
        REQUIRE_FALSE(decoded.has_value());
        CHECK(decoded.error().code_ == error_code::bad_message);
    }
}

TEST_CASE("a parsed PROXY header equals the encoded one")
{
    for (const char* caller : {"192.0.2.7:4711", "[2001:db8::7]:4711"})
    {
        CAPTURE(caller);
        const proxy_header header{*parse_endpoint(caller),
                                  *parse_endpoint("10.9.0.1:5683")};
        const byte_buffer bytes = make_proxy_datagram(header, {1, 2, 3});
        const auto parsed = parse_proxy_header(bytes.data(), bytes.size());
        REQUIRE(parsed.has_value());
        CHECK(parsed->header_.source_ == header.source_);
        CHECK(parsed->header_.destination_ == header.destination_);
        CHECK(parsed->payload_offset_ == bytes.size() - 3);
    }
}

TEST_CASE("an encoded PROXY header has the layout of the specification")
{
    const proxy_header header{*parse_endpoint("192.0.2.7:258"),
                              *parse_endpoint("10.9.0.1:5683")};
    const byte_buffer expected{0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a,
                               0x51, 0x55, 0x49, 0x54, 0x0a, 0x21, 0x12,
                               0x00, 0x0c, 192,  0,    2,    7,    10,
                               9,    0,    1,    1,    2,    0x16, 0x33};
    CHECK(make_proxy_datagram(header, {}) == expected);
}

TEST_CASE("invalid PROXY headers are refused")
{
    const proxy_header header{*parse_endpoint("192.0.2.7:258"),
                              *parse_endpoint("10.9.0.1:5683")};
    const byte_buffer good = make_proxy_datagram(header, {9});
    for (const std::size_t changed_offset : {0, 11, 12, 13, 14})
    {
        CAPTURE(changed_offset);
        byte_buffer bad = good;
        bad[changed_offset] ^= 0x31U;
        CHECK_FALSE(parse_proxy_header(bad.data(), bad.size()).has_value());
    }
    byte_buffer truncated_extension = good;
    truncated_extension[15] += 1;
    CHECK_FALSE(parse_proxy_header(truncated_extension.data(),
                                   truncated_extension.size())
                    .has_value());
}

TEST_CASE("the trace context of a PROXY header is parsed and other extensions "
          "are skipped")
{
    proxy_header header{*parse_endpoint("[2001:db8::7]:258"),
                        *parse_endpoint("10.9.0.1:5683")};
    header.trace_ = test::sample_packet().trace_;
    byte_buffer bytes = make_proxy_datagram(header, {0xe1, 0, 1, 5, 9});
    // The first four bytes of the payload become an extension.
    bytes[15] += 4;
    const auto parsed = parse_proxy_header(bytes.data(), bytes.size());
    REQUIRE(parsed.has_value());
    CHECK(parsed->header_.trace_.trace_id_ == header.trace_.trace_id_);
    CHECK(parsed->header_.trace_.span_id_ == header.trace_.span_id_);
    CHECK(parsed->header_.trace_.sampled_);
    CHECK(parsed->payload_offset_ == bytes.size() - 1);
}
