/// \file
/// An agent's decisions about opening segments. Comments describe the load
/// patterns that the functions are made for.

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

// Returns the limit on requests in flight at the upstream, running or in their
// handshake. When balancers are overloaded, mostly after an outage, a
// handshake takes longer than the request itself. The limit then allows more
// flows in their handshake, so that the slots stay occupied.
std::uint32_t max_in_flight(const pass_agent_state& state, instant now)
{
    const std::uint32_t slots = state.upstream_.slots_.value();
    const std::uint32_t fixed_extra =
        now < state.upstream_cold_until_ ? 0 : state.settings_.extra_in_flight_;
    const double handshake_ratio =
        static_cast<double>(state.handshake_time_.count()) /
        static_cast<double>(
            std::max<duration::rep>(state.service_time_.count(), 1));
    const double handshake_extra = std::floor(
        slots * std::min(handshake_ratio, state.settings_.max_extra_per_slot_));
    return slots + fixed_extra + static_cast<std::uint32_t>(handshake_extra);
}

// The limit for a cold upstream counts as the backlog with the same wait.
double backlog_of(const pass_agent_state& state, instant now)
{
    const double limit_wait = static_cast<double>(
        cold_wait(state, state.queue_.size() + 1, now).count());
    return std::max(
        (state.in_flight_ + static_cast<double>(state.queue_.size())) /
            state.upstream_.slots_.value(),
        limit_wait / static_cast<double>(std::max<duration::rep>(
                         state.service_time_.count(), 1)));
}

rejection_reason rejection_reason_for(const pass_agent_state& state,
                                      const place_message& place, instant now)
{
    if (place.service_ != state.upstream_.service_)
    {
        return rejection_reason::wrong_service;
    }
    if (!accepts_new_flows(state, now))
    {
        return rejection_reason::not_accepting;
    }
    if (is_cold_limited(state, now))
    {
        return rejection_reason::cold_limited;
    }
    // A hedge gets a free slot only, and none of the extra requests in flight.
    const std::uint32_t limit = place.hedged_ ? state.upstream_.slots_.value()
                                              : max_in_flight(state, now);
    return state.in_flight_ < limit && !(place.hedged_ && !state.queue_.empty())
               ? rejection_reason::none
               : rejection_reason::full;
}

// Returns whether the segment may be queued here.
bool is_full(rejection_reason reason)
{
    return reason == rejection_reason::full ||
           reason == rejection_reason::cold_limited;
}

const char* to_string(rejection_reason reason)
{
    switch (reason)
    {
    case rejection_reason::none:
        return "";
    case rejection_reason::wrong_service:
        return "wrong_service";
    case rejection_reason::not_accepting:
        return "not_accepting";
    case rejection_reason::full:
        return "full";
    case rejection_reason::cold_limited:
        return "cold_limit";
    }
    return "";
}

// Notifies the balancer that the flow is here, unless this is the agent that
// the balancer chose first and sends the flow's segments to in any case.
void notify_balancer(const pass_agent_state& state, const flow_key& key,
                     const agent_flow& flow, pass_actions& out)
{
    const bool hedged = flow.place_.hedged_;
    if (!flow.place_.visits_.empty() || flow.place_.candidates_exhausted_ ||
        hedged)
    {
        out.send_to_peer(flow.place_.balancer_,
                         flow_owner_message{key,
                                            state.settings_.host_,
                                            flow.phase_ == pass_phase::queued,
                                            {},
                                            false,
                                            hedged});
    }
}

void offer(pass_agent_state& state, const flow_key& key, agent_flow& flow,
           instant now, pass_actions& out)
{
    set_phase(flow, pass_phase::opening, now);
    flow.offered_at_ = now;
    set_occupies_slot(state, flow, true);
    send_opening(state, flow.place_.packet_, now, out);
    notify_balancer(state, key, flow, out);
    add_decision(out, state, key, flow, "offered", "", now, false);
}

void forward_opening(pass_agent_state& state, const flow_key& key,
                     agent_flow& flow, host_address next, const char* reason,
                     instant now, pass_actions& out)
{
    flow.place_.age_ =
        std::chrono::duration_cast<duration>(now - flow.attempt_started_at_);
    flow.moved_to_ = next;
    set_phase(flow, pass_phase::moved, now);
    out.send_to_peer(next, flow.place_);
    add_decision(out, state, key, flow, "passed_on", reason, now, false, next);
}

// Forwards the segment to its next candidate. Returns false if none is left.
bool forward_to_next_candidate(pass_agent_state& state, const flow_key& key,
                               agent_flow& flow, const char* reason,
                               instant now, pass_actions& out)
{
    auto& candidates = flow.place_.candidates_;
    // Balancers of earlier versions list the receiver as well.
    candidates.erase(std::remove(candidates.begin(), candidates.end(),
                                 state.settings_.host_),
                     candidates.end());
    if (candidates.empty())
    {
        return false;
    }
    const host_address next = candidates.front();
    candidates.erase(candidates.begin());
    forward_opening(state, key, flow, next, reason, now, out);
    return true;
}

// Returns the expected time from the offer of a segment to the answer.
duration expected_answer_time(const pass_agent_state& state)
{
    return state.service_time_ + state.settings_.round_trip_;
}

// Returns whether the answer is expected within the given fraction of the
// latency target if the segment is offered at `offered_at`.
bool is_in_time(const pass_agent_state& state, const agent_flow& flow,
                instant offered_at, double target_fraction = 1.0)
{
    const auto usable_time = duration(static_cast<duration::rep>(
        static_cast<double>(flow.place_.latency_target_.count()) *
        target_fraction));
    return offered_at + expected_answer_time(state) <=
           flow.attempt_started_at_ + usable_time;
}

bool is_recovering(const pass_agent_state& state, instant now)
{
    return now - state.started_at_ < state.settings_.recovery_period_;
}

// Returns whether `a` is ahead of `b` in the queue: segments that can still be
// answered in time come first, then those of a higher priority, then older
// ones. Of the late segments after an outage the newest come first, because the
// callers of the oldest ones are the most likely to have gone.
bool precedes(const pass_agent_state& state, const agent_flow& a,
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
    if (!a_in_time && is_recovering(state, now))
    {
        return a.attempt_started_at_ > b.attempt_started_at_;
    }
    return a.attempt_started_at_ < b.attempt_started_at_;
}

// Returns the expected time until a segment that is queued now gets a slot: the
// upstream frees one per service time divided by its slots, and the queued
// segments that `flow` does not precede get theirs before.
duration expected_wait(const pass_agent_state& state, const agent_flow& flow,
                       instant now)
{
    const auto ahead = std::count_if(
        state.queue_.begin(), state.queue_.end(),
        [&](const flow_key& key)
        { return !precedes(state, flow, state.flows_.at(key), now); });
    const double slots_needed = static_cast<double>(ahead) + 1.0;
    const double wait = slots_needed *
                        static_cast<double>(state.service_time_.count()) /
                        state.upstream_.slots_.value();
    return std::max(duration(static_cast<duration::rep>(wait)),
                    cold_wait(state, static_cast<std::size_t>(ahead) + 1, now));
}

// Queues or refuses a segment after all candidates were found full. In a burst,
// segments that can be answered within their latency target are queued. After
// an outage all callers return at once, and refusals would use up their retries
// within milliseconds, so a late answer is better. Segments that will be late
// are therefore queued as well, behind those in time, if the remaining slots
// can serve them soon. All others are refused at once.
void queue_or_refuse(pass_agent_state& state, const flow_key& key,
                     agent_flow& flow, instant now, pass_actions& out)
{
    const duration wait = expected_wait(state, flow, now);
    const bool overloaded =
        !state.queue_.empty() && !is_recovering(state, now) &&
        now - state.queue_nonempty_since_ > state.settings_.overload_after_;
    const bool in_time = is_in_time(
        state, flow, now + wait,
        overloaded ? state.settings_.overload_target_fraction_ : 1.0);
    const duration late_wait = duration(
        static_cast<duration::rep>(static_cast<double>(wait.count()) /
                                   state.settings_.late_slot_fraction_));
    const bool within_attempt =
        now + late_wait <
        flow.attempt_started_at_ + state.settings_.caller_attempt_timeout_;
    if (!in_time && (overloaded || !within_attempt ||
                     late_wait > state.settings_.max_late_wait_))
    {
        refuse(state, key, flow, "overloaded", now, out);
        return;
    }
    if (state.queue_.empty())
    {
        state.queue_nonempty_since_ = now;
    }
    set_phase(flow, pass_phase::queued, now);
    state.queue_.push_back(key);
    notify_balancer(state, key, flow, out);
    add_decision(out, state, key, flow, "held", in_time ? "full" : "full_late",
                 now, false);
}

// Returns the visited agent with the lowest backlog, which can be this one;
// nothing if no visit was recorded.
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

// Forwards a segment that this agent's upstream can't get now. Balancers choose
// by statuses that are some hundred milliseconds old, so some agents are full
// while others have free slots. The segment is therefore forwarded from one
// candidate to the next, each of which has its exact current load, until one
// has a free slot. If all are full, the one with the lowest backlog queues or
// refuses it.
void forward_or_queue(pass_agent_state& state, const flow_key& key,
                      agent_flow& flow, rejection_reason why, instant now,
                      pass_actions& out)
{
    if (is_full(why))
    {
        flow.place_.visits_.push_back(
            {state.settings_.host_, backlog_of(state, now)});
    }
    if (forward_to_next_candidate(state, key, flow, to_string(why), now, out))
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
        queue_or_refuse(state, key, flow, now, out);
        return;
    }
    forward_opening(state, key, flow, *best, "least_loaded", now, out);
}

} // namespace

void refuse(pass_agent_state& state, const flow_key& key, agent_flow& flow,
            const char* reason, instant now, pass_actions& out)
{
    // A new flow also has the phase `queued` until its first decision, but no
    // time of a phase change.
    const bool was_queued =
        flow.phase_ == pass_phase::queued && flow.phase_since_ != instant();
    set_phase(flow, pass_phase::refused, now);
    if (was_queued)
    {
        // The balancer drops retransmissions of queued segments. From now on
        // they must arrive here again, because the reset can be lost.
        notify_balancer(state, key, flow, out);
    }
    const host_address earlier = flow.place_.earlier_agent_;
    if (earlier != host_address())
    {
        add_decision(out, state, key, flow, "dropped", "may_be_open_elsewhere",
                     now, true, earlier);
        return;
    }
    out.send_reset(key, 0);
    add_decision(out, state, key, flow, "refused", reason, now, true);
}

bool reroute_opening(pass_agent_state& state, const flow_key& key,
                     agent_flow& flow, const char* reason, instant now,
                     pass_actions& out)
{
    if (flow.place_.hedged_)
    {
        // The first agent may still open the flow.
        return false;
    }
    flow.place_.visits_.push_back({state.settings_.host_, unavailable_backlog});
    return forward_to_next_candidate(state, key, flow, reason, now, out);
}

void decide_opening(pass_agent_state& state, const flow_key& key, instant now,
                    pass_actions& out)
{
    agent_flow& flow = state.flows_.at(key);
    const rejection_reason why = rejection_reason_for(state, flow.place_, now);
    if (why == rejection_reason::none)
    {
        offer(state, key, flow, now, out);
        return;
    }
    if (flow.place_.candidates_exhausted_)
    {
        if (is_full(why))
        {
            queue_or_refuse(state, key, flow, now, out);
            return;
        }
        refuse(state, key, flow, to_string(why), now, out);
        return;
    }
    forward_or_queue(state, key, flow, why, now, out);
}

bool pass_on_hedge(const pass_agent_state& state, const place_message& message,
                   const segment_header& opening, instant now,
                   pass_actions& out)
{
    const auto existing = state.flows_.find(opening.flow_);
    const bool known = existing != state.flows_.end() &&
                       existing->second.opening_sequence_ == opening.sequence_;
    const rejection_reason why = rejection_reason_for(state, message, now);
    if (!known && why == rejection_reason::none)
    {
        return false;
    }
    agent_flow unplaced;
    unplaced.place_ = message;
    unplaced.opening_sequence_ = opening.sequence_;
    unplaced.attempt_started_at_ = now - message.age_;
    auto& candidates = unplaced.place_.candidates_;
    candidates.erase(std::remove(candidates.begin(), candidates.end(),
                                 state.settings_.host_),
                     candidates.end());
    const char* reason = known ? "known_flow" : to_string(why);
    if (candidates.empty())
    {
        add_decision(out, state, opening.flow_, unplaced, "hedge_dropped",
                     reason, now, false);
        return true;
    }
    const host_address next = candidates.front();
    candidates.erase(candidates.begin());
    add_decision(out, state, opening.flow_, unplaced, "passed_on", reason, now,
                 false, next);
    out.send_to_peer(next, std::move(unplaced.place_));
    return true;
}

void offer_queued(pass_agent_state& state, instant now, pass_actions& out)
{
    while (!state.queue_.empty() && accepts_new_flows(state, now) &&
           state.in_flight_ < max_in_flight(state, now) &&
           !is_cold_limited(state, now))
    {
        const auto best =
            std::min_element(state.queue_.begin(), state.queue_.end(),
                             [&](const flow_key& a, const flow_key& b) {
                                 return precedes(state, state.flows_.at(a),
                                                 state.flows_.at(b), now);
                             });
        const flow_key key = *best;
        state.queue_.erase(best);
        offer(state, key, state.flows_.at(key), now, out);
    }
}

void reroute_queued(pass_agent_state& state, instant now, pass_actions& out)
{
    const std::vector<flow_key> keys = std::move(state.queue_);
    state.queue_.clear();
    for (const flow_key& key : keys)
    {
        agent_flow& flow = state.flows_.at(key);
        // Without its visit, this agent can't be the least loaded one.
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

namespace
{

// Forwards a retransmission to the agent that got an earlier transmission. Two
// agents can each have forwarded a transmission to the other, so the number of
// forwards is limited.
void forward_retransmission(const pass_agent_state& state,
                            const agent_flow& flow,
                            const place_message& message,
                            const segment_header& opening, instant now,
                            pass_actions& out)
{
    if (message.forwards_ >= pvt::max_hops)
    {
        pvt::add_decision(out, state, opening.flow_, flow, "dropped",
                          "too_many_hops", now, true, flow.moved_to_);
        return;
    }
    place_message forwarded = message;
    ++forwarded.forwards_;
    out.send_to_peer(flow.moved_to_, std::move(forwarded));
}

// Sends the retransmission of a segment that the upstream has got, unless the
// upstream may get no more opening segments.
void resend_opening(pass_agent_state& state, const agent_flow& flow,
                    const place_message& message, const segment_header& opening,
                    instant now, pass_actions& out)
{
    const char* barred = pvt::is_evacuated(state)           ? "evacuated"
                         : pvt::is_cold_limited(state, now) ? "cold_limit"
                                                            : nullptr;
    if (barred != nullptr)
    {
        pvt::divert_retransmission(state, flow, message, opening, barred, now,
                                   out);
        return;
    }
    pvt::send_opening(state, message.packet_, now, out);
}

// Drops a segment that may have waited during a pause of this process.
void drop_after_pause(const pass_agent_state& state,
                      const place_message& message,
                      const segment_header& opening, instant now,
                      pass_actions& out)
{
    agent_flow unplaced;
    unplaced.opening_sequence_ = opening.sequence_;
    unplaced.attempt_started_at_ = now - message.age_;
    pvt::add_decision(out, state, opening.flow_, unplaced, "dropped",
                      "process_paused", now, true, message.balancer_);
}

} // namespace

void handle_place(pass_agent_state& state, const place_message& message,
                  const segment_header& opening, instant now, pass_actions& out)
{
    const flow_key& key = opening.flow_;
    if (pvt::note_attention(state, now))
    {
        drop_after_pause(state, message, opening, now, out);
        return;
    }
    if (message.hedged_ &&
        pvt::pass_on_hedge(state, message, opening, now, out))
    {
        return;
    }
    pvt::note_cold_rate(state, message);
    const auto existing = state.flows_.find(key);
    if (existing != state.flows_.end() &&
        existing->second.opening_sequence_ == opening.sequence_)
    {
        agent_flow& flow = existing->second;
        flow.last_active_ = now;
        switch (flow.phase_)
        {
        case pass_phase::queued:
            // The segment is queued already.
            return;
        case pass_phase::opening:
        case pass_phase::open:
            resend_opening(state, flow, message, opening, now, out);
            return;
        case pass_phase::refused:
            if (flow.place_.earlier_agent_ != host_address())
            {
                // No reset was sent, so the segment is decided anew.
                break;
            }
            // The caller sent this before the reset arrived, or the reset was
            // lost.
            out.send_reset(key, 0);
            return;
        case pass_phase::ended:
            if (flow.upstream_sequence_)
            {
                return;
            }
            // The upstream did not answer, so the segment is decided anew.
            break;
        case pass_phase::unknown_to_upstream:
            break;
        case pass_phase::moved:
            if (message.visits_.empty() && !message.candidates_exhausted_)
            {
                forward_retransmission(state, flow, message, opening, now, out);
                return;
            }
            // The segment has returned, because no other agent had a free slot.
            break;
        }
    }
    if (existing != state.flows_.end())
    {
        pvt::set_occupies_slot(state, existing->second, false);
        pvt::remove_from_queue(state, key);
    }
    agent_flow flow;
    flow.place_ = message;
    flow.opening_sequence_ = opening.sequence_;
    flow.attempt_started_at_ = now - message.age_;
    flow.data_end_ = opening.sequence_ + 1;
    flow.last_active_ = now;
    state.flows_[key] = std::move(flow);
    pvt::decide_opening(state, key, now, out);
}

} // namespace galenafork
