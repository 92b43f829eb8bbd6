#include "samples.h"

#include <doctest/doctest.h>
#include <random>

using namespace galenafork;
using namespace galenafork::samples;

namespace
{

pass_message round_trip(const pass_message& message)
{
    const std::vector<std::uint8_t> bytes = encode(message);
    auto read = decode_pass_message({bytes.data(), bytes.size()});
    REQUIRE(read);
    return *read;
}

} // namespace

TEST_CASE("an opening segment keeps its context on the way")
{
    place_message m = make_place({agent_b, agent_c});
    m.visits_ = {{agent_a, 1.5}};
    m.idempotent_ = false;
    m.candidates_exhausted_ = true;
    m.age_ = duration(12345);
    m.earlier_agent_ = agent_c;
    const auto read = std::get<place_message>(round_trip(m));
    CHECK(read.packet_ == m.packet_);
    CHECK(read.service_ == m.service_);
    CHECK(read.version_ == m.version_);
    CHECK(read.balancer_ == m.balancer_);
    CHECK(read.candidates_ == m.candidates_);
    REQUIRE(read.visits_.size() == 1);
    CHECK(read.visits_[0].host_ == agent_a);
    CHECK(read.visits_[0].backlog_ == doctest::Approx(1.5));
    CHECK(read.priority_ == m.priority_);
    CHECK_FALSE(read.idempotent_);
    CHECK(read.candidates_exhausted_);
    CHECK(read.age_ == m.age_);
    CHECK(read.latency_target_ == m.latency_target_);
    CHECK(read.earlier_agent_ == agent_c);
}

TEST_CASE("flows, status and hello arrive as they were sent")
{
    const auto moved = std::get<flow_owner_message>(
        round_trip(flow_owner_message{make_flow(9), agent_b, true, agent_a}));
    CHECK(moved.flow_ == make_flow(9));
    CHECK(moved.owner_ == agent_b);
    CHECK(moved.queued_);
    CHECK(moved.sender_ == agent_a);

    status_message status = make_status(agent_a, "a", 5);
    status.started_ = start_time_ms(1234567890123);
    status.cold_remaining_ = std::chrono::seconds(2);
    const auto read = std::get<status_message>(round_trip(status));
    CHECK(read.host_ == agent_a);
    CHECK(read.service_ == orders);
    CHECK(read.data_centre_ == data_centre("a"));
    CHECK(read.started_ == status.started_);
    CHECK(read.state_ == upstream_state::ready);
    CHECK(read.in_flight_ == 5);
    CHECK(read.cold_remaining_ == status.cold_remaining_);

    const auto hello = std::get<hello_message>(
        round_trip(hello_message{balancer_x, pass_rules_version(8), 40, true}));
    CHECK(hello.version_ == pass_rules_version(8));
    CHECK(hello.agents_ == 40);
    CHECK(hello.leaving_);
}

TEST_CASE("bytes that are no message are refused, never read past their end")
{
    std::mt19937 random(20261204);
    const std::vector<std::uint8_t> good = encode(make_place({agent_b}));
    for (int round = 0; round < 2000; ++round)
    {
        std::vector<std::uint8_t> bytes = good;
        bytes.resize(random() % (good.size() + 1));
        for (int change = 0; change < 4 && !bytes.empty(); ++change)
        {
            bytes[random() % bytes.size()] =
                static_cast<std::uint8_t>(random());
        }
        // Either outcome is fine; the sanitizers watch.
        (void)decode_pass_message({bytes.data(), bytes.size()});
    }
    CHECK_FALSE(decode_pass_message({nullptr, 0}));
}
