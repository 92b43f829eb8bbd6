#include <galenafork/pass_balancer.h>

#include <algorithm>
#include <array>
#include <utility>

namespace galenafork
{

namespace
{

void note(pass_actions& out, const char* event, const char* reason,
          const segment& s, host_address host, bool important,
          const pass_balancer_state& state, instant now)
{
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = reason;
    decision.flow_ = s.flow_;
    decision.opening_ = s.opens_ ? s.sequence_ : 0;
    decision.host_ = host;
    decision.important_ = important;
    if (state.rules_)
    {
        decision.version_ = state.rules_->version_;
    }
    const auto agent = state.agents_.find(host);
    if (agent != state.agents_.end())
    {
        decision.busy_ = agent->second.status_.busy_;
        decision.held_ = agent->second.status_.held_;
        decision.age_ =
            std::chrono::duration_cast<duration>(now - agent->second.heard_);
    }
    out.decisions_.push_back(decision);
}

bool is_usable(const pass_balancer_state& state, const known_agent& agent,
               instant now)
{
    return agent.heard_once_ && agent.status_.accepting_ &&
           now - agent.heard_ < state.settings_.agent_silence_;
}

double load_of(const pass_balancer_state& state, const known_agent& agent)
{
    const double speed = agent.status_.cold_for_ > duration(0)
                             ? state.settings_.cold_speed_
                             : 1.0;
    return (agent.status_.busy_ + agent.status_.held_ + agent.placed_) /
           (agent.status_.slots_.value() * speed);
}

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

const pass_rule* rule_for(const pass_balancer_state& state,
                          const flow_key& flow)
{
    if (!state.rules_)
    {
        return nullptr;
    }
    const auto it = state.rules_->rules_.find(flow.service_address_);
    return it == state.rules_->rules_.end() ? nullptr : &it->second;
}

// Callers send copies of an opening segment this long after the first one.
constexpr std::array<duration, 3> copy_ages = {duration(0),
                                               std::chrono::milliseconds(200),
                                               std::chrono::milliseconds(600)};

// Time since the caller's attempt began, at least. After an outage most
// segments are copies whose answer will be late: as first ones they would take
// the place of those that can still be answered in time.
duration least_age(const segment& opening)
{
    return copy_ages[std::min<std::size_t>(opening.acknowledged_,
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
                           const known_agent& agent = state.agents_.at(host);
                           return is_usable(state, agent, now) &&
                                  load_of(state, agent) <
                                      state.settings_.waiting_load_;
                       });
}

// Sends an opening segment to the best agent. False if there is none.
bool place(pass_balancer_state& state, const segment& s,
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
    message.earlier_ = context.earlier_;
    const host_address first = candidates.front();
    candidates.erase(candidates.begin());
    message.candidates_ = std::move(candidates);
    ++state.agents_.at(first).placed_;
    balancer_flow& flow = state.flows_[s.flow_];
    if (flow.opening_ != s.sequence_ || flow.began_ == instant())
    {
        flow = balancer_flow();
        flow.opening_ = s.sequence_;
        flow.began_ = now - context.age_;
    }
    flow.owner_ = first;
    flow.held_ = false;
    flow.last_ = now;
    note(out, "placed",
         context.earlier_ == host_address() ? "" : "silent_agent", s, first,
         false, state, now);
    out.to_peer(first, std::move(message));
    return true;
}

bool is_silent(const pass_balancer_state& state, host_address host, instant now)
{
    const auto it = state.agents_.find(host);
    return it == state.agents_.end() ||
           now - it->second.heard_ > state.settings_.copy_silence_;
}

void wait_for_agent(pass_balancer_state& state, const segment& s,
                    byte_view bytes, instant now, pass_actions& out)
{
    if (state.waiting_flows_.count(s.flow_) != 0)
    {
        return;
    }
    if (state.waiting_.size() >= state.settings_.max_waiting_)
    {
        note(out, "refused", "too_many_waiting", s, {}, true, state, now);
        out.reset(s.flow_, 0);
        return;
    }
    state.waiting_flows_.insert(s.flow_);
    state.waiting_.push_back(
        {s, {bytes.data_, bytes.data_ + bytes.size_}, now - least_age(s)});
    note(out, "waiting", state.rules_ ? "no_agent" : "no_rules", s, {}, true,
         state, now);
}

void refuse_without_rule(pass_balancer_state& state, const segment& s,
                         instant now, pass_actions& out)
{
    ++state.refused_no_rule_;
    note(out, "refused", "no_rule", s, {}, true, state, now);
    out.reset(s.flow_, 0);
}

void take_opening(pass_balancer_state& state, const segment& s, byte_view bytes,
                  instant now, pass_actions& out)
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
    if (known != state.flows_.end() && known->second.opening_ == s.sequence_ &&
        known->second.owner_ != host_address())
    {
        // A copy: its agent knows whether the first one waits there. Only if
        // that agent has fallen silent does the copy go elsewhere.
        const host_address owner = known->second.owner_;
        context.age_ = std::max(
            context.age_,
            std::chrono::duration_cast<duration>(now - known->second.began_));
        if (is_silent(state, owner, now))
        {
            context.earlier_ = owner;
        }
        else if (known->second.held_)
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
            known->second.last_ = now;
            note(out, "copy_sent", "", s, owner, false, state, now);
            out.to_peer(owner, std::move(copy));
            return;
        }
    }
    if (!place(state, s, context, now, out))
    {
        wait_for_agent(state, s, bytes, now, out);
    }
}

// The agent's upstream may hold the flow.
bool may_own(const pass_balancer_state& state, const known_agent& agent,
             const flow_key& flow, instant now)
{
    if (now - agent.heard_ > state.settings_.agent_gone_)
    {
        return false;
    }
    const pass_rule* rule = rule_for(state, flow);
    return !agent.heard_once_ || rule == nullptr ||
           std::any_of(rule->services_.begin(), rule->services_.end(),
                       [&](const pass_service_share& share)
                       { return share.service_ == agent.status_.service_; });
}

// Every agent that may have the flow has said that it does not: its upstream
// ended. Callers that may repeat do so at once instead of waiting for their
// deadline.
bool is_lost(const pass_balancer_state& state, const flow_key& key,
             const balancer_flow& flow, instant now)
{
    return state.members_complete_ &&
           std::all_of(
               state.agents_.begin(), state.agents_.end(),
               [&](const auto& entry)
               {
                   const bool denied =
                       std::find(flow.denials_.begin(), flow.denials_.end(),
                                 entry.first) != flow.denials_.end();
                   return denied || !may_own(state, entry.second, key, now);
               });
}

// Only the owner among the asked agents passes the segment on, so a question
// puts nothing before strangers.
void locate(pass_balancer_state& state, const segment& s, byte_view bytes,
            host_address except, instant now, pass_actions& out)
{
    balancer_flow& flow = state.flows_[s.flow_];
    if (flow.located_ != instant() &&
        now - flow.located_ < state.settings_.locate_interval_)
    {
        return;
    }
    flow.located_ = now;
    flow.last_ = now;
    flow.owner_ = host_address();
    flow.caller_expects_ = s.acknowledged_;
    flow.denials_.clear();
    if (except != host_address())
    {
        flow.denials_.push_back(except);
    }
    std::vector<host_address> asked;
    for (const auto& [host, agent] : state.agents_)
    {
        if (host != except && may_own(state, agent, s.flow_, now))
        {
            asked.push_back(host);
        }
    }
    out.to_peers(asked, locate_message{{bytes.data_, bytes.data_ + bytes.size_},
                                       state.settings_.host_});
    note(out, "locating", "unknown_flow", s, except, true, state, now);
}

// Places or refuses one waiting segment; false if it goes on waiting.
// `full` collects services without room, so that each is looked at once.
bool settle_waiting(pass_balancer_state& state, const waiting_opening& w,
                    std::vector<service_name>& full, instant now,
                    pass_actions& out)
{
    const duration age = std::chrono::duration_cast<duration>(now - w.since_);
    if (age > state.settings_.opening_wait_)
    {
        note(out, "refused", "waited_too_long", w.segment_, {}, true, state,
             now);
        out.reset(w.segment_.flow_, 0);
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

void place_waiting(pass_balancer_state& state, instant now, pass_actions& out)
{
    std::vector<waiting_opening> waiting = std::move(state.waiting_);
    state.waiting_.clear();
    std::vector<service_name> full;
    for (waiting_opening& w : waiting)
    {
        if (settle_waiting(state, w, full, now, out))
        {
            state.waiting_flows_.erase(w.segment_.flow_);
        }
        else
        {
            state.waiting_.push_back(std::move(w));
        }
    }
}

void remove_from(std::vector<host_address>& hosts, host_address host)
{
    hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
}

} // namespace

pass_balancer_state new_pass_balancer(const pass_balancer_settings& settings,
                                      std::uint32_t seed)
{
    pass_balancer_state state;
    state.settings_ = settings;
    state.random_.seed(seed);
    return state;
}

bool take_rules(pass_balancer_state& state,
                std::shared_ptr<const pass_rules> rules)
{
    if (state.rules_ && rules->version_ <= state.rules_->version_)
    {
        return false;
    }
    state.rules_ = std::move(rules);
    return true;
}

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
        const known_agent& agent = state.agents_.at(host);
        if (!is_usable(state, agent, now))
        {
            continue;
        }
        const bool is_near =
            agent.status_.data_centre_ == state.settings_.data_centre_;
        (is_near ? near : far)
            .push_back({host, load_of(state, agent) + jitter(state.random_)});
    }
    keep_best(near, state.settings_.near_candidates_);
    keep_best(far, state.settings_.far_candidates_);
    near.insert(near.end(), far.begin(), far.end());
    std::vector<host_address> result;
    result.reserve(near.size());
    for (const scored_agent& agent : near)
    {
        result.push_back(agent.host_);
    }
    return result;
}

void take_from_caller(pass_balancer_state& state, const segment& s,
                      byte_view bytes, instant now, pass_actions& out)
{
    if (s.opens_)
    {
        take_opening(state, s, bytes, now, out);
        return;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end() || it->second.owner_ == host_address())
    {
        locate(state, s, bytes, {}, now, out);
        return;
    }
    balancer_flow& flow = it->second;
    flow.last_ = now;
    flow.finished_ |= s.finishes_ || s.resets_;
    out.to_agent(flow.owner_, bytes);
}

void take_status(pass_balancer_state& state, const status_message& status,
                 instant now, pass_actions& out)
{
    known_agent& agent = state.agents_[status.host_];
    const bool usable_before = is_usable(state, agent, now);
    if (agent.status_.service_ != status.service_ || !agent.heard_once_)
    {
        remove_from(state.services_[agent.status_.service_], status.host_);
        state.services_[status.service_].push_back(status.host_);
    }
    agent.status_ = status;
    agent.heard_ = now;
    agent.heard_once_ = true;
    agent.placed_ = 0;
    const bool usable = is_usable(state, agent, now);
    if (usable != usable_before)
    {
        pass_decision decision;
        decision.event_ = usable ? "agent_usable" : "agent_unusable";
        decision.reason_ = to_string(status.state_);
        decision.host_ = status.host_;
        decision.busy_ = status.busy_;
        decision.held_ = status.held_;
        decision.important_ = true;
        out.decisions_.push_back(decision);
    }
    if (usable && !state.waiting_.empty())
    {
        place_waiting(state, now, out);
    }
}

void take_listed(pass_balancer_state& state, host_address agent, instant now)
{
    known_agent& known = state.agents_[agent];
    if (!known.heard_once_ && known.heard_ == instant())
    {
        known.heard_ = now;
    }
}

void take_moved(pass_balancer_state& state, const moved_message& message,
                instant now, pass_actions& out)
{
    const auto it = state.flows_.find(message.flow_);
    if (it == state.flows_.end())
    {
        return;
    }
    balancer_flow& flow = it->second;
    if (message.owner_ != host_address())
    {
        flow.owner_ = message.owner_;
        flow.held_ = message.held_;
        flow.last_ = now;
        return;
    }
    if (flow.owner_ != host_address() || flow.finished_)
    {
        return;
    }
    flow.denials_.push_back(message.sender_);
    if (is_lost(state, message.flow_, flow, now))
    {
        segment about;
        about.flow_ = message.flow_;
        note(out, "reset", "no_agent_has_it", about, {}, true, state, now);
        out.reset(message.flow_, flow.caller_expects_);
        flow.finished_ = true;
    }
}

void take_handed_back(pass_balancer_state& state, const locate_message& message,
                      const segment& s, instant now, pass_actions& out)
{
    const byte_view bytes{message.packet_.data(), message.packet_.size()};
    const auto it = state.flows_.find(s.flow_);
    const bool moved_on = it != state.flows_.end() &&
                          it->second.owner_ != host_address() &&
                          it->second.owner_ != message.balancer_;
    if (moved_on)
    {
        out.to_agent(it->second.owner_, bytes);
        return;
    }
    locate(state, s, bytes, message.balancer_, now, out);
}

void take_tick(pass_balancer_state& state, instant now, pass_actions& out)
{
    for (auto it = state.flows_.begin(); it != state.flows_.end();)
    {
        const duration limit = it->second.finished_
                                   ? state.settings_.flow_linger_
                                   : state.settings_.flow_idle_;
        it = now - it->second.last_ > limit ? state.flows_.erase(it)
                                            : std::next(it);
    }
    if (!state.waiting_.empty())
    {
        place_waiting(state, now, out);
    }
}

std::size_t live_agents(const pass_balancer_state& state, instant now)
{
    return static_cast<std::size_t>(std::count_if(
        state.agents_.begin(), state.agents_.end(),
        [&](const auto& entry)
        {
            return entry.second.heard_once_ &&
                   now - entry.second.heard_ < state.settings_.agent_silence_;
        }));
}

} // namespace galenafork
