#include "samples.h"

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("an opening segment goes to an upstream with a free slot")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    CHECK(count(out, pass_target::peer) == 0);
    CHECK(state.in_flight_ == 1);
}

TEST_CASE("a full agent passes an opening segment on, the last one holds it")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    const auto* onward = find_message<place_message>(out);
    REQUIRE(onward != nullptr);
    CHECK(onward->candidates_.empty());
    REQUIRE(onward->visits_.size() == 1);
    CHECK(onward->visits_[0].host_ == agent_a);

    pass_actions last;
    handle_place(state, make_place(), make_opening(5), start, last);
    CHECK(state.queue_.size() == 1);
    CHECK(count(last, pass_target::upstream) == 0);
}

TEST_CASE("a held segment gets the slot that a response frees")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    place_message claim = make_place();
    claim.priority_ = 1;
    handle_place(state, make_place(), make_opening(4), start, out);
    handle_place(state, claim, make_opening(5), start, out);
    REQUIRE(state.queue_.size() == 2);
    pass_actions freed;
    handle_upstream_segment(state, make_response(1), some_bytes(),
                            start + milliseconds(30), freed);
    CHECK(count(freed, pass_target::upstream) == 1);
    CHECK(state.flows_.at(make_flow(5)).phase_ == pass_phase::opening);
    CHECK(state.flows_.at(make_flow(4)).phase_ == pass_phase::queued);
}

TEST_CASE("what can't be served in time is refused at once, truthfully")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    std::uint16_t port = 4;
    for (; port < 200 && count(out, pass_target::reset) == 0; ++port)
    {
        handle_place(state, make_place(), make_opening(port), start, out);
    }
    REQUIRE(count(out, pass_target::reset) == 1);
    const flow_key refused = make_flow(static_cast<std::uint16_t>(port - 1));
    CHECK(state.flows_.at(refused).phase_ == pass_phase::refused);
    // A copy that crossed the reset is refused again, not offered.
    pass_actions copy;
    segment_header again = make_opening(static_cast<std::uint16_t>(port - 1));
    again.ack_number_ = 1;
    handle_place(state, make_place(), again, start + milliseconds(200), copy);
    CHECK(count(copy, pass_target::reset) == 1);
    CHECK(count(copy, pass_target::upstream) == 0);
}

TEST_CASE("a caller that does not go on leaves its slot to the next")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    for (const std::uint16_t port : {1, 2, 3, 4})
    {
        handle_place(state, make_place(), make_opening(port), start, out);
        handle_upstream_segment(state, make_opening_answer(port, 9000),
                                some_bytes(), start, out);
    }
    REQUIRE(state.queue_.size() == 1);
    handle_tick(state, start + milliseconds(50), out);
    CHECK(state.queue_.empty());
}

TEST_CASE("a copy of a waiting segment does not wait twice")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place(), make_opening(4), start, out);
    handle_place(state, make_place(), make_opening(4), start, out);
    CHECK(state.queue_.size() == 1);
}

TEST_CASE("an agent of another service never offers a segment")
{
    pass_agent_state state = make_agent();
    place_message other = make_place();
    other.service_ = photos;
    pass_actions out;
    handle_place(state, other, make_opening(1), start, out);
    CHECK(count(out, pass_target::upstream) == 0);
    CHECK(count(out, pass_target::reset) == 1);
}

TEST_CASE("a draining upstream gets nothing new, and what waits moves on")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    place_message place = make_place();
    handle_place(state, place, make_opening(4), start, out);
    REQUIRE(state.queue_.size() == 1);
    state.flows_.at(make_flow(4)).place_.candidates_ = {agent_b};
    upstream_report draining = make_report(1000, 2);
    draining.state_ = upstream_state::draining;
    pass_actions drained;
    apply_report(state, draining, start, drained);
    CHECK(state.queue_.empty());
    CHECK(find_message<place_message>(drained) != nullptr);
    CHECK_FALSE(accepts_new_flows(state, start));
    // Open flows stay.
    pass_actions data;
    segment_header more = make_request(1, 9000);
    more.sequence_ = 601;
    handle_caller_segment(state, more, some_bytes(), balancer_x, start, data);
    CHECK(count(data, pass_target::upstream) == 1);
}

TEST_CASE("a restarted agent offers nothing before its upstream has reported")
{
    pass_agent_settings settings;
    settings.host_ = agent_a;
    pass_agent_state state = new_pass_agent(settings, start);
    CHECK_FALSE(accepts_new_flows(state, start));
}

TEST_CASE("late reports of an earlier life change nothing")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    apply_report(state, make_report(5000, 1), start, out);
    upstream_report late = make_report(1000, 99);
    late.state_ = upstream_state::draining;
    CHECK(apply_report(state, late, start, out) == report_outcome::outdated);
    CHECK(accepts_new_flows(state, start));
    // Nor does an overtaken report of the same life.
    CHECK(apply_report(state, make_report(5000, 1), start, out) ==
          report_outcome::outdated);
}

TEST_CASE("a new life of the upstream resets the flows of the one before")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    apply_report(state, make_report(5000, 1), start + seconds(2), out);
    REQUIRE(count(out, pass_target::reset) == 1);
    CHECK(out.datagrams_[0].sequence_ == 9001);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("flows of a new life that has not reported yet are not reset")
{
    // Soak seed 8: the upstream was back and had a flow before its first
    // report came.
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    open_flow(state, 2, start + seconds(3));
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = start + milliseconds(2900);
    pass_actions out;
    apply_report(state, report, start + milliseconds(3200), out);
    REQUIRE(count(out, pass_target::reset) == 1);
    CHECK(out.datagrams_[0].flow_ == make_flow(1));
    CHECK(state.in_flight_ == 1);
}

TEST_CASE("a flow that the new life answered is not reset")
{
    // Soak seed 1: the first copy went to the life that ended, the agent was
    // stopped for a while, and a later copy opened the flow at the new life.
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place(), make_opening(1), start, out);
    const instant back = start + milliseconds(700);
    open_flow(state, 1, back);
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = back - milliseconds(200);
    pass_actions later;
    apply_report(state, report, back + milliseconds(50), later);
    CHECK(count(later, pass_target::reset) == 0);
}

TEST_CASE("a report that waits for the traffic thread moves no start")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start + milliseconds(1200));
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = start + milliseconds(1000);
    pass_actions out;
    // Taken long after it arrived.
    apply_report(state, report, start + seconds(4), out);
    CHECK(count(out, pass_target::reset) == 0);
}

TEST_CASE("an open flow is not reset while its upstream lives")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    apply_report(state, make_report(1000, 2), start, out);
    handle_tick(state, start + seconds(1), out);
    begin_shutdown(state, start + seconds(1), out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK_FALSE(is_idle(state));
}

TEST_CASE("an upstream that leaves openings unanswered gets no more")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    handle_place(state, make_place({agent_b}), make_opening(2), start, out);
    pass_actions later;
    handle_tick(state, start + milliseconds(100), later);
    CHECK(state.upstream_suspect_);
    CHECK(find_message<place_message>(later) != nullptr);
    CHECK(state.in_flight_ == 0);
    // A report shows that it lives.
    apply_report(state, make_report(1000, 2), start + milliseconds(200), later);
    CHECK(accepts_new_flows(state, start + milliseconds(200)));
}

TEST_CASE("a segment for another upstream's handshake follows it")
{
    pass_agent_state state = make_agent();
    place_message copy = make_place();
    copy.earlier_agent_ = agent_b;
    pass_actions out;
    handle_place(state, copy, make_opening(1), start, out);
    handle_upstream_segment(state, make_opening_answer(1, 9000), some_bytes(),
                            start, out);
    pass_actions data;
    handle_caller_segment(state, make_request(1, 3000000000U), some_bytes(),
                          balancer_x, start, data);
    CHECK(count(data, pass_target::upstream) == 0);
    REQUIRE(count(data, pass_target::agent) == 1);
    CHECK(data.datagrams_[0].host_ == agent_b);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("a copy that another agent may have opened is dropped, not reset")
{
    // Soak seed 30: a balancer that was stopped placed three copies at once,
    // the second elsewhere; its refusal met the flow that the first had opened.
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        pass_actions out;
        handle_place(state, make_place(), make_opening(port), start, out);
    }
    place_message copy = make_place();
    copy.earlier_agent_ = agent_b;
    pass_actions out;
    handle_place(state, copy, make_opening(99), start, out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(count(out, pass_target::upstream) == 0);
    // One that was sent here first is refused.
    pass_actions refused;
    handle_place(state, make_place(), make_opening(98), start, refused);
    CHECK(count(refused, pass_target::reset) == 1);
}

TEST_CASE("the balancer learns that a held segment was refused")
{
    // It keeps copies of held segments back; a lost reset was never repeated.
    pass_agent_state state = make_agent();
    place_message settled = make_place();
    settled.candidates_exhausted_ = true;
    for (std::uint16_t port = 1; port <= 6; ++port)
    {
        pass_actions out;
        handle_place(state, settled, make_opening(port), start, out);
    }
    REQUIRE_FALSE(state.queue_.empty());
    const flow_key held = state.queue_.front();
    // The upstream answers nothing for the rest of the attempt.
    state.in_flight_ = 100;
    pass_actions out;
    apply_report(state, make_report(1000, 2), start + milliseconds(1299), out);
    handle_tick(state, start + milliseconds(1350), out);
    const auto told = std::count_if(
        out.datagrams_.begin(), out.datagrams_.end(),
        [&](const pass_datagram& a)
        {
            const auto* moved =
                a.target_ == pass_target::peer
                    ? std::get_if<flow_owner_message>(&*a.message_)
                    : nullptr;
            return moved != nullptr && moved->flow_ == held && !moved->queued_;
        });
    CHECK(told == 1);
    pass_actions copy;
    segment_header again = make_opening(held.caller_.port_);
    again.ack_number_ = 2;
    handle_place(state, settled, again, start + milliseconds(1360), copy);
    CHECK(count(copy, pass_target::reset) == 1);
}

TEST_CASE("an agent older than its upstream hands unknown flows back")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_caller_segment(state, make_request(9, 1), some_bytes(), balancer_x,
                          start, out);
    CHECK(count(out, pass_target::upstream) == 0);
    CHECK(find_message<locate_message>(out) != nullptr);
}

TEST_CASE("a restarted agent tries an unknown flow once and remembers")
{
    pass_agent_state state = make_agent();
    state.settings_.process_started_ = start_time_ms(60000);
    pass_actions out;
    const segment_header request = make_request(9, 1);
    handle_caller_segment(state, request, some_bytes(), balancer_x, start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    segment_header bounced = request;
    bounced.bounced_ = true;
    pass_actions back;
    handle_upstream_segment(state, bounced, some_bytes(), start, back);
    CHECK(find_message<locate_message>(back) != nullptr);
    // FLOW of zon-sacz trouble-3: the same stranger got the flow's packets
    // again and again.
    pass_actions again;
    handle_locate(state, {some_packet, balancer_x}, request,
                  start + milliseconds(200), again);
    handle_caller_segment(state, request, some_bytes(), balancer_x,
                          start + milliseconds(400), again);
    CHECK(count(again, pass_target::upstream) == 0);
    const auto* denied = find_message<flow_owner_message>(again);
    REQUIRE(denied != nullptr);
    CHECK(denied->owner_ == host_address());
}

TEST_CASE("a question is passed on along a moved flow")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    pass_actions asked;
    handle_locate(state, {some_packet, balancer_x}, make_request(4, 1), start,
                  asked);
    CHECK(count(asked, pass_target::agent) == 1);
    const auto* moved = find_message<flow_owner_message>(asked);
    REQUIRE(moved != nullptr);
    CHECK(moved->owner_ == agent_b);
    // Asked by that agent itself, it knows that the flow is not there.
    pass_actions circle;
    handle_locate(state, {some_packet, agent_b}, make_request(4, 1), start,
                  circle);
    CHECK(circle.datagrams_.empty());
}

TEST_CASE("segments do not run in circles")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    segment_header s = make_request(4, 1);
    s.hops_ = 200;
    pass_actions dropped;
    handle_caller_segment(state, s, some_bytes(), balancer_x, start, dropped);
    CHECK(dropped.datagrams_.empty());
}

TEST_CASE("a bounced opening goes to the next candidate")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    segment_header bounced = make_opening(1);
    bounced.bounced_ = true;
    pass_actions back;
    handle_upstream_segment(state, bounced, some_bytes(), start, back);
    CHECK(find_message<place_message>(back) != nullptr);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("what is unknown is forgotten in time")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_tick(state, start + seconds(30), out);
    CHECK(state.flows_.empty());
    CHECK(state.in_flight_ == 0);
}
