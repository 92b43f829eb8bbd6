/// \file
/// Sample messages of each kind for the tests of the codecs.

#ifndef GALENAFORK_LIBWIRE_SAMPLES_H
#define GALENAFORK_LIBWIRE_SAMPLES_H

#include <galenafork/messages.h>

#include <utility>
#include <vector>

namespace galenafork::test
{

/// Returns a flow of service `orders`.
inline flow_key sample_flow()
{
    return {*parse_endpoint("192.0.2.7:4711"),
            *parse_endpoint("10.9.0.1:5683")};
}

/// Returns an incarnation of instance `orders-1`.
inline instance_incarnation sample_incarnation()
{
    return {instance_id("orders-1"), incarnation(0x1122334455667788U)};
}

/// Returns a packet in which no field has its default value.
inline forwarded_packet sample_packet()
{
    forwarded_packet packet;
    packet.service_ = service_name("orders");
    packet.target_ = sample_incarnation();
    packet.epoch_ = epoch(42);
    packet.role_ = packet_role::open_flow;
    packet.hops_ = 2;
    packet.flow_ = sample_flow();
    packet.balancer_ = *parse_endpoint("10.1.0.1:7000");
    packet.fabric_ = *parse_endpoint("[2001:db8::5]:7001");
    packet.trace_.trace_id_ = {1, 2, 3};
    packet.trace_.span_id_ = {4, 5, 6};
    packet.trace_.sampled_ = true;
    packet.rules_version_ = rules_version(17);
    packet.established_only_ = true;
    packet.sender_ = {instance_id("orders-3"), incarnation(7)};
    packet.placement_id_ = 99;
    packet.expired_members_ = {sample_incarnation(),
                               {instance_id("orders-4"), incarnation(1)}};
    packet.payload_ = {10, 20, 30, 40, 50, 60, 70, 80, 90};
    return packet;
}

/// Returns an entry in which no field has its default value.
inline journal_entry sample_entry()
{
    return {{sample_flow(), 77, {1, 2, 3, 4}},
            sample_incarnation(),
            journal_entry_state::finished,
            {9, 8, 7}};
}

/// Returns a peer message with `body` from `orders-1` to `orders-2`.
inline peer_message sample_peer(peer_body body)
{
    return {{service_name("orders"),
             sample_incarnation(),
             instance_incarnation{instance_id("orders-2"), incarnation(5)},
             epoch(42),
             {sample_incarnation()}},
            std::move(body)};
}

/// Returns one datagram of each kind.
inline std::vector<datagram> sample_datagrams()
{
    const load_report load{3, slot_count(4), 500, true};
    const bucket_id bucket{255};
    ownership_reply reply;
    reply.query_id_ = 8;
    reply.position_ = {1, 2};
    reply.flows_ = {sample_flow(), sample_flow()};
    reply.entries_ = {sample_entry(), sample_entry()};
    reply.complete_copies_ = {{bucket, sample_incarnation()}};
    reply.gaps_ = {{bucket, std::chrono::seconds(3)}};
    return {
        sample_packet(),
        sample_peer(heartbeat{7, load}),
        sample_peer(heartbeat_ack{7, load, true}),
        sample_peer(expiry_promise{sample_incarnation()}),
        sample_peer(ownership_query{8, {bucket}}),
        sample_peer(reply),
        sample_peer(flow_closed{sample_flow(), 4}),
        sample_peer(journal_record{sample_entry()}),
        sample_peer(journal_ack{sample_entry()}),
        sample_peer(journal_sync{
            9, {0, 1}, {bucket}, {sample_entry()}, {sample_incarnation()}}),
        sample_peer(journal_sync_ack{9, 3}),
        stale_notice{service_name("orders"),
                     epoch(43),
                     {sample_incarnation()},
                     refusal::stale_incarnation},
    };
}

} // namespace galenafork::test

#endif
