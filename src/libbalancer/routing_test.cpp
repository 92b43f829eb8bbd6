#include "samples.h"

#include <galenafork/forwarder.h>
#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;

namespace
{

flow_key make_flow(std::size_t rule, std::uint16_t port)
{
    return {{make_v4(192, 0, 2, 1), port}, make_address(rule)};
}

} // namespace

TEST_CASE("each address is routed to the home in its own service's roster")
{
    const replicated_state state = make_state(50, 4);
    const auto snapshot = build_snapshot(state, nullptr);
    for (std::size_t i = 0; i < 50; ++i)
    {
        const flow_key flow = make_flow(i, static_cast<std::uint16_t>(99 + i));
        const forwarding_decision decision = select_target(*snapshot, flow);
        REQUIRE(decision.refusal_ == refusal::none);
        CHECK(decision.route_->service_ == make_service(i));
        const roster& r = *state.services_.at(make_service(i)).roster_;
        const member* home = effective_home_of(r, {}, bucket_of(flow));
        CHECK(decision.target_->member_.instance_ == home->instance_);
        CHECK(decision.target_->packet_endpoint_ == home->packet_endpoint_);
    }
    CHECK(select_target(*snapshot, make_flow(51, 1)).refusal_ ==
          refusal::unknown_service);
}

TEST_CASE(
    "packets of an expired member are rerouted; unchanged parts are shared")
{
    replicated_state state = make_state(3, 3);
    const auto before = build_snapshot(state, nullptr);
    const flow_key flow = make_flow(1, 7);
    const route_target home = *select_target(*before, flow).target_;
    merge(state, expired_members_update{make_service(1), {home.member_}});
    const auto after = build_snapshot(state, before.get());
    CHECK(select_target(*after, flow).target_->member_ != home.member_);
    CHECK(after->addresses_ == before->addresses_);
    CHECK(after->routes_[0] == before->routes_[0]);
    CHECK(after->routes_[1] != before->routes_[1]);
}

TEST_CASE("packets of a service without a roster are refused with no_home")
{
    replicated_state state;
    CHECK(build_snapshot(state, nullptr) == nullptr);
    merge(state, make_rules(1, 1));
    const auto snapshot = build_snapshot(state, nullptr);
    CHECK(select_target(*snapshot, make_flow(0, 1)).refusal_ ==
          refusal::no_home);
}

TEST_CASE("packets of retired rules are marked as established flows only")
{
    replicated_state state;
    auto rules = *make_active_rules(rules_version(1), "",
                                    "udp 10.9.0.1:5683 -> "
                                    "service-0 # J\n");
    merge(state, rules);
    merge(state, make_roster(make_service(0), 2));
    const auto decision =
        select_target(*build_snapshot(state, nullptr), make_flow(0, 1));
    CHECK(decision.refusal_ == refusal::none);
    CHECK(decision.established_only_);
}

TEST_CASE("a datagram from the fabric is encoded for the agent")
{
    const auto snapshot = build_snapshot(make_state(2, 3), nullptr);
    const endpoint notice_endpoint{make_v4(10, 1, 1, 1), 77};
    const endpoint answer_endpoint{make_v4(10, 1, 1, 2), 78};
    forwarder f(notice_endpoint, trace_sampler(1, 1));
    const flow_key flow = make_flow(1, 5);
    const byte_buffer payload{1, 2, 3};
    const byte_buffer in =
        make_proxy_datagram({flow.caller_, flow.service_address_, {}}, payload);
    std::vector<std::uint64_t> out(max_datagram_bytes / 8);
    auto* bytes = reinterpret_cast<std::uint8_t*>(out.data());

    const forward_result result =
        f.forward(*snapshot, {in.data(), in.size(), answer_endpoint}, bytes,
                  max_datagram_bytes);
    REQUIRE(result.refusal_ == refusal::none);
    const auto message = decode(bytes, result.size_);
    REQUIRE(message.has_value());
    const auto& packet = std::get<forwarded_packet>(*message);
    CHECK(packet.service_ == make_service(1));
    CHECK(packet.flow_ == flow);
    CHECK(packet.payload_ == payload);
    CHECK(packet.balancer_ == notice_endpoint);
    CHECK(packet.fabric_ == answer_endpoint);
    CHECK(packet.rules_version_ == rules_version(1));
    CHECK(packet.epoch_ == epoch(3));
    CHECK(packet.trace_.sampled_);

    CHECK(f.forward(*snapshot, {in.data(), 20, answer_endpoint}, bytes, 64)
              .refusal_ == refusal::malformed);
    CHECK(
        f.forward(*snapshot, {in.data(), in.size(), answer_endpoint}, bytes, 64)
            .refusal_ == refusal::malformed);
}
