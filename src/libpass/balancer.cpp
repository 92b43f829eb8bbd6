#include <libpass/balancer_pvt.h>

#include <algorithm>
#include <utility>

namespace galenafork
{

namespace pvt
{

void add_decision(pass_actions& out, const char* event, const char* reason,
                  const segment_header& s, host_address host, bool important,
                  const pass_balancer_state& state, instant now)
{
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = reason;
    decision.flow_ = s.flow_;
    decision.opening_sequence_ = s.opens_ ? s.sequence_ : 0;
    decision.host_ = host;
    decision.important_ = important;
    if (state.rules_)
    {
        decision.version_ = state.rules_->version_;
    }
    const auto agent = state.agents_.find(host);
    if (agent != state.agents_.end())
    {
        decision.in_flight_ = agent->second.status_.in_flight_;
        decision.queued_ = agent->second.status_.queued_;
        decision.age_ = std::chrono::duration_cast<duration>(
            now - agent->second.last_status_at_);
    }
    out.decisions_.push_back(decision);
}

bool is_usable(const pass_balancer_state& state, const agent_record& agent,
               instant now)
{
    return agent.has_status_ && agent.status_.accepting_ &&
           now - agent.last_status_at_ < state.settings_.agent_timeout_ &&
           !is_evacuated(state, agent);
}

bool is_near(const pass_balancer_state& state, const agent_record& agent)
{
    return agent.has_status_ &&
           agent.status_.data_centre_ == state.settings_.data_centre_;
}

double load_of(const pass_balancer_state& state, const agent_record& agent)
{
    const double speed = agent.status_.cold_remaining_ > duration(0)
                             ? state.settings_.cold_speed_
                             : 1.0;
    return (agent.status_.in_flight_ + agent.status_.queued_ +
            agent.placed_since_status_) /
           (agent.status_.slots_.value() * speed);
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

} // namespace pvt

pass_balancer_state new_pass_balancer(const pass_balancer_settings& settings,
                                      std::uint32_t seed)
{
    pass_balancer_state state;
    state.settings_ = settings;
    state.random_.seed(seed);
    return state;
}

bool update_rules(pass_balancer_state& state,
                  std::shared_ptr<const pass_rules> rules)
{
    if (state.rules_ && rules->version_ <= state.rules_->version_)
    {
        return false;
    }
    state.rules_ = std::move(rules);
    return true;
}

namespace
{

// Returns how long the owner of an idle flow is remembered: while callers may
// use the flow again according to the rules, so that they need no search.
duration idle_retention(const pass_balancer_state& state)
{
    const pass_balancer_settings& settings = state.settings_;
    const duration configured =
        state.rules_ ? state.rules_->idle_timeout_ + settings.idle_margin_
                     : duration(0);
    return std::max(settings.flow_idle_timeout_,
                    std::min(configured, settings.flow_lifetime_));
}

} // namespace

void handle_tick(pass_balancer_state& state, instant now, pass_actions& out)
{
    const duration retention = idle_retention(state);
    for (auto it = state.flows_.begin(); it != state.flows_.end();)
    {
        const duration limit =
            it->second.finished_ ? state.settings_.flow_linger_ : retention;
        it = now - it->second.last_active_ > limit ? state.flows_.erase(it)
                                                   : std::next(it);
    }
    pvt::handle_search_tick(state, now, out);
    if (!state.pending_openings_.empty())
    {
        pvt::place_pending(state, now, out);
    }
}

} // namespace galenafork
