#include "samples.h"

#include <array>
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

TEST_CASE(
    "a full agent forwards an opening segment, and the last one queues it")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    const auto* forwarded = find_message<place_message>(out);
    REQUIRE(forwarded != nullptr);
    CHECK(forwarded->candidates_.empty());
    REQUIRE(forwarded->visits_.size() == 1);
    CHECK(forwarded->visits_[0].host_ == agent_a);

    pass_actions last;
    handle_place(state, make_place(), make_opening(5), start, last);
    CHECK(state.queue_.size() == 1);
    CHECK(count(last, pass_target::upstream) == 0);
}

TEST_CASE(
    "the most important queued segment gets the slot that an answer frees")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    place_message important = make_place();
    important.priority_ = 1;
    handle_place(state, make_place(), make_opening(4), start, out);
    handle_place(state, important, make_opening(5), start, out);
    REQUIRE(state.queue_.size() == 2);
    pass_actions freed;
    handle_upstream_segment(state, make_answer(1), sample_bytes(),
                            start + milliseconds(30), freed);
    CHECK(count(freed, pass_target::upstream) == 1);
    CHECK(state.flows_.at(make_flow(5)).phase_ == pass_phase::opening);
    CHECK(state.flows_.at(make_flow(4)).phase_ == pass_phase::queued);
}

TEST_CASE("a segment that can't be answered in time is refused at once")
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
    // A retransmission that crossed the reset is refused as well.
    pass_actions on_retransmission;
    segment_header retransmission =
        make_opening(static_cast<std::uint16_t>(port - 1));
    retransmission.ack_number_ = 1;
    handle_place(state, make_place(), retransmission, start + milliseconds(200),
                 on_retransmission);
    CHECK(count(on_retransmission, pass_target::reset) == 1);
    CHECK(count(on_retransmission, pass_target::upstream) == 0);
}

TEST_CASE("a caller that abandons its handshake frees the slot for the next")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    for (const std::uint16_t port : {1, 2, 3, 4})
    {
        handle_place(state, make_place(), make_opening(port), start, out);
        handle_upstream_segment(state, make_opening_answer(port, 9000),
                                sample_bytes(), start, out);
    }
    REQUIRE(state.queue_.size() == 1);
    handle_tick(state, start + milliseconds(50), out);
    CHECK(state.queue_.empty());
}

TEST_CASE("a retransmission of a queued segment is not queued twice")
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

TEST_CASE(
    "a draining upstream gets no new flows, and queued segments go elsewhere")
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
    // Segments of open flows still reach the upstream.
    pass_actions data;
    segment_header request = make_request(1, 9000);
    request.sequence_ = 601;
    handle_caller_segment(state, request, sample_bytes(), balancer_x, start,
                          data);
    CHECK(count(data, pass_target::upstream) == 1);
}

TEST_CASE("a restarted agent offers nothing before its upstream has reported")
{
    pass_agent_settings settings;
    settings.host_ = agent_a;
    pass_agent_state state = new_pass_agent(settings, start);
    CHECK_FALSE(accepts_new_flows(state, start));
}

TEST_CASE("outdated reports of the upstream are ignored")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    apply_report(state, make_report(5000, 1), start, out);
    upstream_report late = make_report(1000, 99);
    late.state_ = upstream_state::draining;
    CHECK(apply_report(state, late, start, out) == report_outcome::outdated);
    CHECK(accepts_new_flows(state, start));
    // A report of the same incarnation with an old sequence number is ignored
    // too.
    CHECK(apply_report(state, make_report(5000, 1), start, out) ==
          report_outcome::outdated);
}

TEST_CASE("a restart of the upstream resets the flows from before it")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    apply_report(state, make_report(5000, 1), start + seconds(2), out);
    REQUIRE(count(out, pass_target::reset) == 1);
    CHECK(out.datagrams_[0].sequence_ == 9001);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("flows opened between a restart and its first report are not reset")
{
    // Soak seed 8: the restarted upstream opened a flow before its first report
    // arrived, and the report then reset this flow too.
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_tick(state, start + milliseconds(2950), out);
    open_flow(state, 2, start + seconds(3));
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = start + milliseconds(2900);
    apply_report(state, report, start + milliseconds(3200), out);
    REQUIRE(count(out, pass_target::reset) == 1);
    CHECK(out.datagrams_[0].flow_ == make_flow(1));
    CHECK(state.in_flight_ == 1);
}

TEST_CASE("a flow that the restarted upstream has answered is not reset")
{
    // Soak seed 1: the first transmission of the opening segment went to an
    // upstream that ended. The agent was stopped for a while, and then a
    // retransmission opened the flow at the restarted upstream.
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place(), make_opening(1), start, out);
    const instant opened_at = start + milliseconds(700);
    open_flow(state, 1, opened_at);
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = opened_at - milliseconds(200);
    pass_actions reported;
    apply_report(state, report, opened_at + milliseconds(50), reported);
    CHECK(count(reported, pass_target::reset) == 0);
}

TEST_CASE("a report that is applied late does not move the time of the restart")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start + milliseconds(1200));
    upstream_report report = make_report(5000, 1);
    report.started_monotonic_ = start + milliseconds(1000);
    pass_actions out;
    // The report waits for the traffic thread long after its arrival.
    apply_report(state, report, start + seconds(4), out);
    CHECK(count(out, pass_target::reset) == 0);
}

TEST_CASE("an open flow is not reset while its upstream runs")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    apply_report(state, make_report(1000, 2), start, out);
    handle_tick(state, start + seconds(1), out);
    begin_shutdown(state, start + seconds(1), out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK_FALSE(is_idle(state, start + seconds(1)));
}

TEST_CASE(
    "an upstream that leaves opening segments unanswered gets no new flows")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    handle_place(state, make_place({agent_b}), make_opening(2), start, out);
    pass_actions later;
    handle_tick(state, start + milliseconds(100), later);
    CHECK(state.upstream_suspected_);
    CHECK(find_message<place_message>(later) != nullptr);
    CHECK(state.in_flight_ == 0);
    // A report shows that the upstream is running.
    apply_report(state, make_report(1000, 2), start + milliseconds(200), later);
    CHECK(accepts_new_flows(state, start + milliseconds(200)));
}

TEST_CASE("a segment for another upstream's handshake is forwarded there")
{
    pass_agent_state state = make_agent();
    place_message retransmission = make_place();
    retransmission.earlier_agent_ = agent_b;
    pass_actions out;
    handle_place(state, retransmission, make_opening(1), start, out);
    handle_upstream_segment(state, make_opening_answer(1, 9000), sample_bytes(),
                            start, out);
    pass_actions data;
    handle_caller_segment(state, make_request(1, 3000000000U), sample_bytes(),
                          balancer_x, start, data);
    CHECK(count(data, pass_target::upstream) == 0);
    REQUIRE(count(data, pass_target::agent) == 1);
    CHECK(data.datagrams_[0].host_ == agent_b);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE(
    "a retransmission for a flow that may be open elsewhere gets no reset")
{
    // Soak seed 30: a balancer that had been stopped placed three transmissions
    // of one opening segment at once, the second with another agent. That
    // agent's refusal reset the flow that the first transmission had opened.
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 40; ++port)
    {
        pass_actions out;
        handle_place(state, make_place(), make_opening(port), start, out);
    }
    place_message retransmission = make_place();
    retransmission.earlier_agent_ = agent_b;
    pass_actions out;
    handle_place(state, retransmission, make_opening(99), start, out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(count(out, pass_target::upstream) == 0);
    // A first transmission is refused with a reset.
    pass_actions refused;
    handle_place(state, make_place(), make_opening(98), start, refused);
    CHECK(count(refused, pass_target::reset) == 1);
}

TEST_CASE("the balancer is notified when a queued segment is refused")
{
    // The balancer drops retransmissions of queued segments. Without the
    // notification they did not reach the agent after the refusal, and a lost
    // reset was never sent again.
    pass_agent_state state = make_agent();
    place_message exhausted = make_place();
    exhausted.candidates_exhausted_ = true;
    for (std::uint16_t port = 1; port <= 6; ++port)
    {
        pass_actions out;
        handle_place(state, exhausted, make_opening(port), start, out);
    }
    REQUIRE_FALSE(state.queue_.empty());
    const flow_key queued = state.queue_.front();
    // The upstream frees no slot for the rest of the attempt.
    state.in_flight_ = 100;
    pass_actions out;
    handle_tick(state, start + milliseconds(1250), out);
    apply_report(state, make_report(1000, 2), start + milliseconds(1299), out);
    handle_tick(state, start + milliseconds(1350), out);
    const auto notifications = std::count_if(
        out.datagrams_.begin(), out.datagrams_.end(),
        [&](const pass_datagram& a)
        {
            const auto* owner =
                a.target_ == pass_target::peer
                    ? std::get_if<flow_owner_message>(&*a.message_)
                    : nullptr;
            return owner != nullptr && owner->flow_ == queued &&
                   !owner->queued_;
        });
    CHECK(notifications == 1);
    pass_actions on_retransmission;
    segment_header retransmission = make_opening(queued.caller_.port_);
    retransmission.ack_number_ = 2;
    handle_place(state, exhausted, retransmission, start + milliseconds(1360),
                 on_retransmission);
    CHECK(count(on_retransmission, pass_target::reset) == 1);
}

TEST_CASE("an agent that saw its upstream start returns unknown flows")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_caller_segment(state, make_request(9, 1), sample_bytes(), balancer_x,
                          start, out);
    CHECK(count(out, pass_target::upstream) == 0);
    CHECK(find_message<locate_message>(out) != nullptr);
}

TEST_CASE("a restarted agent tries an unknown flow at its upstream only once")
{
    pass_agent_state state = make_restarted_agent();
    pass_actions out;
    const segment_header request = make_request(9, 1);
    handle_caller_segment(state, request, sample_bytes(), balancer_x, start,
                          out);
    CHECK(count(out, pass_target::upstream) == 1);
    segment_header bounced = request;
    bounced.bounced_ = true;
    pass_actions returned;
    handle_upstream_segment(state, bounced, sample_bytes(), start, returned);
    CHECK(find_message<locate_message>(returned) != nullptr);
    // FLOW of zon-sacz trouble-3: an upstream that did not have the flow got
    // the flow's segments repeatedly.
    pass_actions repeated;
    handle_locate(state, {sample_packet, balancer_x}, request,
                  start + milliseconds(200), repeated);
    handle_caller_segment(state, request, sample_bytes(), balancer_x,
                          start + milliseconds(400), repeated);
    CHECK(count(repeated, pass_target::upstream) == 0);
    const auto* denied = find_message<flow_owner_message>(repeated);
    REQUIRE(denied != nullptr);
    CHECK(denied->owner_ == host_address());
}

TEST_CASE(
    "a search for the owner of a moved flow is forwarded to its new agent")
{
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    pass_actions located;
    handle_locate(state, {sample_packet, balancer_x}, make_request(4, 1), start,
                  located);
    CHECK(count(located, pass_target::agent) == 1);
    const auto* owner = find_message<flow_owner_message>(located);
    REQUIRE(owner != nullptr);
    CHECK(owner->owner_ == agent_b);
    // The new agent returns the segment, so the flow is not there.
    pass_actions returned;
    handle_locate(state, {sample_packet, agent_b}, make_request(4, 1), start,
                  returned);
    CHECK(returned.datagrams_.empty());
}

TEST_CASE("a segment with too many hops is dropped")
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
    handle_caller_segment(state, s, sample_bytes(), balancer_x, start, dropped);
    CHECK(dropped.datagrams_.empty());
}

TEST_CASE(
    "an opening segment that the upstream returns goes to the next candidate")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    segment_header bounced = make_opening(1);
    bounced.bounced_ = true;
    pass_actions rerouted;
    handle_upstream_segment(state, bounced, sample_bytes(), start, rerouted);
    CHECK(find_message<place_message>(rerouted) != nullptr);
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("a flow that is idle is kept for as long as a flow can live")
{
    // review/2: flows were removed after 20 s, so that those of callers whose
    // idle timeout was longer were taken for unknown and reset.
    for (const duration idle : {seconds(21), seconds(45), seconds(59)})
    {
        pass_agent_state state = make_agent();
        open_flow(state, 1, start);
        pass_actions out;
        handle_tick(state, start + idle, out);
        REQUIRE(state.flows_.size() == 1);
        CHECK(is_idle(state, start + idle));
        handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                              balancer_x, start + idle, out);
        CHECK(count(out, pass_target::upstream) == 1);
        CHECK_FALSE(is_idle(state, start + idle));
    }
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_tick(state, start + seconds(61), out);
    CHECK(state.flows_.empty());
    CHECK(state.in_flight_ == 0);
}

TEST_CASE("a late answer of an earlier flow does not reach the next caller")
{
    // Reported by operators of similar systems: an upstream sent a second copy
    // of an answer on a connection that was in use again.
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    segment_header answer = make_answer(1);
    answer.finishes_ = true;
    handle_upstream_segment(state, answer, sample_bytes(), start, out);
    CHECK(count(out, pass_target::caller) == 1);

    // The caller uses its port again.
    const instant later = start + milliseconds(500);
    segment_header reopening = make_opening(1);
    reopening.sequence_ = 7777;
    handle_tick(state, later, out);
    handle_place(state, make_place(), reopening, later, out);
    pass_actions before_handshake;
    handle_upstream_segment(state, answer, sample_bytes(), later,
                            before_handshake);
    CHECK(count(before_handshake, pass_target::caller) == 0);

    constexpr std::uint32_t new_sequence = 3000000000;
    handle_upstream_segment(state, make_opening_answer(1, new_sequence),
                            sample_bytes(), later, out);
    segment_header request = make_request(1, new_sequence);
    request.sequence_ = 7778;
    handle_caller_segment(state, request, sample_bytes(), balancer_x, later,
                          out);
    pass_actions late_copy;
    handle_upstream_segment(state, answer, sample_bytes(), later, late_copy);
    CHECK(count(late_copy, pass_target::caller) == 0);

    pass_actions answered;
    handle_upstream_segment(state, make_answer(1, new_sequence), sample_bytes(),
                            later, answered);
    CHECK(count(answered, pass_target::caller) == 1);
}

TEST_CASE(
    "an agent that was paused does not decide about flows that have moved "
    "on meanwhile")
{
    // The balancer has sent the retransmission to another agent, which opened
    // the flow. A refusal by the resumed agent would reset it.
    for (const auto pause : {seconds(2), seconds(5), seconds(20)})
    {
        pass_agent_state state = make_agent();
        pass_actions out;
        handle_tick(state, start, out);
        open_flow(state, 1, start);
        open_flow(state, 2, start);
        open_flow(state, 3, start);
        const instant resumed_at = start + pause;
        pass_actions on_resume;
        handle_place(state, make_place(), make_opening(4), resumed_at,
                     on_resume);
        handle_tick(state, resumed_at, on_resume);
        handle_place(state, make_place(), make_opening(5),
                     resumed_at + milliseconds(5), on_resume);
        CHECK(count(on_resume, pass_target::reset) == 0);
        CHECK(count(on_resume, pass_target::upstream) == 0);

        upstream_report report = make_report(1000, 2);
        const instant later = resumed_at + milliseconds(60);
        apply_report(state, report, later, on_resume);
        handle_tick(state, later, on_resume);
        pass_actions fresh;
        handle_place(state, make_place(), make_opening(6), later, fresh);
        CHECK(fresh.datagrams_.size() == 1);
    }
}

TEST_CASE("a planned stop under load cuts off no segment that was accepted")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    open_flow(state, 1, start);
    handle_place(state, make_place(), make_opening(2), start, out);
    open_flow(state, 3, start);
    // Queued here after a visit of another agent that was full as well.
    place_message exhausted = make_place();
    exhausted.visits_ = {{agent_b, 1.5}, {agent_a, 1.0}};
    exhausted.candidates_exhausted_ = true;
    handle_place(state, exhausted, make_opening(4), start, out);
    REQUIRE(state.queue_.size() == 1);

    pass_actions on_stop;
    begin_shutdown(state, start, on_stop);
    CHECK(count(on_stop, pass_target::reset) == 0);
    REQUIRE(count_messages<place_message>(on_stop) == 1);
    CHECK_FALSE(is_idle(state, start));
    // A balancer sent this before it knew.
    pass_actions arriving;
    handle_place(state, make_place({agent_c}), make_opening(5), start,
                 arriving);
    CHECK(count(arriving, pass_target::reset) == 0);
    CHECK(count_messages<place_message>(arriving) == 1);

    // What was accepted is served to its end.
    pass_actions served;
    handle_upstream_segment(state, make_opening_answer(2, 9000), sample_bytes(),
                            start, served);
    handle_caller_segment(state, make_request(2, 9000), sample_bytes(),
                          balancer_x, start, served);
    for (const std::uint16_t port : {1, 2, 3})
    {
        segment_header last = make_answer(port);
        last.finishes_ = true;
        handle_upstream_segment(state, last, sample_bytes(), start, served);
        CHECK_FALSE(is_idle(state, start));
    }
    CHECK(count(served, pass_target::caller) == 4);
    for (const std::uint16_t port : {1, 2, 3})
    {
        segment_header finish = make_request(port, 9000);
        finish.sequence_ = 601;
        finish.data_bytes_ = 0;
        finish.finishes_ = true;
        handle_caller_segment(state, finish, sample_bytes(), balancer_x, start,
                              served);
    }
    CHECK(is_idle(state, start));
    CHECK(count(served, pass_target::reset) == 0);
}

TEST_CASE("an answer that breaks off ends with a reset, not like a whole one")
{
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_upstream_segment(state, make_answer(1), sample_bytes(), start, out);
    pass_actions on_restart;
    apply_report(state, make_report(5000, 1), start + seconds(1), on_restart);
    CHECK(count(on_restart, pass_target::caller) == 0);
    CHECK(count(on_restart, pass_target::reset) == 1);
}

TEST_CASE("an agent that did not see its upstream start does not deny a flow")
{
    // review/5: an agent that was killed soon after its upstream's start
    // returned the segments of flows that the upstream had opened before. The
    // balancer took this for a denial and reset the flows.
    pass_agent_state state = make_restarted_agent();
    const segment_header request = make_request(9, 1);
    pass_actions tentative;
    handle_locate(state, {sample_packet, balancer_x, true}, request, start,
                  tentative);
    CHECK(count(tentative, pass_target::upstream) == 0);
    const auto* answer = find_message<flow_owner_message>(tentative);
    REQUIRE(answer != nullptr);
    CHECK(answer->undecided_);
    CHECK(answer->sender_ == agent_a);
    pass_actions asked;
    handle_locate(state, {sample_packet, balancer_x, false}, request, start,
                  asked);
    CHECK(count(asked, pass_target::upstream) == 1);
    pass_actions answered;
    handle_upstream_segment(state, make_answer(9, 1), sample_bytes(), start,
                            answered);
    const auto* owner = find_message<flow_owner_message>(answered);
    REQUIRE(owner != nullptr);
    CHECK(owner->owner_ == agent_a);
}

TEST_CASE("a balancer's segment of an unknown flow goes to the upstream of a "
          "restarted agent")
{
    pass_agent_state state = make_restarted_agent();
    pass_actions out;
    handle_caller_segment(state, make_request(9, 1), sample_bytes(), balancer_x,
                          start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    CHECK(find_message<locate_message>(out) == nullptr);
}

TEST_CASE("an agent denies unknown flows once it is older than any flow")
{
    for (const bool restarted : {false, true})
    {
        for (const duration age : {seconds(1), seconds(59), seconds(61)})
        {
            pass_agent_state state =
                restarted ? make_restarted_agent() : make_agent();
            pass_actions out;
            handle_locate(state, {sample_packet, balancer_x, true},
                          make_request(9, 1), start + age, out);
            const auto* answer = find_message<flow_owner_message>(out);
            REQUIRE(answer != nullptr);
            CHECK(answer->undecided_ == (restarted && age < seconds(60)));
            CHECK(answer->owner_ == host_address());
        }
    }
}

TEST_CASE("a late report of an earlier incarnation shows no start of the "
          "upstream")
{
    // The agent started after the present incarnation.
    pass_agent_settings settings;
    settings.host_ = agent_a;
    pass_agent_state state = new_pass_agent(settings, start + seconds(20));
    pass_actions out;
    apply_report(state, make_report(1000, 7), start + seconds(20), out);
    apply_report(state, make_report(15000, 1), start + seconds(21), out);
    handle_locate(state, {sample_packet, balancer_x, true}, make_request(9, 1),
                  start + seconds(21), out);
    CHECK(find_message<flow_owner_message>(out)->undecided_);
    // The next one starts while the agent runs.
    apply_report(state, make_report(30000, 1), start + seconds(30), out);
    pass_actions denied;
    handle_locate(state, {sample_packet, balancer_x, true}, make_request(9, 1),
                  start + seconds(30), denied);
    CHECK_FALSE(find_message<flow_owner_message>(denied)->undecided_);
}

TEST_CASE("a flow that came back from another agent is tried at the upstream "
          "of a restarted agent")
{
    pass_agent_state state = make_restarted_agent();
    for (std::uint16_t port = 1; port <= 3; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(4), start, out);
    pass_actions returned;
    handle_locate(state, {sample_packet, agent_b, true}, make_request(4, 1),
                  start, returned);
    REQUIRE(returned.datagrams_.size() == 1);
    CHECK(count(returned, pass_target::upstream) == 1);
}

TEST_CASE("a restart of the upstream resets no flow that it may never have had")
{
    // The agent was asked for the owner of the flow while its upstream was
    // down, so that the upstream did not return the segment.
    pass_agent_state state = make_restarted_agent();
    pass_actions out;
    handle_locate(state, {sample_packet, balancer_x, false}, make_request(9, 1),
                  start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    pass_actions restarted;
    apply_report(state, make_report(3000), start + seconds(3), restarted);
    CHECK(count(restarted, pass_target::reset) == 0);
    // The new incarnation can't have it.
    pass_actions denied;
    handle_locate(state, {sample_packet, balancer_x, true}, make_request(9, 1),
                  start + seconds(3), denied);
    const auto* answer = find_message<flow_owner_message>(denied);
    REQUIRE(answer != nullptr);
    CHECK_FALSE(answer->undecided_);
}

TEST_CASE("an agent does not forward an opening segment to itself")
{
    // A restarted agent without a report got a retransmission that listed it
    // among the candidates. It forwarded the segment to itself without end.
    pass_agent_settings settings;
    settings.host_ = agent_a;
    pass_agent_state state = new_pass_agent(settings, start);
    pass_actions out;
    handle_place(state, make_place({agent_a, agent_b}), make_opening(1), start,
                 out);
    REQUIRE(out.datagrams_.size() == 1);
    CHECK(out.datagrams_[0].host_ == agent_b);
    pass_actions alone;
    handle_place(state, make_place({agent_a}), make_opening(2), start, alone);
    CHECK(count(alone, pass_target::peer) == 0);
}

TEST_CASE("two agents do not forward a retransmission to each other for ever")
{
    // Each has forwarded a transmission of the segment to the other.
    std::array<pass_agent_state, 2> agents;
    pass_actions out;
    for (std::size_t i = 0; i < agents.size(); ++i)
    {
        pass_agent_settings settings;
        settings.host_ = i == 0 ? agent_a : agent_b;
        agents.at(i) = new_pass_agent(settings, start);
        handle_place(agents.at(i), make_place({i == 0 ? agent_b : agent_a}),
                     make_opening(1), start, out);
    }
    place_message message = make_place();
    unsigned forwards = 0;
    for (std::size_t i = 0; forwards < 100; i = 1 - i)
    {
        pass_actions step;
        handle_place(agents.at(i), message, make_opening(1), start, step);
        const auto* next = find_message<place_message>(step);
        if (next == nullptr)
        {
            break;
        }
        message = *next;
        ++forwards;
    }
    CHECK(forwards < 20);
}

TEST_CASE("a flow whose opening segment was answered late stays")
{
    // Seen without a case in the review: a service with one upstream that
    // answered after more than the opening timeout. The agent kept the flow as
    // ended, forgot it after 3 s without a segment, and denied it.
    for (const duration late : {milliseconds(90), milliseconds(170)})
    {
        for (const duration pause : {seconds(2), seconds(7), seconds(40)})
        {
            pass_agent_state state = make_agent();
            pass_actions out;
            handle_place(state, make_place(), make_opening(1), start, out);
            handle_tick(state, start + milliseconds(85), out);
            handle_upstream_segment(state, make_opening_answer(1, 9000),
                                    sample_bytes(), start + late, out);
            handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                                  balancer_x, start + late, out);
            handle_tick(state, start + late + pause, out);
            pass_actions again;
            handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                                  balancer_x, start + late + pause, again);
            CHECK(count(again, pass_target::upstream) == 1);
            CHECK(find_message<locate_message>(again) == nullptr);
        }
    }
}

TEST_CASE(
    "a flow whose late answer the caller accepts is not at the next agent")
{
    // The opening segment went on to another agent, whose upstream answered as
    // well. The caller accepted the first answer.
    for (const bool searched : {false, true})
    {
        pass_agent_state state = make_agent();
        pass_actions out;
        handle_place(state, make_place({agent_b}), make_opening(1), start, out);
        handle_tick(state, start + milliseconds(85), out);
        REQUIRE(state.flows_.at(make_flow(1)).phase_ == pass_phase::moved);
        handle_upstream_segment(state, make_opening_answer(1, 9000),
                                sample_bytes(), start + milliseconds(90), out);
        pass_actions accepted;
        if (searched)
        {
            handle_locate(state, {sample_packet, balancer_x, true},
                          make_request(1, 9000), start + milliseconds(95),
                          accepted);
            const auto* owner = find_message<flow_owner_message>(accepted);
            REQUIRE(owner != nullptr);
            CHECK(owner->owner_ == agent_a);
        }
        else
        {
            handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                                  balancer_x, start + milliseconds(95),
                                  accepted);
        }
        CHECK(count(accepted, pass_target::upstream) == 1);
        CHECK(count(accepted, pass_target::agent) == 0);
    }
    // Another upstream's answer was accepted.
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    handle_tick(state, start + milliseconds(85), out);
    handle_upstream_segment(state, make_opening_answer(1, 9000), sample_bytes(),
                            start + milliseconds(90), out);
    pass_actions forwarded;
    handle_caller_segment(state, make_request(1, 0x90000000), sample_bytes(),
                          balancer_x, start + milliseconds(95), forwarded);
    CHECK(count(forwarded, pass_target::agent) == 1);
    CHECK(count(forwarded, pass_target::upstream) == 0);
}

TEST_CASE("a relay asks its group and responds once for all")
{
    pass_agent_state state = make_agent();
    state.saw_upstream_start_ = true;
    pass_actions out;
    handle_locate(state, {sample_packet, balancer_x, true, {agent_b, agent_c}},
                  make_request(9, 77), start, out);
    REQUIRE(out.datagrams_.size() == 2);
    const auto* question = find_message<locate_message>(out);
    CHECK(question->group_.empty());
    CHECK(question->relay_ == agent_a);
    CHECK(question->sender_ == balancer_x);

    pass_actions responses;
    handle_flow_owner(state, {make_flow(9), host_address(), false, agent_b},
                      responses);
    CHECK(responses.datagrams_.empty());
    SUBCASE("all have responded")
    {
        handle_flow_owner(state,
                          {make_flow(9), host_address(), false, agent_c, true},
                          responses);
    }
    SUBCASE("a member does not respond")
    {
        handle_tick(state, start + milliseconds(100), responses);
    }
    REQUIRE(responses.datagrams_.size() == 1);
    CHECK(responses.datagrams_[0].host_ == balancer_x);
    const auto* result = find_message<search_result_message>(responses);
    CHECK(result->denied_ == std::vector{agent_a, agent_b});
    CHECK(result->undecided_.size() <= 1);
    handle_tick(state, start + seconds(2), responses);
    CHECK(state.relayed_searches_.empty());
}

TEST_CASE("a relay forwards a response that arrives after its summary")
{
    // After a loss of power agents answered late. Their responses were lost,
    // and each further round cost as many messages again.
    pass_agent_state state = make_agent();
    state.saw_upstream_start_ = true;
    pass_actions out;
    handle_locate(state, {sample_packet, balancer_x, true, {agent_b, agent_c}},
                  make_request(9, 77), start, out);
    handle_tick(state, start + milliseconds(100), out);
    pass_actions late;
    handle_flow_owner(state, {make_flow(9), host_address(), false, agent_b},
                      late);
    REQUIRE(late.datagrams_.size() == 1);
    CHECK(late.datagrams_[0].host_ == balancer_x);
    CHECK(find_message<flow_owner_message>(late)->sender_ == agent_b);
}

TEST_CASE("a member of a group denies to the relay and owns to the balancer")
{
    pass_agent_state state = make_agent();
    state.saw_upstream_start_ = false;
    pass_actions undecided;
    const locate_message question{sample_packet, balancer_x, true, {}, agent_b};
    handle_locate(state, question, make_request(9, 77), start, undecided);
    REQUIRE(undecided.datagrams_.size() == 1);
    CHECK(undecided.datagrams_[0].host_ == agent_b);

    locate_message second = question;
    second.tentative_ = false;
    pass_actions asked;
    handle_locate(state, second, make_request(9, 77), start, asked);
    CHECK(count(asked, pass_target::upstream) == 1);
    CHECK(find_message<flow_owner_message>(asked) == nullptr);

    SUBCASE("the upstream returns the segment")
    {
        segment_header returned = make_request(9, 77);
        returned.bounced_ = true;
        pass_actions out;
        handle_upstream_segment(state, returned, sample_bytes(), start, out);
        REQUIRE(out.datagrams_.size() == 1);
        CHECK(out.datagrams_[0].host_ == agent_b);
    }
    SUBCASE("the upstream answers")
    {
        segment_header answer = make_request(9, 77);
        answer.sequence_ = 77;
        pass_actions out;
        handle_upstream_segment(state, answer, sample_bytes(), start, out);
        std::vector<host_address> told;
        for (const pass_datagram& d : out.datagrams_)
        {
            if (d.target_ == pass_target::peer)
            {
                told.push_back(d.host_);
            }
        }
        CHECK(told == std::vector{balancer_x, agent_b});
    }
}

TEST_CASE("an adopted flow without an answer takes no slot")
{
    // slf-vestland-grown trouble-3: after a restart of all agents each owner
    // search left flows at agents whose upstreams only acknowledged the
    // segment. They took all slots for a minute, and new flows were refused.
    pass_agent_state state = make_agent();
    state.saw_upstream_start_ = false;
    pass_actions out;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        handle_locate(state, {sample_packet, balancer_x, false},
                      make_request(port, 77), start, out);
        segment_header acknowledgement = make_request(port, 77);
        acknowledgement.sequence_ = 77;
        acknowledgement.data_bytes_ = 0;
        handle_upstream_segment(state, acknowledgement, sample_bytes(), start,
                                out);
    }
    CHECK(state.in_flight_ == 0);
    // A retransmission is no request either, the next data is one.
    handle_caller_segment(state, make_request(1, 77), sample_bytes(),
                          balancer_x, start, out);
    CHECK(state.in_flight_ == 0);
    segment_header next = make_request(1, 77);
    next.sequence_ += 100;
    handle_caller_segment(state, next, sample_bytes(), balancer_x, start, out);
    CHECK(state.in_flight_ == 1);
}
