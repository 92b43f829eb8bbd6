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

TEST_CASE("a decoded place message equals the encoded one")
{
    place_message m = make_place({agent_b, agent_c});
    m.visits_ = {{agent_a, 1.5}};
    m.idempotent_ = false;
    m.candidates_exhausted_ = true;
    m.age_ = duration(12345);
    m.earlier_agent_ = agent_c;
    m.forwards_ = 3;
    m.cold_rate_ = 12.5;
    m.hedged_ = true;
    m.hedgeable_ = true;
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
    CHECK(read.forwards_ == m.forwards_);
    CHECK(read.cold_rate_ == doctest::Approx(12.5));
    CHECK(read.hedged_);
    CHECK(read.hedgeable_);
}

TEST_CASE("decoded owner, status and hello messages equal the encoded ones")
{
    const auto owner = std::get<flow_owner_message>(round_trip(
        flow_owner_message{make_flow(9), agent_b, true, agent_a, false, true}));
    CHECK(owner.flow_ == make_flow(9));
    CHECK(owner.owner_ == agent_b);
    CHECK(owner.queued_);
    CHECK(owner.sender_ == agent_a);
    CHECK_FALSE(owner.undecided_);
    CHECK(owner.hedged_);
    const auto undecided =
        std::get<flow_owner_message>(round_trip(flow_owner_message{
            make_flow(9), host_address(), false, agent_a, true}));
    CHECK(undecided.sender_ == agent_a);
    CHECK(undecided.undecided_);
    CHECK_FALSE(undecided.hedged_);
    for (const bool tentative : {false, true})
    {
        const auto search = std::get<locate_message>(
            round_trip(locate_message{sample_packet,
                                      balancer_x,
                                      tentative,
                                      {agent_b, agent_c},
                                      agent_a}));
        CHECK(search.sender_ == balancer_x);
        CHECK(search.tentative_ == tentative);
        CHECK(search.group_ == std::vector{agent_b, agent_c});
        CHECK(search.relay_ == agent_a);
    }
    const auto result = std::get<search_result_message>(round_trip(
        search_result_message{make_flow(9), agent_a, {agent_a}, {agent_b}}));
    CHECK(result.flow_ == make_flow(9));
    CHECK(result.sender_ == agent_a);
    CHECK(result.denied_ == std::vector{agent_a});
    CHECK(result.undecided_ == std::vector{agent_b});

    status_message status = make_status(agent_a, "a", 5);
    status.started_ = start_time_ms(1234567890123);
    status.cold_remaining_ = std::chrono::seconds(2);
    status.expected_load_ = 0.75;
    status.ended_ = true;
    const auto read = std::get<status_message>(round_trip(status));
    CHECK(read.host_ == agent_a);
    CHECK(read.service_ == orders);
    CHECK(read.data_centre_ == data_centre("a"));
    CHECK(read.started_ == status.started_);
    CHECK(read.state_ == upstream_state::ready);
    CHECK(read.in_flight_ == 5);
    CHECK(read.cold_remaining_ == status.cold_remaining_);
    CHECK(read.expected_load_ == doctest::Approx(0.75));
    CHECK(read.ended_);

    hello_message sent{balancer_x, pass_rules_version(8), 40, true};
    sent.evacuations_ = {
        store_era(2), object_version(77), {data_centre("a"), data_centre("b")}};
    sent.rules_read_age_ = std::chrono::microseconds(1500);
    const auto hello = std::get<hello_message>(round_trip(sent));
    // Rounded up: the receiver must not take the read for more recent.
    CHECK(hello.rules_read_age_ == std::chrono::milliseconds(2));
    CHECK_FALSE(hello.evacuations_read_age_);
    CHECK(hello.version_ == pass_rules_version(8));
    CHECK(hello.agents_ == 40);
    CHECK(hello.leaving_);
    CHECK(hello.evacuations_.era_ == store_era(2));
    CHECK(hello.evacuations_.revision_ == object_version(77));
    CHECK(hello.evacuations_.data_centres_ == sent.evacuations_.data_centres_);
}

TEST_CASE("malformed datagrams are decoded without a read outside their buffer")
{
    std::mt19937 random(20261204);
    const std::vector<std::uint8_t> valid = encode(make_place({agent_b}));
    for (int round = 0; round < 2000; ++round)
    {
        std::vector<std::uint8_t> bytes = valid;
        bytes.resize(random() % (valid.size() + 1));
        for (int change = 0; change < 4 && !bytes.empty(); ++change)
        {
            bytes[random() % bytes.size()] =
                static_cast<std::uint8_t>(random());
        }
        // Success and failure are both correct. In sanitizer builds a read
        // outside the buffer fails the test.
        (void)decode_pass_message({bytes.data(), bytes.size()});
    }
    CHECK_FALSE(decode_pass_message({nullptr, 0}));
}
