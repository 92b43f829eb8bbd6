/// \file
/// Where an opening segment is sent first, and what waits for an agent.

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

// Callers send copies of an opening segment this long after the first one.
constexpr std::array<duration, 3> copy_ages = {duration(0),
                                               std::chrono::milliseconds(200),
                                               std::chrono::milliseconds(600)};

// Time since the caller's attempt began, at least. After an outage most
// segments are copies whose answer will be late: as first ones they would take
// the place of those that can still be answered in time.
duration least_age(const segment_header& opening)
{
    return copy_ages[std::min<std::size_t>(opening.ack_number_,
                                           copy_ages.size() - 1)];
}

struct opening_context
{
    const pass_rule& rule_;
    byte_view bytes_;
    duration age_{0};
    host_address earlier_;
};

bool has_room(const pass_balancer_state& state, const service_name& service,
              instant now)
{
    const auto hosts = state.services_.find(service);
    return hosts != state.services_.end() &&
           std::any_of(hosts->second.begin(), hosts->second.end(),
                       [&](host_address host)
                       {
                           const agent_record& agent = state.agents_.at(host);
                           return is_usable(state, agent, now) &&
                                  load_of(state, agent) <
                                      state.settings_.max_load_for_pending_;
                       });
}

// Sends an opening segment to the best agent. False if there is none.
bool place(pass_balancer_state& state, const segment_header& s,
           const opening_context& context, instant now, pass_actions& out)
{
    const service_name& service = service_for(context.rule_, s.flow_);
    std::vector<host_address> candidates = candidates_for(state, service, now);
    candidates.erase(
        std::remove(candidates.begin(), candidates.end(), context.earlier_),
        candidates.end());
    if (candidates.empty())
    {
        return false;
    }
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
    message.earlier_agent_ = context.earlier_;
    const host_address first = candidates.front();
    candidates.erase(candidates.begin());
    message.candidates_ = std::move(candidates);
    ++state.agents_.at(first).placed_since_status_;
    balancer_flow& flow = state.flows_[s.flow_];
    if (flow.opening_sequence_ != s.sequence_ ||
        flow.first_copy_at_ == instant())
    {
        flow = balancer_flow();
        flow.opening_sequence_ = s.sequence_;
        flow.first_copy_at_ = now - context.age_;
    }
    flow.owner_ = first;
    flow.queued_ = false;
    flow.last_active_ = now;
    note(out, "placed",
         context.earlier_ == host_address() ? "" : "silent_agent", s, first,
         false, state, now);
    out.send_to_peer(first, std::move(message));
    return true;
}

bool is_silent(const pass_balancer_state& state, host_address host, instant now)
{
    const auto it = state.agents_.find(host);
    return it == state.agents_.end() ||
           now - it->second.last_heard_ >
               state.settings_.retransmit_agent_timeout_;
}

void wait_for_agent(pass_balancer_state& state, const segment_header& s,
                    byte_view bytes, instant now, pass_actions& out)
{
    if (state.pending_flows_.count(s.flow_) != 0)
    {
        return;
    }
    if (state.pending_openings_.size() >= state.settings_.max_pending_openings_)
    {
        note(out, "refused", "too_many_waiting", s, {}, true, state, now);
        out.send_reset(s.flow_, 0);
        return;
    }
    state.pending_flows_.insert(s.flow_);
    state.pending_openings_.push_back(
        {s, {bytes.data_, bytes.data_ + bytes.size_}, now - least_age(s)});
    note(out, "waiting", state.rules_ ? "no_agent" : "no_rules", s, {}, true,
         state, now);
}

void refuse_without_rule(pass_balancer_state& state, const segment_header& s,
                         instant now, pass_actions& out)
{
    ++state.refused_no_rule_;
    note(out, "refused", "no_rule", s, {}, true, state, now);
    out.send_reset(s.flow_, 0);
}

// Places or refuses one waiting segment; false if it goes on waiting.
// `full` collects services without room, so that each is looked at once.
bool settle_waiting(pass_balancer_state& state, const pending_opening& w,
                    std::vector<service_name>& full, instant now,
                    pass_actions& out)
{
    const duration age =
        std::chrono::duration_cast<duration>(now - w.first_copy_at_);
    if (age > state.settings_.max_opening_wait_)
    {
        note(out, "refused", "waited_too_long", w.segment_, {}, true, state,
             now);
        out.send_reset(w.segment_.flow_, 0);
        return true;
    }
    if (!state.rules_)
    {
        return false;
    }
    const pass_rule* rule = rule_for(state, w.segment_.flow_);
    if (rule == nullptr)
    {
        refuse_without_rule(state, w.segment_, now, out);
        return true;
    }
    const service_name& service = service_for(*rule, w.segment_.flow_);
    if (std::find(full.begin(), full.end(), service) != full.end())
    {
        return false;
    }
    if (!has_room(state, service, now))
    {
        full.push_back(service);
        return false;
    }
    return place(state, w.segment_,
                 {*rule, {w.packet_.data(), w.packet_.size()}, age, {}}, now,
                 out);
}

} // namespace

void take_opening(pass_balancer_state& state, const segment_header& s,
                  byte_view bytes, instant now, pass_actions& out)
{
    if (!state.rules_)
    {
        // Just started: whether there is a rule is not known yet.
        wait_for_agent(state, s, bytes, now, out);
        return;
    }
    const pass_rule* rule = rule_for(state, s.flow_);
    if (rule == nullptr)
    {
        refuse_without_rule(state, s, now, out);
        return;
    }
    const auto known = state.flows_.find(s.flow_);
    opening_context context{*rule, bytes, least_age(s), {}};
    if (known != state.flows_.end() &&
        known->second.opening_sequence_ == s.sequence_ &&
        known->second.owner_ != host_address())
    {
        // A copy: its agent knows whether the first one waits there. Only if
        // that agent has fallen silent does the copy go elsewhere.
        const host_address owner = known->second.owner_;
        context.age_ =
            std::max(context.age_, std::chrono::duration_cast<duration>(
                                       now - known->second.first_copy_at_));
        const bool waited_here = now - known->second.last_active_ <
                                 state.settings_.min_retransmit_gap_;
        if (!waited_here && is_silent(state, owner, now))
        {
            context.earlier_ = owner;
        }
        else if (known->second.queued_)
        {
            // It waits there already: another copy would tell its agent
            // nothing, and in a queue's time there are two of each.
            note(out, "copy_dropped", "held", s, owner, false, state, now);
            return;
        }
        else
        {
            place_message copy;
            copy.packet_.assign(bytes.data_, bytes.data_ + bytes.size_);
            copy.service_ = service_for(*rule, s.flow_);
            copy.version_ = state.rules_->version_;
            copy.balancer_ = state.settings_.host_;
            copy.priority_ = rule->priority_;
            copy.idempotent_ = rule->idempotent_;
            copy.age_ = context.age_;
            copy.latency_target_ = rule->latency_target_;
            copy.candidates_ = candidates_for(state, copy.service_, now);
            known->second.last_active_ = now;
            note(out, "copy_sent", "", s, owner, false, state, now);
            out.send_to_peer(owner, std::move(copy));
            return;
        }
    }
    if (!place(state, s, context, now, out))
    {
        wait_for_agent(state, s, bytes, now, out);
    }
}

void place_waiting(pass_balancer_state& state, instant now, pass_actions& out)
{
    std::vector<pending_opening> waiting = std::move(state.pending_openings_);
    state.pending_openings_.clear();
    std::vector<service_name> full;
    for (pending_opening& w : waiting)
    {
        if (settle_waiting(state, w, full, now, out))
        {
            state.pending_flows_.erase(w.segment_.flow_);
        }
        else
        {
            state.pending_openings_.push_back(std::move(w));
        }
    }
}

} // namespace pvt

std::vector<host_address> candidates_for(pass_balancer_state& state,
                                         const service_name& service,
                                         instant now)
{
    std::vector<scored_agent> near;
    std::vector<scored_agent> far;
    std::uniform_real_distribution<double> jitter(0.0,
                                                  state.settings_.load_jitter_);
    const auto hosts = state.services_.find(service);
    if (hosts == state.services_.end())
    {
        return {};
    }
    for (const host_address host : hosts->second)
    {
        const agent_record& agent = state.agents_.at(host);
        if (!pvt::is_usable(state, agent, now))
        {
            continue;
        }
        const bool is_near =
            agent.status_.data_centre_ == state.settings_.data_centre_;
        (is_near ? near : far)
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
