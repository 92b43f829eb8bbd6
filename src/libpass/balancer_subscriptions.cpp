/// \file
/// A balancer's choice of the agents that it subscribes to.

#include <libpass/balancer_pvt.h>

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

// Returns the rank of an agent at a balancer. Ranks differ from balancer to
// balancer, so that the agents which all balancers together subscribe to are
// evenly distributed, and they do not change, so that subscriptions stay.
std::uint64_t rank_of(host_address balancer, host_address agent)
{
    // The finalizer of MurmurHash3, a bijection of 64 bits.
    std::uint64_t x =
        (static_cast<std::uint64_t>(balancer.value()) << 32U) | agent.value();
    x = (x ^ (x >> 33U)) * 0xff51afd7ed558ccdULL;
    x = (x ^ (x >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return x ^ (x >> 33U);
}

// Returns whether the agent's last status shows that it accepts flows and is
// recent enough for a subscription, and its data centre is not evacuated.
bool is_eligible(const pass_balancer_state& state, const agent_record& agent,
                 instant now)
{
    return agent.has_status_ && agent.status_.accepting_ &&
           !is_evacuated(state, agent) &&
           now - agent.last_status_at_ < (agent.subscribed_
                                              ? state.settings_.agent_timeout_
                                              : gone_timeout(state, agent));
}

// Returns whether a subscribed agent has sent no status for some time but may
// come back, after a pause of its process or a cut of the network.
bool is_silent(const pass_balancer_state& state, const agent_record& agent,
               instant now)
{
    const auto silence = now - agent.last_status_at_;
    return silence >= state.settings_.agent_timeout_ &&
           silence < state.settings_.agent_gone_timeout_;
}

// Subscribed agents of one service that accept flows, by data centre.
struct subscription_count
{
    std::size_t near_ = 0;
    std::size_t far_ = 0;
};

std::size_t far_limit(const subscription_settings& settings,
                      std::size_t near_count)
{
    const std::size_t missing =
        settings.min_total_ - std::min(settings.min_total_, near_count);
    return std::max(settings.min_far_, missing);
}

// Returns whether one more agent can be subscribed.
bool has_room(const subscription_settings& settings,
              const subscription_count& count, bool near)
{
    return near ? count.near_ < settings.max_near_
                : count.far_ < far_limit(settings, count.near_);
}

subscription_count count_subscribed(const pass_balancer_state& state,
                                    const service_agents& agents, instant now)
{
    subscription_count count;
    for (const host_address host : agents.subscribed_)
    {
        const agent_record& agent = state.agents_.at(host);
        if (is_usable(state, agent, now))
        {
            ++(is_near(state, agent) ? count.near_ : count.far_);
        }
    }
    return count;
}

// Returns the time between two statuses that an agent is asked for.
duration status_interval(const pass_balancer_state& state,
                         const service_agents& agents,
                         const agent_record& agent, instant now)
{
    const subscription_settings& settings = state.settings_.subscriptions_;
    if (!is_near(state, agent) &&
        count_subscribed(state, agents, now).near_ >= settings.enough_near_)
    {
        return settings.max_status_interval_;
    }
    std::size_t subscribed = 0;
    for (const auto& entry : state.services_)
    {
        subscribed += entry.second.subscribed_.size();
    }
    const duration interval =
        std::chrono::seconds(1) * subscribed / settings.statuses_per_second_;
    return std::clamp(interval, settings.min_status_interval_,
                      settings.max_status_interval_);
}

void add_subscription_decision(const pass_balancer_state& state,
                               const char* event, host_address host,
                               instant now, pass_actions& out)
{
    const agent_record& agent = state.agents_.at(host);
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = is_near(state, agent) ? "near" : "far";
    decision.host_ = host;
    decision.in_flight_ = agent.status_.in_flight_;
    decision.queued_ = agent.status_.queued_;
    decision.age_ =
        std::chrono::duration_cast<duration>(now - agent.last_status_at_);
    out.decisions_.push_back(decision);
}

void subscribe(pass_balancer_state& state, service_agents& agents,
               host_address host, instant now, pass_actions& out)
{
    agent_record& agent = state.agents_.at(host);
    agent.subscribed_ = true;
    agents.subscribed_.push_back(host);
    add_subscription_decision(state, "subscribed", host, now, out);
    send_subscription(state, host, agents, agent, now, out);
}

// The agent ends the subscription when it gets the next probe.
void unsubscribe(pass_balancer_state& state, service_agents& agents,
                 host_address host, instant now, pass_actions& out)
{
    state.agents_.at(host).subscribed_ = false;
    remove_from(agents.subscribed_, host);
    add_subscription_decision(state, "unsubscribed", host, now, out);
}

// Returns the agents of a service to subscribe to: those of the highest rank
// among the eligible ones.
std::vector<host_address> choose_subscriptions(const pass_balancer_state& state,
                                               const service_agents& agents,
                                               instant now)
{
    std::vector<host_address> eligible;
    std::copy_if(agents.all_.begin(), agents.all_.end(),
                 std::back_inserter(eligible),
                 [&](host_address host)
                 { return is_eligible(state, state.agents_.at(host), now); });
    std::sort(eligible.begin(), eligible.end(),
              [&](host_address a, host_address b)
              {
                  return rank_of(state.settings_.host_, a) <
                         rank_of(state.settings_.host_, b);
              });
    const auto far_begin =
        std::stable_partition(eligible.begin(), eligible.end(),
                              [&](host_address host) {
                                  return is_near(state, state.agents_.at(host));
                              });
    subscription_count count;
    std::vector<host_address> chosen;
    for (auto it = eligible.begin(); it != eligible.end(); ++it)
    {
        const bool near = it < far_begin;
        if (has_room(state.settings_.subscriptions_, count, near))
        {
            ++(near ? count.near_ : count.far_);
            chosen.push_back(*it);
        }
    }
    return chosen;
}

} // namespace

void send_subscription(const pass_balancer_state& state, host_address host,
                       const service_agents& agents, agent_record& agent,
                       instant now, pass_actions& out)
{
    hello_message hello = make_hello(state, now);
    hello.status_interval_ = status_interval(state, agents, agent, now);
    agent.hello_sent_at_ = now;
    out.send_to_peer(host, hello);
}

void update_subscriptions(pass_balancer_state& state, service_agents& agents,
                          instant now, pass_actions& out)
{
    const std::vector<host_address> chosen =
        choose_subscriptions(state, agents, now);
    const std::vector<host_address> before = agents.subscribed_;
    for (const host_address host : before)
    {
        if (!contains(chosen, host) &&
            !is_silent(state, state.agents_.at(host), now))
        {
            unsubscribe(state, agents, host, now, out);
        }
    }
    for (const host_address host : chosen)
    {
        if (!state.agents_.at(host).subscribed_)
        {
            subscribe(state, agents, host, now, out);
        }
    }
}

bool is_wanted(const pass_balancer_state& state, const service_agents& agents,
               host_address host, instant now)
{
    const bool near = is_near(state, state.agents_.at(host));
    if (has_room(state.settings_.subscriptions_,
                 count_subscribed(state, agents, now), near))
    {
        return true;
    }
    const host_address self = state.settings_.host_;
    return std::any_of(agents.subscribed_.begin(), agents.subscribed_.end(),
                       [&](host_address other)
                       {
                           return is_near(state, state.agents_.at(other)) ==
                                      near &&
                                  rank_of(self, other) > rank_of(self, host);
                       });
}

} // namespace galenafork::pvt
