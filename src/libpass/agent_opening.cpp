/// \file
/// Where an opening segment goes: the load patterns behind each choice stand
/// with its function.

#include <libpass/agent_pvt.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenafork
{

namespace pvt
{

namespace
{

// Backlog of an agent whose upstream did not take a segment: more than any real
// one, so that the segment does not come back.
constexpr double unable_backlog = 100.0;

// Weight of the newest sample of a smoothed time.
constexpr double sample_weight = 0.1;

// Requests that the upstream may have, running or in their handshake. While
// balancers are behind, after an outage above all, a handshake takes longer
// than the work: so many flows are in theirs as keep the slots busy meanwhile.
std::uint32_t limit_of(const pass_agent_state& state, instant now)
{
    const std::uint32_t slots = state.upstream_.slots_.value();
    const std::uint32_t least =
        now < state.upstream_cold_until_ ? 0 : state.settings_.extra_in_flight_;
    const double in_handshake =
        static_cast<double>(state.handshake_time_.count()) /
        static_cast<double>(
            std::max<duration::rep>(state.service_time_.count(), 1));
    const double extra = std::floor(
        slots * std::min(in_handshake, state.settings_.max_extra_per_slot_));
    return slots + least + static_cast<std::uint32_t>(extra);
}

double backlog_of(const pass_agent_state& state)
{
    return (state.in_flight_ + static_cast<double>(state.queue_.size())) /
           state.upstream_.slots_.value();
}

obstacle obstacle_to(const pass_agent_state& state, const place_message& place,
                     instant now)
{
    if (place.service_ != state.upstream_.service_)
    {
        return obstacle::wrong_service;
    }
    if (!accepts_new_flows(state, now))
    {
        return obstacle::not_accepting;
    }
    return state.in_flight_ < limit_of(state, now) ? obstacle::none
                                                   : obstacle::full;
}

const char* to_string(obstacle o)
{
    switch (o)
    {
    case obstacle::none:
        return "";
    case obstacle::wrong_service:
        return "wrong_service";
    case obstacle::not_accepting:
        return "not_accepting";
    case obstacle::full:
        return "full";
    }
    return "";
}

// Only the first agent that a balancer asked need not tell it: the balancer
// sends the flow's segments there anyway.
void tell_balancer(const pass_agent_state& state, const flow_key& key,
                   const agent_flow& flow, pass_actions& out)
{
    if (!flow.place_.visits_.empty() || flow.place_.candidates_exhausted_)
    {
        out.send_to_peer(flow.place_.balancer_,
                         flow_owner_message{key, state.settings_.host_,
                                            flow.phase_ == pass_phase::queued});
    }
}

void offer(pass_agent_state& state, const flow_key& key, agent_flow& flow,
           instant now, pass_actions& out)
{
    enter(flow, pass_phase::opening, now);
    flow.offered_at_ = now;
    set_occupies_slot(state, flow, true);
    out.send_to_upstream(
        {flow.place_.packet_.data(), flow.place_.packet_.size()});
    tell_balancer(state, key, flow, out);
    note(out, state, key, flow, "offered", "", now, false);
}

void send_on(pass_agent_state& state, const flow_key& key, agent_flow& flow,
             host_address next, const char* reason, instant now,
             pass_actions& out)
{
    flow.place_.age_ =
        std::chrono::duration_cast<duration>(now - flow.first_copy_at_);
    flow.moved_to_ = next;
    enter(flow, pass_phase::moved, now);
    out.send_to_peer(next, flow.place_);
    note(out, state, key, flow, "passed_on", reason, now, false, next);
}

// Sends the segment to its next candidate. False if none is left.
bool send_to_next(pass_agent_state& state, const flow_key& key,
                  agent_flow& flow, const char* reason, instant now,
                  pass_actions& out)
{
    auto& candidates = flow.place_.candidates_;
    if (candidates.empty())
    {
        return false;
    }
    const host_address next = candidates.front();
    candidates.erase(candidates.begin());
    send_on(state, key, flow, next, reason, now, out);
    return true;
}

// Time from the offer to the answer.
duration answer_time(const pass_agent_state& state)
{
    return state.service_time_ + state.settings_.round_trip_;
}

// The segment's answer would still be within its latency target if it were
// offered at `when`.
bool is_in_time(const pass_agent_state& state, const agent_flow& flow,
                instant when, double share = 1.0)
{
    const auto usable = duration(static_cast<duration::rep>(
        static_cast<double>(flow.place_.latency_target_.count()) * share));
    return when + answer_time(state) <= flow.first_copy_at_ + usable;
}

bool goes_before(const pass_agent_state& state, const agent_flow& a,
                 const agent_flow& b, instant now)
{
    const bool a_in_time = is_in_time(state, a, now);
    if (a_in_time != is_in_time(state, b, now))
    {
        return a_in_time;
    }
    if (a.place_.priority_ != b.place_.priority_)
    {
        return a.place_.priority_ < b.place_.priority_;
    }
    return a.first_copy_at_ < b.first_copy_at_;
}

// Expected time until a segment that joins the waiting ones gets a slot: the
// upstream frees one every service time divided by its slots, and those that
// go before it come first.
duration expected_wait(const pass_agent_state& state, const agent_flow& flow,
                       instant now)
{
    const auto ahead = std::count_if(
        state.queue_.begin(), state.queue_.end(),
        [&](const flow_key& key)
        { return !goes_before(state, flow, state.flows_.at(key), now); });
    const double turns = static_cast<double>(ahead) + 1.0;
    const double wait = turns *
                        static_cast<double>(state.service_time_.count()) /
                        state.upstream_.slots_.value();
    return duration(static_cast<duration::rep>(wait));
}

// All asked agents are full. In a burst, what can be answered within its target
// waits for a slot. After an outage everybody comes back at once: a late answer
// then serves its caller better than a refusal, which uses up the caller's
// retries within milliseconds; so what will be late waits too, behind what will
// be in time, as long as the slots left over can serve it soon. The rest is
// refused at once.
void hold_or_refuse(pass_agent_state& state, const flow_key& key,
                    agent_flow& flow, instant now, pass_actions& out)
{
    const duration wait = expected_wait(state, flow, now);
    const bool overloaded =
        !state.queue_.empty() &&
        now - state.queue_nonempty_since_ > state.settings_.overload_after_;
    const bool in_time = is_in_time(
        state, flow, now + wait,
        overloaded ? state.settings_.overload_target_fraction_ : 1.0);
    const duration late_wait = duration(
        static_cast<duration::rep>(static_cast<double>(wait.count()) /
                                   state.settings_.late_slot_fraction_));
    const bool in_attempt =
        now + late_wait <
        flow.first_copy_at_ + state.settings_.caller_attempt_timeout_;
    if (!in_time && (overloaded || !in_attempt ||
                     late_wait > state.settings_.max_late_wait_))
    {
        refuse(state, key, flow, "overloaded", now, out);
        return;
    }
    if (state.queue_.empty())
    {
        state.queue_nonempty_since_ = now;
    }
    enter(flow, pass_phase::queued, now);
    state.queue_.push_back(key);
    tell_balancer(state, key, flow, out);
    note(out, state, key, flow, "held", in_time ? "full" : "full_late", now,
         false);
}

// The least loaded of the agents that took part, this one included unless it
// can't take the segment at all.
std::optional<host_address> least_loaded(const place_message& place)
{
    const auto best =
        std::min_element(place.visits_.begin(), place.visits_.end(),
                         [](const agent_visit& a, const agent_visit& b)
                         { return a.backlog_ < b.backlog_; });
    if (best == place.visits_.end())
    {
        return std::nullopt;
    }
    return best->host_;
}

// Every slot is taken somewhere while others idle, because balancers choose by
// reports that are some hundred milliseconds old: the segment goes from agent
// to agent, each of which knows exactly, until one has a slot. When all are
// full it ends at the least loaded.
void pass_on(pass_agent_state& state, const flow_key& key, agent_flow& flow,
             obstacle why, instant now, pass_actions& out)
{
    if (why == obstacle::full)
    {
        flow.place_.visits_.push_back(
            {state.settings_.host_, backlog_of(state)});
    }
    if (send_to_next(state, key, flow, to_string(why), now, out))
    {
        return;
    }
    const auto best = least_loaded(flow.place_);
    flow.place_.candidates_exhausted_ = true;
    if (!best)
    {
        refuse(state, key, flow, to_string(why), now, out);
        return;
    }
    if (*best == state.settings_.host_)
    {
        hold_or_refuse(state, key, flow, now, out);
        return;
    }
    send_on(state, key, flow, *best, "least_loaded", now, out);
}

} // namespace

void refuse(pass_agent_state& state, const flow_key& key, agent_flow& flow,
            const char* reason, instant now, pass_actions& out)
{
    // A new flow has this phase before it is decided.
    const bool was_held =
        flow.phase_ == pass_phase::queued && flow.phase_since_ != instant();
    enter(flow, pass_phase::refused, now);
    if (was_held)
    {
        // Copies must come here again: the reset may be lost.
        tell_balancer(state, key, flow, out);
    }
    const host_address earlier = flow.place_.earlier_agent_;
    if (earlier != host_address())
    {
        note(out, state, key, flow, "dropped", "may_be_open_elsewhere", now,
             true, earlier);
        return;
    }
    out.send_reset(key, 0);
    note(out, state, key, flow, "refused", reason, now, true);
}

bool send_past_upstream(pass_agent_state& state, const flow_key& key,
                        agent_flow& flow, const char* reason, instant now,
                        pass_actions& out)
{
    flow.place_.visits_.push_back({state.settings_.host_, unable_backlog});
    return send_to_next(state, key, flow, reason, now, out);
}

void smooth(duration& smoothed, duration sample)
{
    const auto old = static_cast<double>(smoothed.count());
    const auto now = static_cast<double>(sample.count());
    smoothed =
        duration(static_cast<duration::rep>(old + (now - old) * sample_weight));
}

void enter(agent_flow& flow, pass_phase phase, instant now)
{
    flow.phase_ = phase;
    flow.phase_since_ = now;
    flow.last_active_ = now;
}

void set_occupies_slot(pass_agent_state& state, agent_flow& flow, bool counted)
{
    if (flow.occupies_slot_ != counted)
    {
        flow.occupies_slot_ = counted;
        state.in_flight_ =
            counted ? state.in_flight_ + 1 : state.in_flight_ - 1;
    }
}

void note(pass_actions& out, const pass_agent_state& state, const flow_key& key,
          const agent_flow& flow, const char* event, const char* reason,
          instant now, bool important, host_address host)
{
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = reason;
    decision.flow_ = key;
    decision.opening_sequence_ = flow.opening_sequence_;
    decision.host_ = host;
    decision.version_ = flow.place_.version_;
    decision.in_flight_ = state.in_flight_;
    decision.queued_ = static_cast<std::uint32_t>(state.queue_.size());
    decision.age_ =
        std::chrono::duration_cast<duration>(now - flow.first_copy_at_);
    decision.important_ = important;
    out.decisions_.push_back(decision);
}

void drop_from_held(pass_agent_state& state, const flow_key& key)
{
    state.queue_.erase(
        std::remove(state.queue_.begin(), state.queue_.end(), key),
        state.queue_.end());
}

void decide_opening(pass_agent_state& state, const flow_key& key, instant now,
                    pass_actions& out)
{
    agent_flow& flow = state.flows_.at(key);
    const obstacle why = obstacle_to(state, flow.place_, now);
    if (why == obstacle::none)
    {
        offer(state, key, flow, now, out);
        return;
    }
    if (flow.place_.candidates_exhausted_)
    {
        if (why == obstacle::full)
        {
            hold_or_refuse(state, key, flow, now, out);
            return;
        }
        refuse(state, key, flow, to_string(why), now, out);
        return;
    }
    pass_on(state, key, flow, why, now, out);
}

void release_held(pass_agent_state& state, instant now, pass_actions& out)
{
    while (!state.queue_.empty() && accepts_new_flows(state, now) &&
           state.in_flight_ < limit_of(state, now))
    {
        const auto best =
            std::min_element(state.queue_.begin(), state.queue_.end(),
                             [&](const flow_key& a, const flow_key& b) {
                                 return goes_before(state, state.flows_.at(a),
                                                    state.flows_.at(b), now);
                             });
        const flow_key key = *best;
        state.queue_.erase(best);
        offer(state, key, state.flows_.at(key), now, out);
    }
}

void move_held(pass_agent_state& state, instant now, pass_actions& out)
{
    const std::vector<flow_key> keys = std::move(state.queue_);
    state.queue_.clear();
    for (const flow_key& key : keys)
    {
        agent_flow& flow = state.flows_.at(key);
        // Its own visit no longer counts: it can't take the segment back.
        auto& visits = flow.place_.visits_;
        visits.erase(std::remove_if(visits.begin(), visits.end(),
                                    [&](const agent_visit& v) {
                                        return v.host_ == state.settings_.host_;
                                    }),
                     visits.end());
        flow.place_.candidates_exhausted_ = false;
        decide_opening(state, key, now, out);
    }
}

} // namespace pvt

void handle_place(pass_agent_state& state, const place_message& message,
                  const segment_header& opening, instant now, pass_actions& out)
{
    const flow_key& key = opening.flow_;
    const auto known = state.flows_.find(key);
    if (known != state.flows_.end() &&
        known->second.opening_sequence_ == opening.sequence_)
    {
        agent_flow& flow = known->second;
        flow.last_active_ = now;
        switch (flow.phase_)
        {
        case pass_phase::queued:
            // A copy of what waits already.
            return;
        case pass_phase::opening:
        case pass_phase::open:
            out.send_to_upstream(
                {message.packet_.data(), message.packet_.size()});
            return;
        case pass_phase::refused:
            if (flow.place_.earlier_agent_ != host_address())
            {
                // No reset was sent: decided anew.
                break;
            }
            // Sent before the reset arrived, or the reset was lost.
            out.send_reset(key, 0);
            return;
        case pass_phase::ended:
            if (flow.upstream_sequence_)
            {
                return;
            }
            // The upstream never answered: decided anew.
            break;
        case pass_phase::unknown_to_upstream:
            break;
        case pass_phase::moved:
            if (message.visits_.empty() && !message.candidates_exhausted_)
            {
                out.send_to_peer(flow.moved_to_, message);
                return;
            }
            // It came back: nobody else took it.
            break;
        }
    }
    if (known != state.flows_.end())
    {
        pvt::set_occupies_slot(state, known->second, false);
        pvt::drop_from_held(state, key);
    }
    agent_flow flow;
    flow.place_ = message;
    flow.opening_sequence_ = opening.sequence_;
    flow.first_copy_at_ = now - message.age_;
    flow.data_end_ = opening.sequence_ + 1;
    flow.last_active_ = now;
    state.flows_[key] = std::move(flow);
    pvt::decide_opening(state, key, now, out);
}

} // namespace galenafork
