#include <libvirtual/service_fixture.h>

#include <algorithm>
#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr int flow_count = 300;

void send_round(service_fixture& service, int flows = flow_count)
{
    for (int n = 0; n < flows; ++n)
    {
        service.send(make_flow(n));
    }
}

// Flows whose packets were served by more than one upstream.
int broken_flows(const service_fixture& service)
{
    int broken = 0;
    for (const auto& entry : service.served_by_)
    {
        const std::vector<instance_id>& served = entry.second;
        const bool same = std::all_of(served.begin(), served.end(),
                                      [&](const instance_id& id)
                                      { return id == served.front(); });
        broken += same ? 0 : 1;
    }
    return broken;
}

std::size_t packets_served(const service_fixture& service)
{
    std::size_t total = 0;
    for (const auto& [flow, served] : service.served_by_)
    {
        total += served.size();
    }
    return total;
}

void check_single_owners(const service_fixture& service)
{
    for (int n = 0; n < flow_count; ++n)
    {
        CHECK(service.owners_of(make_flow(n)).size() <= 1);
    }
}

void send_post(service_fixture& service, const flow_key& flow, std::uint16_t id)
{
    service.send(flow, make_post(flow, id));
}

std::size_t runs_of(const service_fixture& service, const request_key& key)
{
    return static_cast<std::size_t>(std::count_if(
        service.runs_.begin(), service.runs_.end(),
        [&](const upstream_run& run) { return run.key_ == key; }));
}

instance_id owner_of(const service_fixture& service, const flow_key& flow)
{
    const auto owners = service.owners_of(flow);
    REQUIRE(owners.size() == 1);
    return owners.front();
}

} // namespace

TEST_CASE("in a quiet service every packet is served by its flow's owner")
{
    service_fixture service(3);
    for (int round = 0; round < 5; ++round)
    {
        send_round(service);
        service.run_for(milliseconds(100));
    }
    CHECK(packets_served(service) == 5 * flow_count);
    CHECK(broken_flows(service) == 0);
    CHECK(service.forwarded_packets_ == 0);
}

TEST_CASE("joins and drains break no flow and lose no packet")
{
    service_fixture service(3);
    send_round(service);
    service.run_for(milliseconds(100));
    service.join(4);
    for (int round = 0; round < 20; ++round)
    {
        send_round(service);
        service.run_for(milliseconds(30));
    }
    service.change(roster_change_kind::drain, instance_id("orders-1"));
    for (int round = 0; round < 20; ++round)
    {
        send_round(service);
        service.run_for(milliseconds(30));
    }
    service.run_for(seconds(2));
    CHECK(packets_served(service) == 41 * flow_count);
    CHECK(broken_flows(service) == 0);
    check_single_owners(service);
}

TEST_CASE("a balancer with an old roster breaks nothing")
{
    service_fixture service(3);
    const roster old = service.platform_roster_;
    send_round(service);
    service.run_for(milliseconds(50));
    service.join(4);
    service.run_for(milliseconds(500));
    for (int n = 0; n < flow_count; ++n)
    {
        service.send(make_flow(n), {}, old);
    }
    service.run_for(milliseconds(500));
    CHECK(packets_served(service) == 2 * flow_count);
    CHECK(broken_flows(service) == 0);
}

TEST_CASE("a draining member opens no flow")
{
    service_fixture service(3);
    const roster old = service.platform_roster_;
    service.change(roster_change_kind::drain, instance_id("orders-2"));
    service.run_for(milliseconds(100));
    for (int n = 0; n < flow_count; ++n)
    {
        service.send(make_flow(n), {}, old);
    }
    service.run_for(milliseconds(500));
    CHECK(packets_served(service) == flow_count);
    CHECK(service.agents_.at(instance_id("orders-2")).owned_flows_.empty());
}

TEST_CASE("a lost member's buckets open again in time, others' flows go on")
{
    for (const bool platform_up : {true, false})
    {
        CAPTURE(platform_up);
        service_fixture service(4);
        service.platform_up_ = platform_up;
        send_round(service);
        service.run_for(milliseconds(100));
        const instance_id lost("orders-2");
        std::map<flow_key, instance_id> owners;
        for (int n = 0; n < flow_count; ++n)
        {
            owners.emplace(make_flow(n), owner_of(service, make_flow(n)));
        }
        service.kill(lost);
        // Targets: 2 s with the platform up, 5 s with it down.
        service.run_for(platform_up ? seconds(2) : seconds(5));
        service.served_by_.clear();
        send_round(service);
        service.run_for(milliseconds(200));
        CHECK(packets_served(service) == flow_count);
        for (const auto& [flow, owner] : owners)
        {
            const instance_id now = owner_of(service, flow);
            CHECK((owner == lost ? now != lost : now == owner));
        }
    }
}

TEST_CASE("a paused member finds itself out and serves nothing more")
{
    service_fixture service(3);
    send_round(service);
    service.run_for(milliseconds(100));
    const instance_id paused("orders-3");
    service.pause(paused);
    service.run_for(seconds(2));
    send_round(service);
    service.run_for(milliseconds(500));
    service.served_by_.clear();
    service.resume(paused);
    service.run_for(seconds(1));
    for (const auto& [flow, served] : service.served_by_)
    {
        CHECK(std::count(served.begin(), served.end(), paused) == 0);
    }
    CHECK(service.agents_.at(paused).fenced_);
    check_single_owners(service);
}

TEST_CASE("after a freeze of the whole service every flow goes on")
{
    service_fixture service(3);
    send_round(service);
    service.run_for(milliseconds(100));
    for (int n = 1; n <= 3; ++n)
    {
        service.pause(make_member(n).instance_);
    }
    service.run_for(seconds(3));
    for (int n = 1; n <= 3; ++n)
    {
        service.resume(make_member(n).instance_);
    }
    service.run_for(seconds(1));
    send_round(service);
    service.run_for(milliseconds(300));
    CHECK(packets_served(service) == 2 * flow_count);
    CHECK(broken_flows(service) == 0);
}

TEST_CASE("of two members the survivor goes on once the platform says so")
{
    service_fixture service(2);
    send_round(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.run_for(milliseconds(2000));
    service.served_by_.clear();
    send_round(service);
    service.run_for(milliseconds(300));
    CHECK(packets_served(service) == flow_count);
}

TEST_CASE("the survivor of two takes a newcomer and goes on with its flows")
{
    service_fixture service(2);
    send_round(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.run_for(seconds(2));
    send_round(service);
    service.run_for(milliseconds(300));
    service.join(3);
    service.run_for(seconds(2));
    service.served_by_.clear();
    send_round(service);
    service.run_for(milliseconds(300));
    CHECK(packets_served(service) == flow_count);
    CHECK_FALSE(service.agents_.at(instance_id("orders-2")).fenced_);
    check_single_owners(service);
}

TEST_CASE("two of three lost at once: the third goes on with the platform")
{
    service_fixture service(3);
    send_round(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.kill(instance_id("orders-2"));
    service.run_for(seconds(5));
    service.served_by_.clear();
    send_round(service);
    service.run_for(milliseconds(300));
    CHECK(packets_served(service) == flow_count);
}

TEST_CASE("a non-idempotent request runs once however often it is repeated")
{
    service_fixture service(3);
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    for (int repeat = 0; repeat < 5; ++repeat)
    {
        send_post(service, flow, 7);
        service.run_for(milliseconds(20));
    }
    CHECK(runs_of(service, request.key_) == 1);
    CHECK(service.stored_replies_.size() == 1);
}

TEST_CASE("a repeat after the owner's loss is told that it may have run")
{
    service_fixture service(3);
    service.upstream_answers_ = false;
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    send_post(service, flow, 7);
    service.run_for(milliseconds(100));
    REQUIRE(runs_of(service, request.key_) == 1);
    service.kill(owner_of(service, flow));
    service.run_for(seconds(3));
    send_post(service, flow, 7);
    service.run_for(milliseconds(200));
    CHECK(runs_of(service, request.key_) == 1);
}

TEST_CASE("home and partner lost at once: no repeat runs again")
{
    service_fixture service(4);
    service.upstream_answers_ = false;
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    send_post(service, flow, 7);
    service.run_for(milliseconds(100));
    REQUIRE(runs_of(service, request.key_) == 1);
    const member* home = home_of(service.platform_roster_, bucket_of(flow));
    const member* deputy = deputy_of(service.platform_roster_, bucket_of(flow));
    const instance_id home_id = home->instance_;
    const instance_id deputy_id = deputy->instance_;
    service.kill(home_id);
    service.kill(deputy_id);
    service.run_for(seconds(6));
    send_post(service, flow, 7);
    service.run_for(milliseconds(300));
    CHECK(runs_of(service, request.key_) == 1);
}

TEST_CASE("a refusal as not run sticks, also after the refuser's loss")
{
    service_fixture service(3);
    const flow_key flow = make_flow(1);
    service.send(flow);
    service.run_for(milliseconds(50));
    const instance_id owner = owner_of(service, flow);
    const auto request = make_post(flow, 9);
    forwarded_packet packet;
    packet.flow_ = flow;
    packet.payload_ = {9};
    service.perform_actions(
        owner, on_request_shed(service.agents_.at(owner), packet, request,
                               refusal::overloaded, service.now_));
    CHECK(service.refusals_.empty());
    service.run_for(milliseconds(50));
    REQUIRE(service.refusals_[request.key_].size() == 1);
    CHECK(service.refusals_[request.key_].front().run_state_ ==
          run_state::did_not_run);
    service.kill(owner);
    service.run_for(seconds(2));
    send_post(service, flow, 9);
    service.run_for(milliseconds(200));
    CHECK(runs_of(service, request.key_) == 0);
}

TEST_CASE("an envelope for another service, instance or life is dropped")
{
    service_fixture service(3);
    const member m = service.platform_roster_.members_[0];
    agent_state& agent = service.agents_.at(m.instance_);
    forwarded_packet good;
    good.service_ = service.platform_roster_.service_;
    good.target_ = incarnation_of(m);
    good.epoch_ = service.platform_roster_.epoch_;
    forwarded_packet service_wrong = good;
    service_wrong.service_ = service_name("photos");
    forwarded_packet instance_wrong = good;
    instance_wrong.target_.instance_ = instance_id("orders-2");
    forwarded_packet life_wrong = good;
    life_wrong.target_.incarnation_ = incarnation(1);
    const std::vector<std::pair<forwarded_packet, refusal>> cases{
        {service_wrong, refusal::wrong_service},
        {instance_wrong, refusal::wrong_instance},
        {life_wrong, refusal::stale_incarnation}};
    for (const auto& [packet, reason] : cases)
    {
        const auto actions = on_packet(agent, packet, {}, service.now_);
        REQUIRE(actions.size() == 1);
        const auto* refused = std::get_if<refuse_packet>(&actions.front());
        REQUIRE(refused != nullptr);
        CHECK(refused->verdict_.reason_ == reason);
        CHECK_FALSE(refused->notify_caller_);
    }
}
