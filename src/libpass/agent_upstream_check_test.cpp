#include "samples.h"

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Returns an agent whose upstream's address has accepted a connection, so that
/// a refused one is a proof.
pass_agent_state make_checked_agent()
{
    pass_agent_state state = make_agent();
    REQUIRE(request_upstream_check(state, start).has_value());
    pass_actions out;
    apply_upstream_check(state, upstream_presence::present, start, start, out);
    REQUIRE(out.datagrams_.empty());
    return state;
}

/// Returns a report of an upstream that was started again after `since_start`.
upstream_report make_restart_report(milliseconds since_start)
{
    upstream_report report =
        make_report(1000 + static_cast<std::uint64_t>(since_start.count()));
    report.instance_ = instance_id("i-2");
    return report;
}

segment_header make_data(std::uint16_t port, std::uint32_t sequence)
{
    segment_header s = make_request(port, 9000);
    s.sequence_ = sequence;
    return s;
}

pass_phase phase_of(const pass_agent_state& state, std::uint16_t port)
{
    return state.flows_.at(make_flow(port)).phase_;
}

std::size_t count_decisions(const pass_actions& out, const std::string& event)
{
    return static_cast<std::size_t>(
        std::count_if(out.decisions_.begin(), out.decisions_.end(),
                      [&](const pass_decision& decision)
                      { return event == decision.event_; }));
}

} // namespace

TEST_CASE("flows of a crashed upstream get their resets with the first check")
{
    // Without the check their callers wait until their deadline: the next
    // report comes seconds later or never.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    open_flow(state, 2, start + milliseconds(10));
    // The last check was at the start.
    CHECK_FALSE(needs_upstream_check(state, start + milliseconds(499)));
    const instant due = start + milliseconds(500);
    const auto request = request_upstream_check(state, due);
    REQUIRE(request.has_value());
    CHECK(request->reason_ == upstream_check_reason::unanswered);
    CHECK(request->age_ == milliseconds(490));

    pass_actions out;
    apply_upstream_check(state, upstream_presence::absent, due,
                         due + milliseconds(1), out);
    CHECK(count(out, pass_target::reset) == 2);
    CHECK(count_decisions(out, "upstream_absent") == 1);
    CHECK(out.datagrams_[0].sequence_ == 9001);
    CHECK(phase_of(state, 1) == pass_phase::ended);
    CHECK(state.in_flight_ == 0);
    CHECK(is_idle(state, due + milliseconds(1)));
}

TEST_CASE("an absent upstream gets no new flows until its next report")
{
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    const instant now = start + milliseconds(401);
    pass_actions out;
    note_upstream_absent(state, start + milliseconds(400), now, out);
    CHECK(state.status_changed_);
    CHECK_FALSE(status_of(state, now).accepting_);
    // It has not deregistered: its instance may start it again.
    CHECK(status_of(state, now).state_ == upstream_state::ready);

    pass_actions placed;
    handle_place(state, make_place({agent_b}), make_opening(2), now, placed);
    CHECK(count(placed, pass_target::upstream) == 0);
    CHECK(find_message<place_message>(placed) != nullptr);
    // A segment that the upstream sent before its end and that is read late is
    // no sign of life.
    pass_actions late;
    handle_upstream_segment(state, make_answer(1), sample_bytes(), now, late);
    CHECK_FALSE(accepts_new_flows(state, now));

    pass_actions reported;
    const instant later = start + milliseconds(900);
    apply_report(state, make_restart_report(milliseconds(800)), later,
                 reported);
    CHECK(accepts_new_flows(state, later));
    CHECK(count(reported, pass_target::reset) == 0);
}

TEST_CASE("a check is needed after 150 ms without an answer, at most twice per "
          "second")
{
    pass_agent_state state = make_checked_agent();
    const instant sent_at = start + seconds(1);
    open_flow(state, 1, sent_at);
    CHECK_FALSE(needs_upstream_check(state, sent_at + milliseconds(149)));
    CHECK(needs_upstream_check(state, sent_at + milliseconds(150)));
    std::size_t checks = 0;
    for (milliseconds at{0}; at < seconds(2); at += milliseconds(10))
    {
        checks += request_upstream_check(state, sent_at + at).has_value();
    }
    CHECK(checks == 4);
    // A caller that still waits would have retransmitted its request.
    CHECK_FALSE(needs_upstream_check(state, sent_at + seconds(30)));
    pass_actions out;
    handle_caller_segment(state, make_data(1, 501), sample_bytes(), balancer_x,
                          sent_at + seconds(30), out);
    CHECK(needs_upstream_check(state, sent_at + seconds(30)));
    // Any segment of the upstream shows that it runs.
    handle_upstream_segment(state, make_answer(1), sample_bytes(),
                            sent_at + seconds(30), out);
    CHECK_FALSE(needs_upstream_check(state, sent_at + seconds(31)));
}

TEST_CASE("an unanswered opening segment calls for a check")
{
    pass_agent_state state = make_checked_agent();
    const instant sent_at = start + seconds(1);
    pass_actions out;
    handle_place(state, make_place(), make_opening(1), sent_at, out);
    CHECK(needs_upstream_check(state, sent_at + milliseconds(150)));
}

TEST_CASE("a retransmitted opening segment calls for a check")
{
    pass_agent_state state = make_checked_agent();
    const instant sent_at = start + milliseconds(400);
    open_flow(state, 1, start);
    pass_actions out;
    handle_upstream_segment(state, make_answer(1), sample_bytes(), sent_at,
                            out);
    handle_place(state, make_place(), make_opening(1), sent_at, out);
    REQUIRE(count(out, pass_target::upstream) == 1);
    CHECK(needs_upstream_check(state, sent_at + milliseconds(150)));
}

TEST_CASE("segments that need no answer call for no check")
{
    // Callers acknowledge every answer; an idle upstream would be checked twice
    // per second.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_upstream_segment(state, make_answer(1), sample_bytes(),
                            start + milliseconds(30), out);
    segment_header acknowledgement = make_data(1, 601);
    acknowledgement.data_bytes_ = 0;
    handle_caller_segment(state, acknowledgement, sample_bytes(), balancer_x,
                          start + milliseconds(31), out);
    CHECK_FALSE(needs_upstream_check(state, start + seconds(1)));
}

TEST_CASE("no check is needed before the first report")
{
    // Until then the agent has no flow and no entry in the store.
    pass_agent_settings settings;
    settings.host_ = agent_a;
    pass_agent_state state = new_pass_agent(settings, start);
    pass_actions out;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    CHECK_FALSE(needs_upstream_check(state, start + seconds(1)));
    apply_report(state, make_report(), start + seconds(1), out);
    CHECK(needs_upstream_check(state, start + seconds(1)));
}

TEST_CASE("a slow upstream that accepts connections keeps its flows")
{
    // A request may take seconds, and an overloaded upstream may not even
    // accept the check's connection in time.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    open_flow(state, 2, start);
    pass_actions out;
    for (milliseconds at{0}; at < seconds(6); at += milliseconds(50))
    {
        const instant now = start + at;
        if (at.count() % 1600 == 0)
        {
            handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                                  balancer_x, now, out);
        }
        if (request_upstream_check(state, now))
        {
            apply_upstream_check(state,
                                 at.count() % 1000 == 0
                                     ? upstream_presence::present
                                     : upstream_presence::unknown,
                                 now, now + milliseconds(5), out);
        }
        handle_tick(state, now, out);
    }
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(phase_of(state, 1) == pass_phase::open);
    CHECK(phase_of(state, 2) == pass_phase::open);
}

TEST_CASE("an upstream that restarts during the check keeps its new flows")
{
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    open_flow(state, 2, start);
    pass_actions out;
    handle_place(state, make_place(), make_opening(4), start, out);
    REQUIRE(phase_of(state, 4) == pass_phase::opening);
    const instant checked_at = start + milliseconds(500);
    // The new incarnation gets a retransmitted opening segment, answers on
    // another flow and opens one before the result of the check arrives.
    handle_place(state, make_place(), make_opening(4), checked_at, out);
    handle_upstream_segment(state, make_answer(2), sample_bytes(),
                            checked_at + milliseconds(20), out);
    open_flow(state, 3, checked_at + milliseconds(20));
    apply_upstream_check(state, upstream_presence::absent, checked_at,
                         checked_at + milliseconds(50), out);
    CHECK(count(out, pass_target::reset) == 1);
    CHECK(phase_of(state, 1) == pass_phase::ended);
    CHECK(phase_of(state, 2) == pass_phase::open);
    CHECK(phase_of(state, 3) == pass_phase::open);
    CHECK(phase_of(state, 4) == pass_phase::opening);
    // The report of the new incarnation changes nothing about them.
    pass_actions reported;
    handle_upstream_segment(state, make_opening_answer(4, 7000), sample_bytes(),
                            checked_at + milliseconds(51), reported);
    apply_report(state, make_restart_report(milliseconds(505)),
                 checked_at + milliseconds(60), reported);
    CHECK(count(reported, pass_target::reset) == 0);
    CHECK(phase_of(state, 3) == pass_phase::open);
}

TEST_CASE(
    "data that a caller sent after the check began does not keep its flow")
{
    // Callers retransmit after 200 ms, when the first check runs. An upstream
    // that has started since does not have their flows.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    const instant checked_at = start + milliseconds(500);
    pass_actions out;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, checked_at + milliseconds(1), out);
    note_upstream_absent(state, checked_at, checked_at + milliseconds(2), out);
    CHECK(count(out, pass_target::reset) == 1);
    CHECK(phase_of(state, 1) == pass_phase::ended);
    // The data counts as unanswered, by whatever upstream runs then.
    CHECK_FALSE(needs_upstream_check(state, checked_at + milliseconds(149)));
    REQUIRE(request_upstream_check(state, checked_at + milliseconds(500)));
    note_upstream_absent(state, checked_at + milliseconds(500),
                         checked_at + milliseconds(501), out);
    CHECK(count(out, pass_target::reset) == 1);
    CHECK(count_decisions(out, "upstream_absent") == 1);
    // Nothing is unanswered any more, so the checks end.
    CHECK_FALSE(needs_upstream_check(state, checked_at + milliseconds(1100)));
}

TEST_CASE("opening segments at or for a crashed upstream go to other agents")
{
    pass_agent_state state = make_checked_agent();
    pass_actions out;
    for (const std::uint16_t port : {1, 2, 3})
    {
        open_flow(state, port, start);
    }
    // Queued behind three requests for two slots.
    handle_place(state, make_place(), make_opening(4), start, out);
    REQUIRE(phase_of(state, 4) == pass_phase::queued);
    state.flows_.at(make_flow(4)).place_.candidates_ = {agent_b};
    // Offered shortly before the check, when a slot was free.
    const instant checked_at = start + milliseconds(500);
    handle_upstream_segment(state, make_answer(1), sample_bytes(), start, out);
    REQUIRE(phase_of(state, 4) == pass_phase::opening);
    handle_place(state, make_place(), make_opening(5), start, out);
    REQUIRE(phase_of(state, 5) == pass_phase::queued);
    state.flows_.at(make_flow(5)).place_.candidates_ = {agent_c};

    pass_actions absent;
    note_upstream_absent(state, checked_at, checked_at, absent);
    CHECK(count_messages<place_message>(absent) == 2);
    CHECK(phase_of(state, 4) == pass_phase::moved);
    CHECK(phase_of(state, 5) == pass_phase::moved);
    CHECK(state.queue_.empty());
    CHECK(state.in_flight_ == 0);
    CHECK(count(absent, pass_target::reset) == 3);
}

TEST_CASE(
    "a refusal proves nothing if the upstream never accepted a connection")
{
    // Upstreams that receive segments over UDP only refuse every connection.
    // Their flows must not be reset.
    pass_agent_state state = make_agent();
    open_flow(state, 1, start);
    pass_actions out;
    std::size_t checks = 0;
    for (milliseconds at{0}; at < seconds(20); at += milliseconds(50))
    {
        const instant now = start + at;
        if (request_upstream_check(state, now))
        {
            ++checks;
            apply_upstream_check(state, upstream_presence::absent, now, now,
                                 out);
        }
        if (at.count() % 1000 == 0)
        {
            apply_report(
                state,
                make_report(1000, 2 + static_cast<std::uint64_t>(at.count())),
                now, out);
        }
    }
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(phase_of(state, 1) == pass_phase::open);
    CHECK(accepts_new_flows(state, start + seconds(20)));
    CHECK(checks <= 10);
}

TEST_CASE("a refusal proves nothing until the new incarnation has accepted a "
          "connection")
{
    // It may report, and get flows, before it listens.
    pass_agent_state state = make_checked_agent();
    pass_actions out;
    const instant restarted = start + milliseconds(200);
    apply_report(state, make_restart_report(milliseconds(150)), restarted, out);
    open_flow(state, 1, restarted);
    // At most twice per second, also after a restart.
    CHECK_FALSE(needs_upstream_check(state, start + milliseconds(499)));
    const instant checked_at = start + milliseconds(500);
    REQUIRE(request_upstream_check(state, checked_at));
    apply_upstream_check(state, upstream_presence::absent, checked_at,
                         checked_at, out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(phase_of(state, 1) == pass_phase::open);
    CHECK(accepts_new_flows(state, checked_at));
    apply_upstream_check(state, upstream_presence::present,
                         checked_at + seconds(2), checked_at + seconds(2), out);
    apply_upstream_check(state, upstream_presence::absent,
                         checked_at + seconds(3), checked_at + seconds(3), out);
    CHECK(count(out, pass_target::reset) == 1);
}

TEST_CASE("a refusal proves nothing while the upstream is draining")
{
    // It may close its listening socket first and then end its open flows.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    upstream_report draining = make_report(1000, 2);
    draining.state_ = upstream_state::draining;
    pass_actions out;
    apply_report(state, draining, start, out);
    CHECK_FALSE(needs_upstream_check(state, start + seconds(1)));
    begin_shutdown(state, start + seconds(1), out);
    apply_upstream_check(state, upstream_presence::absent, start + seconds(1),
                         start + seconds(1), out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(count_decisions(out, "upstream_check_ignored") == 1);
    CHECK(state.upstream_.state_ == upstream_state::draining);
}

TEST_CASE("a report of an upstream that seemed absent takes the proof back")
{
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    const instant now = start + milliseconds(300);
    pass_actions out;
    note_upstream_absent(state, now, now, out);
    apply_report(state, make_report(1000, 2), now + milliseconds(100), out);
    CHECK(accepts_new_flows(state, now + milliseconds(100)));
    open_flow(state, 2, now + milliseconds(100));
    pass_actions refused;
    apply_upstream_check(state, upstream_presence::absent, now + seconds(1),
                         now + seconds(1), refused);
    CHECK(count(refused, pass_target::reset) == 0);
    CHECK(phase_of(state, 2) == pass_phase::open);
    // An accepted connection restores it.
    apply_upstream_check(state, upstream_presence::present, now + seconds(2),
                         now + seconds(2), refused);
    apply_upstream_check(state, upstream_presence::absent, now + seconds(3),
                         now + seconds(3), refused);
    CHECK(phase_of(state, 2) == pass_phase::ended);
}

TEST_CASE(
    "after an upstream's absence the agent knows all flows of the next one")
{
    // A restarted agent is undecided about flows that it does not know. The
    // search for the owner waits for it.
    pass_agent_state state = make_restarted_agent();
    pass_actions out;
    const instant now = start + seconds(1);
    note_upstream_absent(state, now, now, out);
    const auto denies = [&](instant at)
    {
        pass_actions answer;
        handle_locate(state, {sample_packet, balancer_x, true},
                      make_request(7, 9000), at, answer);
        const auto* owner = find_message<flow_owner_message>(answer);
        REQUIRE(owner != nullptr);
        return owner->owner_ == host_address() && !owner->undecided_;
    };
    CHECK(denies(now));
    // Clocks that are wrong do not change it.
    upstream_report report = make_restart_report(seconds(2));
    report.started_monotonic_ = start - seconds(5);
    apply_report(state, report, start + seconds(3), out);
    CHECK(denies(start + seconds(3)));
}

TEST_CASE("an adopted flow that the upstream never confirmed is not reset")
{
    // It may be open at another upstream.
    pass_agent_state state = make_restarted_agent();
    pass_actions out;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, start, out);
    REQUIRE(phase_of(state, 1) == pass_phase::open);
    note_upstream_absent(state, start + seconds(1), start + seconds(1), out);
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(phase_of(state, 1) == pass_phase::unknown_to_upstream);
}

TEST_CASE("a caller that missed the reset of its flow gets another one")
{
    // A reset can be lost, and the caller ignores one whose sequence number is
    // that of its last acknowledgement if more data has reached it since.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    pass_actions out;
    handle_upstream_segment(state, make_answer(1), sample_bytes(),
                            start + milliseconds(30), out);
    const instant now = start + milliseconds(500);
    note_upstream_absent(state, now, now, out);
    REQUIRE(count(out, pass_target::reset) == 1);
    segment_header request = make_data(1, 601);
    request.ack_number_ = 9401;
    pass_actions repeated;
    handle_caller_segment(state, request, sample_bytes(), balancer_x,
                          now + milliseconds(200), repeated);
    REQUIRE(count(repeated, pass_target::reset) == 1);
    CHECK(repeated.datagrams_[0].sequence_ == 9401);
    CHECK(count(repeated, pass_target::upstream) == 0);
    // A segment of another flow with the same address and port is not reset.
    segment_header other = request;
    other.ack_number_ = 9401 + (1U << 30U);
    pass_actions of_other;
    handle_caller_segment(state, other, sample_bytes(), balancer_x,
                          now + milliseconds(210), of_other);
    CHECK(count(of_other, pass_target::reset) == 0);
    // Once an upstream runs again, it returns segments that it does not know.
    apply_report(state, make_restart_report(milliseconds(600)),
                 now + milliseconds(300), of_other);
    pass_actions restarted;
    handle_caller_segment(state, request, sample_bytes(), balancer_x,
                          now + milliseconds(400), restarted);
    CHECK(count(restarted, pass_target::reset) == 0);
    CHECK(count(restarted, pass_target::upstream) == 1);
}

TEST_CASE("an agent that ends after its upstream crashed says that it is gone")
{
    // Otherwise its entry stays in the store, and balancers wait for its answer
    // in every search.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    pass_actions out;
    const instant now = start + milliseconds(300);
    begin_shutdown(state, now, out);
    state.status_changed_ = false;
    apply_upstream_check(state, upstream_presence::absent, now,
                         now + milliseconds(1), out);
    CHECK(count(out, pass_target::reset) == 1);
    CHECK(state.status_changed_);
    CHECK(status_of(state, now).state_ == upstream_state::gone);
    CHECK(is_idle(state, now + milliseconds(1)));
}

TEST_CASE(
    "an agent that ends beside a running upstream does not say that it is "
    "gone")
{
    // Its successor adopts the open flows.
    pass_agent_state state = make_checked_agent();
    open_flow(state, 1, start);
    pass_actions out;
    const instant now = start + milliseconds(300);
    begin_shutdown(state, now, out);
    for (const upstream_presence presence :
         {upstream_presence::present, upstream_presence::unknown})
    {
        apply_upstream_check(state, presence, now, now + milliseconds(1), out);
    }
    CHECK(count(out, pass_target::reset) == 0);
    CHECK(status_of(state, now).state_ == upstream_state::ready);
    CHECK_FALSE(is_idle(state, now + milliseconds(1)));
}

TEST_CASE("an agent without a report denies flows once no upstream listens")
{
    // slf-vestland-grown trouble-1: upstreams that were draining at a loss of
    // power did not come back. Their agents stayed undecided, which kept every
    // search from its end.
    pass_agent_settings settings;
    settings.host_ = agent_a;
    const auto is_undecided = [](pass_agent_state& state, instant now)
    {
        pass_actions out;
        handle_locate(state, {sample_packet, balancer_x, true},
                      make_request(9, 77), now, out);
        const auto* response = find_message<flow_owner_message>(out);
        REQUIRE(response != nullptr);
        return response->undecided_;
    };
    SUBCASE("after two refusals")
    {
        settings.upstream_accepts_connections_ = true;
        pass_agent_state state = new_pass_agent(settings, start);
        pass_actions out;
        REQUIRE(request_upstream_check(state, start).has_value());
        apply_upstream_check(state, upstream_presence::absent, start, start,
                             out);
        // An upstream that has just started may not listen yet.
        CHECK(is_undecided(state, start));
        const instant second = start + milliseconds(150);
        REQUIRE(request_upstream_check(state, second).has_value());
        apply_upstream_check(state, upstream_presence::absent, second, second,
                             out);
        CHECK_FALSE(is_undecided(state, second));
        CHECK(status_of(state, second).ended_);
        CHECK_FALSE(needs_upstream_check(state, second + seconds(2)));

        // An upstream that starts later has only flows that pass this agent.
        apply_report(state, make_restart_report(seconds(3)), start + seconds(3),
                     out);
        CHECK(accepts_new_flows(state, start + seconds(3)));
        CHECK_FALSE(status_of(state, start + seconds(3)).ended_);
        CHECK_FALSE(is_undecided(state, start + seconds(3)));
    }
    SUBCASE("not if the upstream listens")
    {
        settings.upstream_accepts_connections_ = true;
        pass_agent_state state = new_pass_agent(settings, start);
        pass_actions out;
        for (const auto presence :
             {upstream_presence::absent, upstream_presence::present,
              upstream_presence::absent})
        {
            apply_upstream_check(state, presence, start, start, out);
        }
        CHECK(is_undecided(state, start));
    }
    SUBCASE("not where upstreams may accept no connections")
    {
        pass_agent_state state = new_pass_agent(settings, start);
        pass_actions out;
        CHECK_FALSE(needs_upstream_check(state, start + seconds(1)));
        for (int i = 0; i < 3; ++i)
        {
            apply_upstream_check(state, upstream_presence::absent, start, start,
                                 out);
        }
        CHECK(is_undecided(state, start));
    }
}

TEST_CASE("an agent that ends without a report says that its upstream is gone")
{
    // The entry of its predecessor stayed in the store, and searches waited for
    // an instance that did not exist any more.
    pass_agent_settings settings;
    settings.host_ = agent_a;
    settings.upstream_accepts_connections_ = true;
    pass_agent_state state = new_pass_agent(settings, start);
    pass_actions out;
    begin_shutdown(state, start, out);
    apply_upstream_check(state, upstream_presence::absent, start, start, out);
    CHECK(state.upstream_.state_ == upstream_state::gone);
    CHECK(status_of(state, start).ended_);
}
