/// \file
/// Benchmarks of the codecs: wire format, PROXY protocol and CoAP.

#include "counting_allocations.h"

#include <galenafork/coap.h>
#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

#include <array>

using namespace galenafork;

namespace
{

forwarded_packet make_packet(std::int64_t payload_bytes)
{
    forwarded_packet packet;
    packet.service_ = service_name("orders");
    packet.target_ = {instance_id("orders-17"), incarnation(1)};
    packet.flow_ = {*parse_endpoint("192.0.2.7:4711"),
                    *parse_endpoint("10.9.0.1:5683")};
    packet.balancer_ = *parse_endpoint("10.1.0.1:7000");
    packet.fabric_ = *parse_endpoint("10.1.0.2:7001");
    packet.payload_.resize(static_cast<std::size_t>(payload_bytes));
    return packet;
}

void encode_forwarded_packet(benchmark::State& state)
{
    const forwarded_packet packet = make_packet(state.range(0));
    alignas(wire_alignment) std::array<std::uint8_t, 4096> buffer;
    bench::run_counting_allocations(
        state,
        [&]
        {
            benchmark::DoNotOptimize(
                encode_into(packet, buffer.data(), buffer.size()));
        });
}
BENCHMARK(encode_forwarded_packet)->Arg(64)->Arg(1200);

void decode_forwarded_packet(benchmark::State& state)
{
    const byte_buffer bytes = encode(make_packet(state.range(0)));
    bench::run_counting_allocations(
        state,
        [&] { benchmark::DoNotOptimize(decode(bytes.data(), bytes.size())); });
}
BENCHMARK(decode_forwarded_packet)->Arg(64)->Arg(1200);

void encode_heartbeat(benchmark::State& state)
{
    const datagram message =
        peer_message{{service_name("orders"),
                      {instance_id("orders-1"), incarnation(1)},
                      {instance_id("orders-2"), incarnation(2)},
                      epoch(1),
                      {}},
                     heartbeat{}};
    bench::run_counting_allocations(
        state, [&] { benchmark::DoNotOptimize(encode(message)); });
}
BENCHMARK(encode_heartbeat);

void proxy_header_parse(benchmark::State& state)
{
    const byte_buffer bytes = make_proxy_datagram(
        {*parse_endpoint("192.0.2.7:4711"), *parse_endpoint("10.9.0.1:5683")},
        byte_buffer(64));
    bench::run_counting_allocations(
        state,
        [&] {
            benchmark::DoNotOptimize(
                parse_proxy_header(bytes.data(), bytes.size()));
        });
}
BENCHMARK(proxy_header_parse);

coap_message make_request()
{
    coap_message request;
    request.code_ = coap_code::post;
    request.token_ = byte_buffer(8);
    set_uri_path(request, "/intake");
    request.payload_.resize(64);
    return request;
}

void coap_parse(benchmark::State& state)
{
    const byte_buffer bytes = *encode_coap(make_request());
    bench::run_counting_allocations(
        state, [&]
        { benchmark::DoNotOptimize(parse_coap(bytes.data(), bytes.size())); });
}
BENCHMARK(coap_parse);

void coap_encode(benchmark::State& state)
{
    const coap_message request = make_request();
    bench::run_counting_allocations(
        state, [&] { benchmark::DoNotOptimize(encode_coap(request)); });
}
BENCHMARK(coap_encode);

} // namespace

BENCHMARK_MAIN();
