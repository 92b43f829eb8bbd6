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

void send_to_flows(service_fixture& service, int flows = flow_count)
{
    for (int n = 0; n < flows; ++n)
    {
        service.send(make_flow(n));
    }
}

// Returns the number of flows whose packets were served by more than one
// upstream.
int count_flows_with_several_owners(const service_fixture& service)
{
    int count = 0;
    for (const auto& entry : service.served_by_)
    {
        const std::vector<instance_id>& served = entry.second;
        const bool is_same = std::all_of(served.begin(), served.end(),
                                         [&](const instance_id& id)
                                         { return id == served.front(); });
        count += is_same ? 0 : 1;
    }
    return count;
}

std::size_t count_served_packets(const service_fixture& service)
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

std::size_t count_runs(const service_fixture& service, const request_key& key)
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

TEST_CASE("without failures every packet reaches its flow's owner directly")
{
    service_fixture service(3);
    for (int round = 0; round < 5; ++round)
    {
        send_to_flows(service);
        service.run_for(milliseconds(100));
    }
    CHECK(count_served_packets(service) == 5 * flow_count);
    CHECK(count_flows_with_several_owners(service) == 0);
    CHECK(service.forwarded_packets_ == 0);
}

TEST_CASE("joins and drains neither change a flow's owner nor drop a packet")
{
    service_fixture service(3);
    send_to_flows(service);
    service.run_for(milliseconds(100));
    service.join(4);
    for (int round = 0; round < 20; ++round)
    {
        send_to_flows(service);
        service.run_for(milliseconds(30));
    }
    service.change(roster_change_kind::drain, instance_id("orders-1"));
    for (int round = 0; round < 20; ++round)
    {
        send_to_flows(service);
        service.run_for(milliseconds(30));
    }
    service.run_for(seconds(2));
    CHECK(count_served_packets(service) == 41 * flow_count);
    CHECK(count_flows_with_several_owners(service) == 0);
    check_single_owners(service);
}

TEST_CASE("packets sent under an old roster reach their flow's owner")
{
    service_fixture service(3);
    const roster old = service.platform_roster_;
    send_to_flows(service);
    service.run_for(milliseconds(50));
    service.join(4);
    service.run_for(milliseconds(500));
    for (int n = 0; n < flow_count; ++n)
    {
        service.send(make_flow(n), {}, old);
    }
    service.run_for(milliseconds(500));
    CHECK(count_served_packets(service) == 2 * flow_count);
    CHECK(count_flows_with_several_owners(service) == 0);
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
    CHECK(count_served_packets(service) == flow_count);
    CHECK(service.agents_.at(instance_id("orders-2")).owned_flows_.empty());
}

TEST_CASE(
    "flows of a lost member get a new owner in time, other flows keep theirs")
{
    for (const bool platform_up : {true, false})
    {
        CAPTURE(platform_up);
        service_fixture service(4);
        service.platform_up_ = platform_up;
        send_to_flows(service);
        service.run_for(milliseconds(100));
        const instance_id lost("orders-2");
        std::map<flow_key, instance_id> owners;
        for (int n = 0; n < flow_count; ++n)
        {
            owners.emplace(make_flow(n), owner_of(service, make_flow(n)));
        }
        service.kill(lost);
        // The flows must have a new owner within 2 s if the platform is up,
        // within 5 s if it is down.
        service.run_for(platform_up ? seconds(2) : seconds(5));
        service.served_by_.clear();
        send_to_flows(service);
        service.run_for(milliseconds(200));
        CHECK(count_served_packets(service) == flow_count);
        for (const auto& [flow, owner] : owners)
        {
            const instance_id now = owner_of(service, flow);
            CHECK((owner == lost ? now != lost : now == owner));
        }
    }
}

TEST_CASE("a member paused beyond its lease is fenced and serves no packets")
{
    service_fixture service(3);
    send_to_flows(service);
    service.run_for(milliseconds(100));
    const instance_id paused("orders-3");
    service.pause(paused);
    service.run_for(seconds(2));
    send_to_flows(service);
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

TEST_CASE("every flow keeps its owner after all members were paused at once")
{
    service_fixture service(3);
    send_to_flows(service);
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
    send_to_flows(service);
    service.run_for(milliseconds(300));
    CHECK(count_served_packets(service) == 2 * flow_count);
    CHECK(count_flows_with_several_owners(service) == 0);
}

TEST_CASE(
    "the survivor of two members serves all flows after the other's removal")
{
    service_fixture service(2);
    send_to_flows(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.run_for(milliseconds(2000));
    service.served_by_.clear();
    send_to_flows(service);
    service.run_for(milliseconds(300));
    CHECK(count_served_packets(service) == flow_count);
}

TEST_CASE("the survivor of two members is not fenced when a third one joins")
{
    service_fixture service(2);
    send_to_flows(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.run_for(seconds(2));
    send_to_flows(service);
    service.run_for(milliseconds(300));
    service.join(3);
    service.run_for(seconds(2));
    service.served_by_.clear();
    send_to_flows(service);
    service.run_for(milliseconds(300));
    CHECK(count_served_packets(service) == flow_count);
    CHECK_FALSE(service.agents_.at(instance_id("orders-2")).fenced_);
    check_single_owners(service);
}

TEST_CASE("the survivor of three serves all flows after two are lost at once")
{
    service_fixture service(3);
    send_to_flows(service);
    service.run_for(milliseconds(100));
    service.kill(instance_id("orders-1"));
    service.kill(instance_id("orders-2"));
    service.run_for(seconds(5));
    service.served_by_.clear();
    send_to_flows(service);
    service.run_for(milliseconds(300));
    CHECK(count_served_packets(service) == flow_count);
}

TEST_CASE(
    "a non-idempotent request runs once however often it is retransmitted")
{
    service_fixture service(3);
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    for (int attempt = 0; attempt < 5; ++attempt)
    {
        send_post(service, flow, 7);
        service.run_for(milliseconds(20));
    }
    CHECK(count_runs(service, request.key_) == 1);
    CHECK(service.stored_answers_.size() == 1);
}

TEST_CASE("a request sent again after the owner's loss does not run again")
{
    service_fixture service(3);
    service.upstream_answers_ = false;
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    send_post(service, flow, 7);
    service.run_for(milliseconds(100));
    REQUIRE(count_runs(service, request.key_) == 1);
    service.kill(owner_of(service, flow));
    service.run_for(seconds(3));
    send_post(service, flow, 7);
    service.run_for(milliseconds(200));
    CHECK(count_runs(service, request.key_) == 1);
}

TEST_CASE(
    "a request sent again after the loss of home and backup does not run again")
{
    service_fixture service(4);
    service.upstream_answers_ = false;
    const flow_key flow = make_flow(1);
    const auto request = make_post(flow, 7);
    send_post(service, flow, 7);
    service.run_for(milliseconds(100));
    REQUIRE(count_runs(service, request.key_) == 1);
    const member* home = home_of(service.platform_roster_, bucket_of(flow));
    const member* deputy = deputy_of(service.platform_roster_, bucket_of(flow));
    const instance_id home_id = home->instance_;
    const instance_id deputy_id = deputy->instance_;
    service.kill(home_id);
    service.kill(deputy_id);
    service.run_for(seconds(6));
    send_post(service, flow, 7);
    service.run_for(milliseconds(300));
    CHECK(count_runs(service, request.key_) == 1);
}

TEST_CASE(
    "a request refused as not run never runs, even after the owner's loss")
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
    CHECK(count_runs(service, request.key_) == 0);
}

TEST_CASE("a packet for another service, instance or incarnation is dropped")
{
    service_fixture service(3);
    const member m = service.platform_roster_.members_[0];
    agent_state& agent = service.agents_.at(m.instance_);
    forwarded_packet valid;
    valid.service_ = service.platform_roster_.service_;
    valid.target_ = incarnation_of(m);
    valid.epoch_ = service.platform_roster_.epoch_;
    forwarded_packet wrong_service = valid;
    wrong_service.service_ = service_name("photos");
    forwarded_packet wrong_instance = valid;
    wrong_instance.target_.instance_ = instance_id("orders-2");
    forwarded_packet wrong_incarnation = valid;
    wrong_incarnation.target_.incarnation_ = incarnation(1);
    const std::vector<std::pair<forwarded_packet, refusal>> cases{
        {wrong_service, refusal::wrong_service},
        {wrong_instance, refusal::wrong_instance},
        {wrong_incarnation, refusal::stale_incarnation}};
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
