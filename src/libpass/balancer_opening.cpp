/// \file
/// A balancer's decisions about opening segments: which agent gets one first,
/// and which stay pending until an agent is usable.

#include <libpass/balancer_pvt.h>

#include <algorithm>
#include <array>
#include <utility>

namespace galenafork
{

namespace
{

struct scored_agent
{
    host_address host_;
    double load_ = 0;
};

// Keeps the `count` agents with the lowest load, in the order of their load.
void keep_best(std::vector<scored_agent>& agents, std::size_t count)
{
    const std::size_t kept = std::min(count, agents.size());
    std::partial_sort(agents.begin(),
                      agents.begin() + static_cast<std::ptrdiff_t>(kept),
                      agents.end(),
                      [](const scored_agent& a, const scored_agent& b)
                      { return a.load_ < b.load_; });
    agents.resize(kept);
}

} // namespace

namespace pvt
{

namespace
{

// Times after the start of an attempt at which callers send the opening
// segment.
constexpr std::array<duration, 3> retransmission_ages = {
    duration(0), std::chrono::milliseconds(200),
    std::chrono::milliseconds(600)};

// Returns the minimum time since the caller's attempt started, given the
// segment's retransmission count. After an outage most segments are
// retransmissions whose answer will be late. If they counted as new, they would
// displace segments that can still be answered in time.
duration min_age(const segment_header& opening)
{
    return retransmission_ages[std::min<std::size_t>(
        opening.ack_number_, retransmission_ages.size() - 1)];
}

struct opening_context
{
    const pass_rule& rule_;
    byte_view bytes_;
    duration age_{0};
    host_address earlier_agent_;
    bool hedged_ = false;
};

// Returns whether a usable agent of `service` has a load below the limit for
// pending segments.
bool has_capacity(const pass_balancer_state& state, const service_name& service,
                  instant now)
{
    const auto& hosts = placement_targets(state, service, now);
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](host_address host)
                       {
                           const agent_record& agent = state.agents_.at(host);
                           return is_usable(state, agent, now) &&
                                  load_of(state, agent) <
                                      state.settings_.max_load_for_pending_;
                       });
}

// Returns the message for an opening segment, without candidates.
place_message make_place_message(const pass_balancer_state& state,
                                 const service_name& service,
                                 const opening_context& context)
{
    place_message message;
    message.packet_.assign(context.bytes_.data_,
                           context.bytes_.data_ + context.bytes_.size_);
    message.service_ = service;
    message.version_ = state.rules_->version_;
    message.balancer_ = state.settings_.host_;
    message.priority_ = context.rule_.priority_;
    message.idempotent_ = context.rule_.idempotent_;
    message.age_ = context.age_;
    message.latency_target_ = context.rule_.latency_target_;
    const auto cold_rate = state.rules_->cold_rates_.find(service);
    if (cold_rate != state.rules_->cold_rates_.end())
    {
        message.cold_rate_ = cold_rate->second;
    }
    message.hedgeable_ = is_hedging(state) && context.rule_.idempotent_;
    return message;
}

// Returns whether the agent has sent no status within the timeout that applies
// to retransmissions.
bool is_timed_out(const pass_balancer_state& state, host_address host,
                  instant now)
{
    const auto it = state.agents_.find(host);
    return it == state.agents_.end() ||
           now - it->second.last_status_at_ >
               state.settings_.retransmit_agent_timeout_;
}

// Returns whether an agent may get a hedge: according to its last status its
// upstream is warm and has a free slot. A hedge that has to wait, or that a
// slow upstream serves, gains nothing.
bool can_take_hedge(const pass_balancer_state& state, host_address host,
                    instant now)
{
    const agent_record& agent = state.agents_.at(host);
    return !is_timed_out(state, host, now) &&
           agent.status_.cold_remaining_ <= duration(0) &&
           agent.status_.in_flight_ + agent.status_.queued_ <
               agent.status_.slots_.value();
}

// Returns why the segment is placed again; empty for its first placement.
const char* reason_for_placement(const pass_balancer_state& state,
                                 const opening_context& context)
{
    if (context.earlier_agent_ == host_address())
    {
        return "";
    }
    if (context.hedged_)
    {
        return "caller_waits";
    }
    return is_evacuated(state, context.earlier_agent_) ? "evacuated"
                                                       : "agent_timed_out";
}

// Sends an opening segment to the best agent. Returns false if there is none.
bool place_opening(pass_balancer_state& state, const segment_header& s,
                   const opening_context& context, instant now,
                   pass_actions& out)
{
    const service_name& service = service_for(context.rule_, s.flow_);
    std::vector<host_address> candidates = candidates_for(state, service, now);
    candidates.erase(std::remove(candidates.begin(), candidates.end(),
                                 context.earlier_agent_),
                     candidates.end());
    if (context.hedged_)
    {
        candidates.erase(
            std::remove_if(candidates.begin(), candidates.end(),
                           [&](host_address host)
                           { return !can_take_hedge(state, host, now); }),
            candidates.end());
    }
    if (candidates.empty())
    {
        return false;
    }
    place_message message = make_place_message(state, service, context);
    message.earlier_agent_ = context.earlier_agent_;
    message.hedged_ = context.hedged_;
    const host_address first = candidates.front();
    candidates.erase(candidates.begin());
    message.candidates_ = std::move(candidates);
    ++state.agents_.at(first).placed_since_status_;
    if (!context.hedged_)
    {
        balancer_flow& flow = state.flows_[s.flow_];
        if (flow.opening_sequence_ != s.sequence_ ||
            flow.attempt_started_at_ == instant())
        {
            state.searches_.erase(s.flow_);
            flow = balancer_flow();
            flow.opening_sequence_ = s.sequence_;
            flow.attempt_started_at_ = now - context.age_;
        }
        flow.owner_ = first;
        flow.queued_ = false;
        flow.last_active_ = now;
    }
    add_decision(out, context.hedged_ ? "hedged" : "placed",
                 reason_for_placement(state, context), s, first, false, state,
                 now);
    out.send_to_peer(first, std::move(message));
    const bool is_first = context.earlier_agent_ == host_address();
    if (is_hedging(state) && is_first && context.rule_.idempotent_ &&
        s.ack_number_ == 0)
    {
        track_opening(state.hedging_, state.settings_.hedging_, s,
                      context.bytes_, first, now);
    }
    return true;
}

void add_pending(pass_balancer_state& state, const segment_header& s,
                 byte_view bytes, instant now, pass_actions& out)
{
    if (state.pending_flows_.count(s.flow_) != 0)
    {
        return;
    }
    if (state.pending_openings_.size() >= state.settings_.max_pending_openings_)
    {
        add_decision(out, "refused", "too_many_pending", s, {}, true, state,
                     now);
        out.send_reset(s.flow_, 0);
        return;
    }
    state.pending_flows_.insert(s.flow_);
    state.pending_openings_.push_back(
        {s, {bytes.data_, bytes.data_ + bytes.size_}, now - min_age(s)});
    add_decision(out, "waiting", state.rules_ ? "no_agent" : "no_rules", s, {},
                 true, state, now);
}

void refuse_without_rule(pass_balancer_state& state, const segment_header& s,
                         instant now, pass_actions& out)
{
    ++state.refused_no_rule_;
    add_decision(out, "refused", "no_rule", s, {}, true, state, now);
    out.send_reset(s.flow_, 0);
}

// Places or refuses one pending segment. Returns false if the segment stays
// pending. `full_services` collects services without capacity, so that each is
// checked only once.
bool place_or_refuse_pending(pass_balancer_state& state,
                             const pending_opening& pending,
                             std::vector<service_name>& full_services,
                             instant now, pass_actions& out)
{
    const duration age =
        std::chrono::duration_cast<duration>(now - pending.attempt_started_at_);
    if (age > state.settings_.max_opening_wait_)
    {
        add_decision(out, "refused", "waited_too_long", pending.segment_, {},
                     true, state, now);
        out.send_reset(pending.segment_.flow_, 0);
        return true;
    }
    if (!state.rules_)
    {
        return false;
    }
    const pass_rule* rule = rule_for(state, pending.segment_.flow_);
    if (rule == nullptr)
    {
        refuse_without_rule(state, pending.segment_, now, out);
        return true;
    }
    const service_name& service = service_for(*rule, pending.segment_.flow_);
    if (std::find(full_services.begin(), full_services.end(), service) !=
        full_services.end())
    {
        return false;
    }
    if (!has_capacity(state, service, now))
    {
        full_services.push_back(service);
        return false;
    }
    return place_opening(state, pending.segment_,
                         {*rule,
                          {pending.packet_.data(), pending.packet_.size()},
                          age,
                          {},
                          false},
                         now, out);
}

// Handles an opening segment for which there is no agent.
void handle_unplaced(pass_balancer_state& state, const segment_header& s,
                     const opening_context& context, instant now,
                     pass_actions& out)
{
    if (is_evacuated(state, context.earlier_agent_))
    {
        // The agent may have opened the flow before the evacuation; a pending
        // segment would end in a reset of the flow.
        add_decision(out, "dropped", "evacuated", s, context.earlier_agent_,
                     true, state, now);
        return;
    }
    add_pending(state, s, context.bytes_, now, out);
}

// Returns the message with a retransmission for `receiver`, the agent that got
// the first transmission.
place_message make_retransmission(pass_balancer_state& state,
                                  const segment_header& s,
                                  const opening_context& context,
                                  host_address receiver, instant now)
{
    place_message message =
        make_place_message(state, service_for(context.rule_, s.flow_), context);
    message.candidates_ = candidates_for(state, message.service_, now);
    remove_from(message.candidates_, receiver);
    message.earlier_agent_ = context.earlier_agent_;
    return message;
}

} // namespace

bool place_hedge(pass_balancer_state& state, const tracked_opening& opening,
                 instant now, pass_actions& out)
{
    const segment_header& s = opening.segment_;
    const balancer_flow& flow = state.flows_.at(s.flow_);
    const pass_rule* rule = rule_for(state, s.flow_);
    if (rule == nullptr || !rule->idempotent_)
    {
        return false;
    }
    const opening_context context{
        *rule,
        {opening.packet_.data(), opening.packet_.size()},
        std::chrono::duration_cast<duration>(now - flow.attempt_started_at_),
        flow.owner_,
        true};
    return place_opening(state, s, context, now, out);
}

void handle_opening(pass_balancer_state& state, const segment_header& s,
                    byte_view bytes, instant now, pass_actions& out)
{
    if (state.resuming_)
    {
        add_decision(out, "dropped", "process_paused", s, {}, true, state, now);
        return;
    }
    if (!state.rules_)
    {
        // The balancer has no rules yet, so there may be one for the address.
        add_pending(state, s, bytes, now, out);
        return;
    }
    const pass_rule* rule = rule_for(state, s.flow_);
    if (rule == nullptr)
    {
        refuse_without_rule(state, s, now, out);
        return;
    }
    const auto existing = state.flows_.find(s.flow_);
    opening_context context{*rule, bytes, min_age(s), {}, false};
    if (existing != state.flows_.end() &&
        existing->second.opening_sequence_ == s.sequence_ &&
        existing->second.owner_ != host_address())
    {
        // Unless it has timed out, the agent of the first transmission gets the
        // retransmission, because it may have queued or offered the segment
        // already.
        const host_address owner = existing->second.owner_;
        // After a hedge the first agent may open the flow even if the owner
        // refuses the segment.
        const host_address first = note_retransmission(state.hedging_, s);
        if (first != owner)
        {
            context.earlier_agent_ = first;
        }
        context.age_ = std::max(
            context.age_, std::chrono::duration_cast<duration>(
                              now - existing->second.attempt_started_at_));
        const bool delayed_here = now - existing->second.last_active_ <
                                  state.settings_.min_retransmit_gap_;
        // A segment that is queued in an evacuated data centre is sent on or
        // refused by its agent.
        if ((!delayed_here && is_timed_out(state, owner, now)) ||
            (!existing->second.queued_ && is_evacuated(state, owner)))
        {
            context.earlier_agent_ = owner;
        }
        else if (existing->second.queued_)
        {
            // The segment is queued at its agent already. A retransmission
            // would be ignored there and only add to the agent's messages.
            add_decision(out, "retransmission_dropped", "held", s, owner, false,
                         state, now);
            return;
        }
        else
        {
            existing->second.last_active_ = now;
            add_decision(out, "retransmission_sent", "", s, owner, false, state,
                         now);
            out.send_to_peer(
                owner, make_retransmission(state, s, context, owner, now));
            return;
        }
    }
    if (!place_opening(state, s, context, now, out))
    {
        handle_unplaced(state, s, context, now, out);
    }
}

void place_pending(pass_balancer_state& state, instant now, pass_actions& out)
{
    std::vector<pending_opening> openings = std::move(state.pending_openings_);
    state.pending_openings_.clear();
    std::vector<service_name> full_services;
    for (pending_opening& pending : openings)
    {
        if (place_or_refuse_pending(state, pending, full_services, now, out))
        {
            state.pending_flows_.erase(pending.segment_.flow_);
        }
        else
        {
            state.pending_openings_.push_back(std::move(pending));
        }
    }
}

} // namespace pvt

void note_attention(pass_balancer_state& state, instant now, pass_actions& out)
{
    const bool was_paused =
        state.last_attended_at_ &&
        now - *state.last_attended_at_ > state.settings_.max_unattended_;
    state.last_attended_at_ = now;
    if (!was_paused)
    {
        return;
    }
    state.resuming_ = true;
    for (const pending_opening& pending : state.pending_openings_)
    {
        pvt::add_decision(out, "dropped", "process_paused", pending.segment_,
                          {}, true, state, now);
    }
    state.pending_openings_.clear();
    state.pending_flows_.clear();
}

void note_caught_up(pass_balancer_state& state)
{
    state.resuming_ = false;
}

std::vector<host_address> candidates_for(pass_balancer_state& state,
                                         const service_name& service,
                                         instant now)
{
    std::vector<scored_agent> near;
    std::vector<scored_agent> far;
    std::uniform_real_distribution<double> jitter(0.0,
                                                  state.settings_.load_jitter_);
    for (const host_address host : pvt::placement_targets(state, service, now))
    {
        const agent_record& agent = state.agents_.at(host);
        if (!pvt::is_usable(state, agent, now))
        {
            continue;
        }
        (pvt::is_near(state, agent) ? near : far)
            .push_back(
                {host, pvt::load_of(state, agent) + jitter(state.random_)});
    }
    keep_best(near, state.settings_.max_near_candidates_);
    keep_best(far, state.settings_.max_far_candidates_);
    near.insert(near.end(), far.begin(), far.end());
    std::vector<host_address> result;
    result.reserve(near.size());
    for (const scored_agent& agent : near)
    {
        result.push_back(agent.host_);
    }
    return result;
}

} // namespace galenafork
