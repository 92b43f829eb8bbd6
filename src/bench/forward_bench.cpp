/// \file
/// Benchmarks of the balancer's work on one packet, with 1,100 rules.

#include "counting_allocations.h"

#include <galenafork/forwarder.h>
#include <galenafork/proxy_protocol.h>
#include <galenafork/roster.h>
#include <galenafork/wire.h>

#include <array>

using namespace galenafork;

namespace
{

constexpr int rule_count = 1100;
constexpr int member_count = 7;
// Flows go to the services in turn, so each service has three or four flows.
constexpr std::size_t flow_count = 4093;

endpoint service_address(int number)
{
    return {make_v4(10, 9, static_cast<std::uint8_t>(number / 250),
                    static_cast<std::uint8_t>(1 + number % 250)),
            5683};
}

service_name make_service_name(int number)
{
    return service_name("service-" + std::to_string(number));
}

member make_member(int number)
{
    member m;
    m.instance_ = instance_id("instance-" + std::to_string(number));
    m.incarnation_ = incarnation(static_cast<std::uint64_t>(number) + 1);
    m.data_centre_ = data_centre("gorlice");
    m.packet_endpoint_ = {
        make_v4(10, 2, 0, static_cast<std::uint8_t>(1 + number)), 7000};
    m.slots_ = slot_count(4);
    m.state_ = member_state::serving;
    return m;
}

roster make_roster(int service)
{
    roster r;
    r.service_ = make_service_name(service);
    for (int i = 0; i < member_count; ++i)
    {
        const auto next = apply(r, {roster_change_kind::join, make_member(i),
                                    write_id(std::to_string(i))});
        r = next.value_or(r);
    }
    return r;
}

routing_snapshot make_snapshot()
{
    active_rules rules;
    for (int i = 0; i < rule_count; ++i)
    {
        rule r;
        r.address_ = service_address(i);
        r.service_ = make_service_name(i);
        rules.rules_.push_back(r);
    }
    routing_snapshot snapshot;
    snapshot.addresses_ = std::make_shared<address_table>(rules);
    for (int i = 0; i < rule_count; ++i)
    {
        snapshot.routes_.push_back(make_route(make_roster(i), {}));
    }
    return snapshot;
}

const routing_snapshot& snapshot()
{
    static const routing_snapshot shared_snapshot = make_snapshot();
    return shared_snapshot;
}

std::vector<flow_key> make_flows()
{
    std::vector<flow_key> flows;
    for (std::size_t i = 0; i < flow_count; ++i)
    {
        const auto port = static_cast<std::uint16_t>(1024 + i);
        flows.push_back({{make_v4(192, 0, 2, 7), port},
                         service_address(static_cast<int>(i) % rule_count)});
    }
    return flows;
}

void forwarding_decision_1100_rules(benchmark::State& state)
{
    const routing_snapshot& s = snapshot();
    const std::vector<flow_key> flows = make_flows();
    std::size_t next_flow = 0;
    if (select_target(s, flows[next_flow]).refusal_ != refusal::none)
    {
        state.SkipWithError("the balancer refused the first flow");
    }
    bench::run_counting_allocations(
        state,
        [&]
        {
            benchmark::DoNotOptimize(select_target(s, flows[next_flow]));
            next_flow = (next_flow + 1) % flow_count;
        });
}
BENCHMARK(forwarding_decision_1100_rules);

void forward_packet_1100_rules(benchmark::State& state)
{
    const routing_snapshot& s = snapshot();
    const byte_buffer payload(static_cast<std::size_t>(state.range(0)));
    std::vector<byte_buffer> datagrams;
    for (const flow_key& flow : make_flows())
    {
        datagrams.push_back(make_proxy_datagram(
            {flow.caller_, flow.service_address_}, payload));
    }
    forwarder f(*parse_endpoint("10.1.0.1:7000"), trace_sampler(1, 0));
    const endpoint answer_endpoint = *parse_endpoint("10.1.0.2:7001");
    alignas(wire_alignment) std::array<std::uint8_t, 4096> out;
    std::size_t next_flow = 0;
    bench::run_counting_allocations(
        state,
        [&]
        {
            const byte_buffer& in = datagrams[next_flow];
            benchmark::DoNotOptimize(
                f.forward(s, {in.data(), in.size(), answer_endpoint},
                          out.data(), out.size()));
            next_flow = (next_flow + 1) % flow_count;
        });
}
BENCHMARK(forward_packet_1100_rules)->Arg(64)->Arg(1200);

} // namespace
