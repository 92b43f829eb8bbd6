#include "samples.h"

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

hedge_settings make_settings(std::uint32_t percent)
{
    hedge_settings settings;
    settings.percent_ = percent;
    return settings;
}

// Returns a balancer with hedging whose check for due openings has just run.
pass_balancer_state make_hedging_balancer(std::uint32_t percent = 100)
{
    pass_balancer_state state = make_balancer();
    state.settings_.hedging_ = make_settings(percent);
    state.hedging_.checked_at_ = start;
    return state;
}

// Calls the tick every 10 ms until `end`, and returns the actions of all calls.
pass_actions tick_until(pass_balancer_state& state, instant from, instant end)
{
    pass_actions all;
    for (instant now = from; now <= end; now += hedge_tick_interval)
    {
        pass_actions out;
        handle_hedge_tick(state, now, out);
        all.datagrams_.insert(all.datagrams_.end(), out.datagrams_.begin(),
                              out.datagrams_.end());
        all.decisions_.insert(all.decisions_.end(), out.decisions_.begin(),
                              out.decisions_.end());
    }
    return all;
}

// Places the opening segment of the flow `port` and returns the agent.
host_address place(pass_balancer_state& state, std::uint16_t port, instant now)
{
    pass_actions out;
    handle_caller_segment(state, make_opening(port), sample_bytes(), now, out);
    REQUIRE(count_messages<place_message>(out) == 1);
    return out.datagrams_.front().host_;
}

// A flow that was placed at `first_` and hedged at `second_`, with a caller
// that has not continued 52 ms after the placement.
struct hedged_flow
{
    pass_balancer_state state_;
    host_address first_;
    host_address second_;
    place_message hedge_;
};

// Returns such a flow. `offered` tells whether the second agent has offered the
// hedge to its upstream.
hedged_flow make_hedged_flow(bool offered = true)
{
    hedged_flow result{make_hedging_balancer(), {}, {}, {}};
    result.first_ = place(result.state_, 1, start);
    const pass_actions out =
        tick_until(result.state_, start, start + milliseconds(50));
    const place_message* hedge = find_message<place_message>(out);
    REQUIRE(hedge != nullptr);
    result.second_ = out.datagrams_.front().host_;
    result.hedge_ = *hedge;
    if (offered)
    {
        flow_owner_message report{make_flow(1), result.second_, false};
        report.hedged_ = true;
        pass_actions ignored;
        note_owner_report(result.state_, report);
        handle_flow_owner(result.state_, report, start + milliseconds(52),
                          ignored);
    }
    return result;
}

// Returns the only agent that `out` sends a segment to, or zero.
host_address segment_receiver(const pass_actions& out)
{
    return out.datagrams_.size() == 1 &&
                   out.datagrams_[0].target_ == pass_target::agent
               ? out.datagrams_[0].host_
               : host_address();
}

place_message make_hedge(std::vector<host_address> candidates = {})
{
    place_message m = make_place(std::move(candidates));
    m.hedged_ = true;
    m.hedgeable_ = true;
    m.earlier_agent_ = agent_c;
    return m;
}

} // namespace

TEST_CASE("the budget allows the given percentage of hedges from the start")
{
    // Guards against a budget that starts full or does not lose tokens: the
    // limit would then be exceeded.
    const hedge_settings settings = make_settings(5);
    hedge_budget budget;
    std::size_t hedges = 0;
    for (std::size_t openings = 1; openings <= 1000; ++openings)
    {
        add_opening(budget, settings);
        if (covers_hedge(budget))
        {
            take_hedge(budget);
            ++hedges;
        }
        REQUIRE(hedges * 100 <= openings * 5);
    }
    CHECK(hedges == 50);
}

TEST_CASE("unused hedges accumulate up to the burst only")
{
    // After a long time without hedges an incident must not get hundreds of
    // them at once.
    const hedge_settings settings = make_settings(100);
    hedge_budget budget;
    for (int i = 0; i < 1000; ++i)
    {
        add_opening(budget, settings);
    }
    std::size_t hedges = 0;
    for (; covers_hedge(budget); ++hedges)
    {
        take_hedge(budget);
    }
    CHECK(hedges == 10);
}

TEST_CASE("the hedge delay is the 95th percentile within its bounds")
{
    const hedge_settings settings = make_settings(5);
    delay_samples samples;
    const auto add = [&](int count, duration value)
    {
        for (int i = 0; i < count; ++i)
        {
            add_sample(samples, value);
        }
    };
    add(99, milliseconds(3));
    CHECK(hedge_delay(samples, settings) == settings.initial_delay_);
    add(1, milliseconds(3));
    CHECK(hedge_delay(samples, settings) == settings.min_delay_);
    // 94% of the samples are short, 6% are long.
    samples = delay_samples();
    add(94, milliseconds(3));
    add(6, milliseconds(80));
    CHECK(hedge_delay(samples, settings) == milliseconds(81));
    samples = delay_samples();
    add(95, milliseconds(3));
    add(5, milliseconds(80));
    CHECK(hedge_delay(samples, settings) == settings.min_delay_);
    samples = delay_samples();
    add(100, seconds(3600));
    CHECK(hedge_delay(samples, settings) == settings.max_delay_);
    // A clock error must not cause an index outside the counts.
    samples = delay_samples();
    add(100, -seconds(1));
    CHECK(hedge_delay(samples, settings) == settings.min_delay_);
}

TEST_CASE("the hedge delay follows recent flows only")
{
    // Without replacement the slow flows of an incident would keep the delay
    // high for ever.
    const hedge_settings settings = make_settings(5);
    delay_samples samples;
    for (std::size_t i = 0; i < delay_samples::capacity; ++i)
    {
        add_sample(samples, milliseconds(120));
    }
    CHECK(hedge_delay(samples, settings) == milliseconds(121));
    for (std::size_t i = 0; i < delay_samples::capacity; ++i)
    {
        add_sample(samples, milliseconds(4));
    }
    CHECK(hedge_delay(samples, settings) == settings.min_delay_);
    CHECK(samples.size_ == delay_samples::capacity);
}

TEST_CASE("an opening is due once, after the delay and before the caller's "
          "retransmission")
{
    const hedge_settings settings = make_settings(100);
    hedge_state state;
    state.checked_at_ = start;
    track_opening(state, settings, make_opening(1), sample_bytes(), agent_a,
                  start);
    track_opening(state, settings, make_opening(2), sample_bytes(), agent_a,
                  start + milliseconds(20));
    const auto due_at = [&](int ms)
    {
        state.checked_at_ = start + milliseconds(ms);
        std::vector<std::uint16_t> ports;
        for (const tracked_opening* opening :
             take_due_openings(state, settings, start + milliseconds(ms)))
        {
            ports.push_back(opening->segment_.flow_.caller_.port_);
        }
        return ports;
    };
    CHECK(due_at(49).empty());
    CHECK(due_at(50) == std::vector<std::uint16_t>{1});
    CHECK(due_at(60).empty());
    // The process was paused, and the caller has retransmitted meanwhile.
    CHECK(due_at(220).empty());
}

TEST_CASE("hedges wait for the segments that arrived during a pause")
{
    // A process that gets no processor time reads the callers' segments late.
    // They must be handled before it decides that callers wait.
    const hedge_settings settings = make_settings(100);
    hedge_state state;
    state.checked_at_ = start;
    track_opening(state, settings, make_opening(1), sample_bytes(), agent_a,
                  start);
    CHECK(take_due_openings(state, settings, start + milliseconds(90)).empty());
    // A process that runs every 90 ms only must not wait for ever.
    CHECK(
        take_due_openings(state, settings, start + milliseconds(180)).size() ==
        1);
}

TEST_CASE("the number of tracked openings is limited")
{
    hedge_settings settings = make_settings(100);
    settings.max_tracked_ = 3;
    hedge_state state;
    for (std::uint16_t port = 1; port <= 10; ++port)
    {
        track_opening(state, settings, make_opening(port), sample_bytes(),
                      agent_a, start);
    }
    CHECK(state.openings_.size() == 3);
    CHECK(state.undecided_.size() == 3);
    state.checked_at_ = start + milliseconds(100);
    (void)take_due_openings(state, settings, start + milliseconds(100));
    remove_expired(state, settings, start + seconds(3));
    CHECK(state.openings_.empty());
    CHECK(state.retained_.empty());
}

TEST_CASE("a caller that does not continue gets a hedge at a second agent")
{
    hedged_flow flow = make_hedged_flow();
    CHECK(flow.second_ != flow.first_);
    CHECK(flow.hedge_.hedged_);
    CHECK(flow.hedge_.earlier_agent_ == flow.first_);
    CHECK(flow.hedge_.packet_ == sample_packet);
    CHECK(flow.hedge_.age_ == milliseconds(50));
    CHECK(std::count(flow.hedge_.candidates_.begin(),
                     flow.hedge_.candidates_.end(), flow.first_) == 0);
    CHECK(flow.state_.hedging_.sent_ == 1);
    // No second hedge.
    const pass_actions later = tick_until(flow.state_, start + milliseconds(60),
                                          start + milliseconds(400));
    CHECK(count_messages<place_message>(later) == 0);
}

TEST_CASE("no hedge is sent if the caller continues or retransmits")
{
    for (const bool retransmits : {false, true})
    {
        pass_balancer_state state = make_hedging_balancer();
        const host_address first = place(state, 1, start);
        pass_actions out;
        segment_header next = make_request(1, 9000);
        if (retransmits)
        {
            next = make_opening(1);
            next.ack_number_ = 1;
        }
        handle_caller_segment(state, next, sample_bytes(),
                              start + milliseconds(30), out);
        REQUIRE(out.datagrams_.size() == 1);
        CHECK(out.datagrams_[0].host_ == first);
        const pass_actions ticks = tick_until(state, start + milliseconds(30),
                                              start + milliseconds(300));
        CHECK(count_messages<place_message>(ticks) == 0);
        CHECK(state.hedging_.samples_.size_ == (retransmits ? 0 : 1));
    }
}

TEST_CASE("non-idempotent rules, retransmissions and a disabled option get no "
          "hedge")
{
    // A non-idempotent request could otherwise run twice.
    for (const int variant : {0, 1, 2})
    {
        pass_balancer_state state =
            make_hedging_balancer(variant == 2 ? 0 : 100);
        segment_header opening = make_opening(1);
        if (variant == 0)
        {
            auto rules = std::make_shared<pass_rules>(*make_rules(4));
            rules->rules_.begin()->second.idempotent_ = false;
            REQUIRE(update_rules(state, rules));
        }
        if (variant == 1)
        {
            // Another balancer got the first transmission.
            opening.ack_number_ = 1;
        }
        pass_actions out;
        handle_caller_segment(state, opening, sample_bytes(), start, out);
        REQUIRE(count_messages<place_message>(out) == 1);
        CHECK(state.hedging_.openings_.empty());
        CHECK(state.hedging_.budget_.hundredths_ == 0);
        const pass_actions ticks =
            tick_until(state, start, start + milliseconds(300));
        CHECK(ticks.datagrams_.empty());
    }
}

TEST_CASE("a rule that is no longer idempotent gets no hedge")
{
    pass_balancer_state state = make_hedging_balancer();
    place(state, 1, start);
    auto rules = std::make_shared<pass_rules>(*make_rules(4));
    rules->rules_.begin()->second.idempotent_ = false;
    REQUIRE(update_rules(state, rules));
    const pass_actions ticks =
        tick_until(state, start, start + milliseconds(100));
    CHECK(count_messages<place_message>(ticks) == 0);
}

TEST_CASE("no hedge goes to an agent without a free slot")
{
    // Agents that are full, silent or cold would only delay other requests.
    for (const int variant : {0, 1, 2})
    {
        pass_balancer_state state = make_hedging_balancer();
        const host_address first = place(state, 1, start);
        for (auto& [host, agent] : state.agents_)
        {
            if (host == first)
            {
                continue;
            }
            switch (variant)
            {
            case 0:
                agent.status_.in_flight_ = 2;
                break;
            case 1:
                agent.last_status_at_ = start - seconds(1);
                break;
            default:
                agent.status_.cold_remaining_ = seconds(1);
                break;
            }
        }
        const pass_actions ticks =
            tick_until(state, start, start + milliseconds(100));
        CHECK(count_messages<place_message>(ticks) == 0);
        REQUIRE(ticks.decisions_.size() == 1);
        CHECK(std::string(ticks.decisions_[0].event_) == "hedge_denied");
        CHECK(std::string(ticks.decisions_[0].reason_) == "no_free_agent");
        // The limit was not the reason, and the budget stays.
        CHECK(state.hedging_.denied_by_limit_ == 0);
        CHECK(covers_hedge(state.hedging_.budget_));
    }
}

TEST_CASE("hedges beyond the limit are counted, and few are logged")
{
    pass_balancer_state state = make_hedging_balancer(1);
    for (std::uint16_t port = 1; port <= 50; ++port)
    {
        place(state, port, start);
    }
    const pass_actions ticks =
        tick_until(state, start, start + milliseconds(100));
    CHECK(count_messages<place_message>(ticks) == 0);
    CHECK(state.hedging_.denied_by_limit_ == 50);
    REQUIRE(ticks.decisions_.size() == 1);
    CHECK(std::string(ticks.decisions_[0].reason_) == "limit");
}

TEST_CASE("the caller's next segment goes to the agent of the hedge, which "
          "knows the first agent")
{
    // The first agent, which does not know the second one, reports late that it
    // has queued or offered the segment. Without the record of the hedge each
    // such report would start a search for the owner.
    hedged_flow flow = make_hedged_flow();
    const auto report_first = [&](int ms)
    {
        pass_actions out;
        const flow_owner_message report{make_flow(1), flow.first_, true};
        note_owner_report(flow.state_, report);
        handle_flow_owner(flow.state_, report, start + milliseconds(ms), out);
    };
    report_first(55);
    pass_actions out;
    handle_caller_segment(flow.state_, make_request(1, 9000), sample_bytes(),
                          start + milliseconds(60), out);
    CHECK(segment_receiver(out) == flow.second_);
    report_first(70);
    pass_actions returned;
    handle_returned_segment(
        flow.state_, locate_message{sample_packet, flow.first_, true},
        make_request(1, 9000), start + milliseconds(80), returned);
    CHECK(segment_receiver(returned) == flow.second_);
    CHECK(flow.state_.searches_.empty());
    // If the second agent does not have the flow either, a search follows.
    pass_actions again;
    handle_returned_segment(
        flow.state_, locate_message{sample_packet, flow.second_, true},
        make_request(1, 9000), start + milliseconds(82), again);
    CHECK(flow.state_.searches_.size() == 1);
}

TEST_CASE("a hedge that is lost or dropped does not change the flow's owner")
{
    hedged_flow flow = make_hedged_flow(false);
    segment_header retransmission = make_opening(1);
    retransmission.ack_number_ = 1;
    pass_actions resent;
    handle_caller_segment(flow.state_, retransmission, sample_bytes(),
                          start + milliseconds(200), resent);
    REQUIRE(resent.datagrams_.size() == 1);
    CHECK(resent.datagrams_[0].host_ == flow.first_);
    CHECK_FALSE(find_message<place_message>(resent)->hedged_);
    CHECK(find_message<place_message>(resent)->earlier_agent_ ==
          host_address());
    for (const int ms : {210, 420})
    {
        pass_actions out;
        handle_caller_segment(flow.state_, make_request(1, 9000),
                              sample_bytes(), start + milliseconds(ms), out);
        CHECK(segment_receiver(out) == flow.first_);
    }
    tick_until(flow.state_, start + milliseconds(430),
               start + milliseconds(500));
    CHECK(flow.state_.hedging_.won_ == 0);
}

TEST_CASE("a hedge at an agent that is down does not cut off the flow")
{
    // The first agent opened the flow. The caller's segments would go to the
    // second one, which no longer runs, until the flow's deadline.
    hedged_flow flow = make_hedged_flow();
    const auto send = [&](segment_header s, int ms)
    {
        pass_actions out;
        handle_caller_segment(flow.state_, s, sample_bytes(),
                              start + milliseconds(ms), out);
        return segment_receiver(out);
    };
    segment_header acknowledgement = make_request(1, 9000);
    acknowledgement.data_bytes_ = 0;
    CHECK(send(acknowledgement, 60) == flow.second_);
    // The caller's request is no repetition of its acknowledgement.
    CHECK(send(make_request(1, 9000), 300) == flow.second_);
    CHECK(send(make_request(1, 9000), 500) == flow.first_);
    CHECK(send(make_request(1, 9000), 900) == flow.first_);
}

TEST_CASE("a retransmission after a hedge causes no reset at the second agent")
{
    // The first agent may have opened the flow.
    hedged_flow flow = make_hedged_flow();
    segment_header retransmission = make_opening(1);
    retransmission.ack_number_ = 1;
    pass_actions out;
    handle_caller_segment(flow.state_, retransmission, sample_bytes(),
                          start + milliseconds(200), out);
    REQUIRE(out.datagrams_.size() == 1);
    CHECK(out.datagrams_[0].host_ == flow.second_);
    CHECK(find_message<place_message>(out)->earlier_agent_ == flow.first_);
}

TEST_CASE("hedges that won are counted when the flow's owner is known")
{
    for (const bool won : {false, true})
    {
        hedged_flow flow = make_hedged_flow();
        pass_actions out;
        handle_caller_segment(flow.state_, make_request(1, 9000),
                              sample_bytes(), start + milliseconds(60), out);
        if (!won)
        {
            handle_flow_owner(flow.state_,
                              {make_flow(1), flow.first_, false, flow.second_},
                              start + milliseconds(62), out);
        }
        tick_until(flow.state_, start + milliseconds(70),
                   start + milliseconds(150));
        CHECK(flow.state_.hedging_.won_ == (won ? 1 : 0));
        CHECK(flow.state_.hedging_.unsettled_.empty());
    }
}

TEST_CASE("an agent without a free slot forwards or drops a hedge")
{
    // A queued hedge would displace segments that have no other agent, and a
    // reset could end the flow that the first agent opens.
    pass_agent_state state = make_agent();
    open_flow(state, 10, start);
    open_flow(state, 11, start);
    pass_actions out;
    handle_place(state, make_hedge({agent_a, agent_b}), make_opening(1), start,
                 out);
    REQUIRE(out.datagrams_.size() == 1);
    CHECK(out.datagrams_[0].host_ == agent_b);
    const place_message* forwarded = find_message<place_message>(out);
    REQUIRE(forwarded != nullptr);
    CHECK(forwarded->hedged_);
    CHECK(forwarded->earlier_agent_ == agent_c);
    CHECK(forwarded->candidates_.empty());

    pass_actions dropped;
    handle_place(state, make_hedge(), make_opening(2), start, dropped);
    CHECK(dropped.datagrams_.empty());
    REQUIRE(dropped.decisions_.size() == 1);
    CHECK(std::string(dropped.decisions_[0].event_) == "hedge_dropped");
    CHECK(state.queue_.empty());
    CHECK(state.flows_.size() == 2);
}

TEST_CASE("an agent that accepts no flows drops a hedge")
{
    pass_agent_state state = make_agent();
    pass_actions out;
    begin_shutdown(state, start, out);
    pass_actions dropped;
    handle_place(state, make_hedge(), make_opening(1), start, dropped);
    CHECK(dropped.datagrams_.empty());
    CHECK(state.flows_.empty());
}

TEST_CASE(
    "a hedge does not replace an agent's record of the first transmission")
{
    // Both transmissions of a flow can visit the same agents. If the hedge
    // replaced the record, segments that follow the first transmission would be
    // lost or go around in circles (load replay, seed 84).
    const auto handle_hedge = [](pass_agent_state& state)
    {
        pass_actions out;
        handle_place(state, make_hedge({agent_b}), make_opening(1),
                     start + milliseconds(60), out);
        CHECK(count(out, pass_target::upstream) == 0);
        CHECK(count(out, pass_target::reset) == 0);
        REQUIRE(out.datagrams_.size() == 1);
        CHECK(out.datagrams_[0].host_ == agent_b);
        return state.flows_.at(make_flow(1));
    };
    {
        // The agent has forwarded the first transmission.
        pass_agent_state state = make_agent();
        for (const std::uint16_t port : {10, 11, 12})
        {
            open_flow(state, port, start);
        }
        pass_actions out;
        handle_place(state, make_place({agent_c}), make_opening(1), start, out);
        REQUIRE(state.flows_.at(make_flow(1)).phase_ == pass_phase::moved);
        state.in_flight_ = 0;
        const agent_flow flow = handle_hedge(state);
        CHECK(flow.phase_ == pass_phase::moved);
        CHECK(flow.moved_to_ == agent_c);
    }
    {
        // The agent has offered it.
        pass_agent_state state = make_agent();
        pass_actions out;
        handle_place(state, make_place(), make_opening(1), start, out);
        const agent_flow flow = handle_hedge(state);
        CHECK(flow.phase_ == pass_phase::opening);
        CHECK_FALSE(flow.place_.hedged_);
    }
    {
        // The agent has refused it: the hedge must not repeat the reset.
        pass_agent_state state = make_agent();
        pass_actions out;
        place_message other_service = make_place();
        other_service.service_ = photos;
        handle_place(state, other_service, make_opening(1), start, out);
        CHECK(count(out, pass_target::reset) == 1);
        CHECK(handle_hedge(state).phase_ == pass_phase::refused);
    }
}

TEST_CASE("agents tell the answers of two upstreams apart")
{
    // Sequence numbers of upstreams are random. If an agent took a near one for
    // its own, it would claim the other upstream's flow in a search, and reset
    // it when its own upstream restarts (flow replay, seed 139).
    for (const bool hedged : {false, true})
    {
        pass_agent_state state = make_agent();
        pass_actions out;
        place_message place = hedged ? make_hedge() : make_place();
        place.hedgeable_ = true;
        handle_place(state, place, make_opening(1), start, out);
        handle_upstream_segment(state, make_opening_answer(1, 9000),
                                sample_bytes(), start + milliseconds(1), out);
        pass_actions located;
        handle_locate(state, locate_message{sample_packet, balancer_x, true},
                      make_request(1, 9005), start + milliseconds(2), located);
        const auto* response = find_message<flow_owner_message>(located);
        REQUIRE(response != nullptr);
        CHECK(response->owner_ == host_address());
        CHECK(count(located, pass_target::upstream) == 0);
        pass_actions own;
        handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                              balancer_x, start + milliseconds(3), own);
        CHECK(count(own, pass_target::upstream) == 1);
        CHECK(state.flows_.at(make_flow(1)).phase_ == pass_phase::open);
    }
}

TEST_CASE("an agent reports that it has offered a hedge")
{
    // The balancer must send the caller's next segment to this agent.
    pass_agent_state state = make_agent();
    pass_actions out;
    handle_place(state, make_hedge(), make_opening(1), start, out);
    CHECK(count(out, pass_target::upstream) == 1);
    const auto* report = find_message<flow_owner_message>(out);
    REQUIRE(report != nullptr);
    CHECK(report->owner_ == agent_a);
    CHECK(report->hedged_);
    CHECK_FALSE(report->queued_);
}

TEST_CASE("a hedge that the upstream rejects or ignores is not sent on")
{
    // It leaves no record that leads to an agent without the flow.
    for (const bool bounced : {false, true})
    {
        pass_agent_state state = make_agent();
        pass_actions out;
        handle_place(state, make_hedge({agent_b}), make_opening(1), start, out);
        pass_actions next;
        if (bounced)
        {
            segment_header opening = make_opening(1);
            opening.bounced_ = true;
            handle_upstream_segment(state, opening, sample_bytes(),
                                    start + milliseconds(1), next);
        }
        else
        {
            handle_tick(state, start + milliseconds(100), next);
        }
        CHECK(next.datagrams_.empty());
        CHECK(state.in_flight_ == 0);
    }
}

TEST_CASE("a hedge does not take a segment of the first agent's flow")
{
    // The caller has continued with the first agent's answer before the second
    // agent's upstream answered, or although it never did. The upstream must
    // not get segments of the other upstream's flow.
    for (const bool unanswered : {false, true})
    {
        pass_agent_state state = make_agent();
        pass_actions out;
        handle_place(state, make_hedge(), make_opening(1), start, out);
        CHECK(count(out, pass_target::upstream) == 1);
        instant now = start + milliseconds(1);
        if (unanswered)
        {
            now = start + milliseconds(100);
            handle_tick(state, now, out);
        }
        pass_actions next;
        handle_caller_segment(state, make_request(1, 5000), sample_bytes(),
                              balancer_x, now, next);
        CHECK(count(next, pass_target::upstream) == 0);
        CHECK(next.datagrams_[0].host_ == agent_c);
        const auto* owner = find_message<flow_owner_message>(next);
        REQUIRE(owner != nullptr);
        CHECK(owner->owner_ == agent_c);
        CHECK(state.in_flight_ == 0);
    }
}

TEST_CASE("a first agent that offers late does not keep a flow that the second "
          "one opened")
{
    // The first agent has queued the segment, and its slot becomes free after
    // the caller has opened the flow through the hedge.
    pass_agent_state state = make_agent();
    for (std::uint16_t port = 10; port <= 12; ++port)
    {
        open_flow(state, port, start);
    }
    pass_actions out;
    place_message place = make_place();
    place.hedgeable_ = true;
    handle_place(state, place, make_opening(1), start, out);
    REQUIRE(state.queue_.size() == 1);
    handle_upstream_segment(state, make_answer(10), sample_bytes(),
                            start + milliseconds(60), out);
    REQUIRE(state.flows_.at(make_flow(1)).phase_ == pass_phase::opening);
    handle_upstream_segment(state, make_opening_answer(1, 8000), sample_bytes(),
                            start + milliseconds(61), out);
    pass_actions next;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, start + milliseconds(62), next);
    CHECK(count(next, pass_target::upstream) == 0);
    CHECK(count_messages<locate_message>(next) == 1);
    CHECK(state.flows_.count(make_flow(1)) == 0);
}
