#include "samples.h"

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

// With the default bounds, 20 requests a second allow 35 opening segments.
constexpr double rate = 20;
constexpr std::size_t max_openings = 35;

// Returns the largest number of `times`, which are sorted, within one second.
std::size_t most_in_a_second(const std::vector<instant>& times)
{
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t i = 0; i < times.size(); ++i)
    {
        while (times[i] - times[first] > seconds(1))
        {
            ++first;
        }
        most = std::max(most, i - first + 1);
    }
    return most;
}

place_message make_limited_place(std::vector<host_address> candidates = {})
{
    place_message m = make_place(std::move(candidates));
    m.cold_rate_ = rate;
    return m;
}

// Returns an agent whose upstream has just started and is cold for two seconds.
pass_agent_state make_cold_agent()
{
    pass_agent_state state = make_agent();
    upstream_report report = make_report(2000, 1);
    report.cold_remaining_ = seconds(2);
    pass_actions out;
    apply_report(state, report, start, out);
    state.saw_upstream_start_ = true;
    return state;
}

// Uses up the limit of the last window before `now`.
void exhaust_limit(pass_agent_state& state, instant now)
{
    apply_cold_rate(state.cold_limit_, rate, pass_rules_version(7));
    for (std::size_t i = 0; i < max_openings; ++i)
    {
        note_opening_sent(state.cold_limit_, state.settings_.cold_limit_, now);
    }
}

// Opens a flow whose request ends at once, so that its slot is free again.
// Returns the number of opening segments that the upstream got.
std::size_t run_flow(pass_agent_state& state, std::uint16_t port, instant now)
{
    pass_actions placed;
    handle_place(state, make_limited_place({agent_b}), make_opening(port), now,
                 placed);
    const std::size_t offered = count(placed, pass_target::upstream);
    if (offered > 0)
    {
        pass_actions out;
        handle_upstream_segment(state, make_opening_answer(port, 9000),
                                sample_bytes(), now, out);
        handle_caller_segment(state, make_request(port, 9000), sample_bytes(),
                              balancer_x, now, out);
        handle_upstream_segment(state, make_answer(port), sample_bytes(), now,
                                out);
    }
    return offered;
}

} // namespace

// Guards against more openings within a sliding second than the limit allows,
// and against a limit that is not used.
TEST_CASE("the limit holds in each sliding second")
{
    cold_limit limit;
    const cold_limit_settings settings;
    apply_cold_rate(limit, rate, pass_rules_version(1));
    std::minstd_rand random(1);
    std::vector<instant> sent;
    instant now = start;
    while (now < start + seconds(20))
    {
        now += std::chrono::microseconds(random() % 40000);
        for (std::size_t i = random() % 8; i > 0; --i)
        {
            if (cold_limit_wait(limit, settings, 1, now) == duration(0))
            {
                note_opening_sent(limit, settings, now);
                sent.push_back(now);
            }
        }
    }
    CHECK(most_in_a_second(sent) == max_openings);
    CHECK(sent.size() > 19 * max_openings * 9 / 10);
    CHECK(limit.sent_.size() <= max_openings);
}

// Guards against openings that are queued although they can't be sent in time.
TEST_CASE("the wait for an opening ends when earlier ones leave the window")
{
    cold_limit limit;
    cold_limit_settings settings;
    CHECK(cold_limit_wait(limit, settings, 1000, start) == duration(0));
    settings.overage_ = 1;
    settings.slack_ = 0;
    apply_cold_rate(limit, 2, pass_rules_version(1));
    note_opening_sent(limit, settings, start);
    CHECK(cold_limit_wait(limit, settings, 1, start) == duration(0));
    note_opening_sent(limit, settings, start + milliseconds(100));
    const instant now = start + milliseconds(200);
    CHECK(cold_limit_wait(limit, settings, 1, now) == milliseconds(850));
    CHECK(cold_limit_wait(limit, settings, 2, now) == milliseconds(950));
    CHECK(cold_limit_wait(limit, settings, 3, now) > milliseconds(950));
    CHECK(cold_limit_wait(limit, settings, 1, start + milliseconds(1050)) ==
          duration(0));
    apply_cold_rate(limit, 0.4, pass_rules_version(2));
    CHECK(cold_limit_wait(limit, settings, 1, now) == duration::max());
}

// Guards against a limit that a late message of older rules changes, or that
// is lost while balancers of an earlier version are running.
TEST_CASE("the rate of the newest rules applies")
{
    cold_limit limit;
    apply_cold_rate(limit, 20, pass_rules_version(7));
    apply_cold_rate(limit, 30, pass_rules_version(6));
    CHECK(limit.rate_ == 20);
    apply_cold_rate(limit, 0, pass_rules_version(7));
    CHECK(limit.rate_ == 20);
    apply_cold_rate(limit, 0, pass_rules_version(8));
    CHECK(limit.rate_ == 0);
    apply_cold_rate(limit, 10, pass_rules_version(8));
    CHECK(limit.rate_ == 10);
}

// Guards against flows whose service gets no limit.
TEST_CASE("balancers send the limit of the service with opening segments")
{
    for (const service_name& limited : {orders, photos})
    {
        pass_balancer_state state = make_balancer();
        auto rules = std::make_shared<pass_rules>(*make_rules(4));
        rules->cold_rates_[limited] = rate;
        update_rules(state, rules);
        pass_actions out;
        handle_caller_segment(state, make_opening(1), sample_bytes(), start,
                              out);
        const auto* place = find_message<place_message>(out);
        REQUIRE(place != nullptr);
        CHECK(place->cold_rate_ == (limited == orders ? rate : 0));
    }
}

// Load pattern: an upstream starts while its service is busy. All balancers
// choose it because it is idle, and its requests are so short that the limit on
// requests in flight is never reached. Guards against a flood of openings.
TEST_CASE("a cold upstream gets no more openings than its limit")
{
    pass_agent_state state = make_cold_agent();
    std::vector<instant> sent;
    std::uint16_t port = 1;
    for (instant now = start; now < start + seconds(2); now += milliseconds(1))
    {
        const std::uint16_t next = port++;
        sent.insert(sent.end(), run_flow(state, next, now), now);
        if (next > 200)
        {
            // A retransmission of an earlier opening counts too.
            pass_actions again;
            handle_place(state, make_limited_place({agent_b}),
                         make_opening(next - 200), now, again);
            sent.insert(sent.end(), count(again, pass_target::upstream), now);
        }
        pass_actions tick;
        handle_tick(state, now, tick);
        sent.insert(sent.end(), count(tick, pass_target::upstream), now);
    }
    CHECK(most_in_a_second(sent) <= max_openings);
    // The limit of both windows is used.
    CHECK(sent.size() == 2 * max_openings);

    // The upstream is warm now.
    std::size_t warm = 0;
    for (int i = 0; i < 100; ++i)
    {
        warm += run_flow(state, port++, start + milliseconds(2001));
    }
    CHECK(warm == 100);
}

// Guards against excess openings that are neither passed on nor decided.
TEST_CASE("excess openings are passed on, queued if in time, or refused")
{
    pass_agent_state state = make_cold_agent();
    exhaust_limit(state, start);
    pass_actions passed_on;
    handle_place(state, make_limited_place({agent_b}), make_opening(1), start,
                 passed_on);
    const auto* place = find_message<place_message>(passed_on);
    REQUIRE(place != nullptr);
    CHECK(place->cold_rate_ == rate);
    CHECK(count(passed_on, pass_target::upstream) == 0);
    // The wait of one second counts as a backlog that is longer than those of
    // agents with a few queued segments.
    REQUIRE(place->visits_.size() == 1);
    CHECK(place->visits_[0].backlog_ > 20);

    pass_actions refused;
    handle_place(state, make_limited_place(), make_opening(2), start, refused);
    CHECK(count(refused, pass_target::reset) == 1);
    CHECK(count(refused, pass_target::upstream) == 0);

    // The agent was not paused in the meantime.
    const instant late = start + milliseconds(1000);
    pass_actions queued;
    handle_tick(state, start + milliseconds(400), queued);
    handle_tick(state, start + milliseconds(800), queued);
    handle_place(state, make_limited_place(), make_opening(3), late, queued);
    CHECK(state.queue_.size() == 1);
    handle_tick(state, late + milliseconds(49), queued);
    CHECK(count(queued, pass_target::upstream) == 0);
    handle_tick(state, late + milliseconds(50), queued);
    CHECK(count(queued, pass_target::upstream) == 1);
    CHECK(count(queued, pass_target::reset) == 0);
}

// Guards against a retransmission beyond the limit, and against a reset of the
// flow that may be open here.
TEST_CASE("an excess retransmission goes to another agent")
{
    pass_agent_state state = make_cold_agent();
    pass_actions out;
    handle_place(state, make_limited_place({agent_b}), make_opening(1), start,
                 out);
    REQUIRE(count(out, pass_target::upstream) == 1);
    exhaust_limit(state, start);
    pass_actions again;
    handle_place(state, make_limited_place({agent_b}), make_opening(1),
                 start + milliseconds(20), again);
    CHECK(count(again, pass_target::upstream) == 0);
    CHECK(count(again, pass_target::reset) == 0);
    REQUIRE(find_message<place_message>(again) != nullptr);
    CHECK(find_message<place_message>(again)->earlier_agent_ == agent_a);
}

// Load pattern: an agent restarts beside a cold upstream, which has got opening
// segments from the earlier agent. Guards against twice the limit.
TEST_CASE("an agent that did not see the start begins with an exhausted limit")
{
    pass_agent_state state = make_cold_agent();
    state.saw_upstream_start_ = false;
    CHECK(run_flow(state, 1, start + milliseconds(1049)) == 0);
    CHECK(run_flow(state, 2, start + milliseconds(1050)) == 1);

    // Without a limit, or beside a warm upstream, nothing changes.
    pass_agent_state unlimited = make_cold_agent();
    unlimited.saw_upstream_start_ = false;
    pass_actions out;
    handle_place(unlimited, make_place(), make_opening(1), start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    pass_agent_state warm = make_restarted_agent();
    CHECK(run_flow(warm, 1, start) == 1);
}

// Guards against a limit of another service.
TEST_CASE("an agent ignores limits of other services")
{
    pass_agent_state state = make_cold_agent();
    place_message other = make_limited_place({agent_b});
    other.service_ = photos;
    pass_actions out;
    handle_place(state, other, make_opening(1), start, out);
    CHECK(state.cold_limit_.rate_ == 0);
}
