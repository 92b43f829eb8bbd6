/// \file
/// A balancer's decisions about agents and peers: what it learns from their
/// messages, which agents it subscribes to, and when it sends hellos.

#include <libpass/balancer_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

// Number of probe intervals without a response after which an agent counts as
// gone.
constexpr int missed_probes = 5;

void remove_from(std::vector<host_address>& hosts, host_address host)
{
    hosts.erase(std::remove(hosts.begin(), hosts.end(), host), hosts.end());
}

bool contains(const std::vector<host_address>& hosts, host_address host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

bool is_near(const pass_balancer_state& state, const agent_record& agent)
{
    return agent.status_.data_centre_ == state.settings_.data_centre_;
}

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

duration probe_interval(const pass_balancer_state& state)
{
    const subscription_settings& settings = state.settings_.subscriptions_;
    const duration interval = std::chrono::seconds(1) * state.agents_.size() /
                              settings.probes_per_second_;
    return std::max(interval, settings.min_probe_interval_);
}

// Returns whether the agent's last status shows that it accepts flows and is
// recent enough for a subscription.
bool is_eligible(const pass_balancer_state& state, const agent_record& agent,
                 instant now)
{
    return agent.has_status_ && agent.status_.accepting_ &&
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
        if (pvt::is_usable(state, agent, now))
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

hello_message make_hello(const pass_balancer_state& state)
{
    hello_message hello;
    hello.host_ = state.settings_.host_;
    hello.version_ =
        state.rules_ ? state.rules_->version_ : pass_rules_version();
    hello.agents_ = static_cast<std::uint32_t>(state.agents_.size());
    hello.leaving_ = state.leaving_;
    return hello;
}

void send_probe(const pass_balancer_state& state, host_address host,
                agent_record& agent, instant now, pass_actions& out)
{
    hello_message hello = make_hello(state);
    hello.probe_ = true;
    agent.hello_sent_at_ = now;
    out.send_to_peer(host, hello);
}

void send_subscription(const pass_balancer_state& state, host_address host,
                       const service_agents& agents, agent_record& agent,
                       instant now, pass_actions& out)
{
    hello_message hello = make_hello(state);
    hello.status_interval_ = status_interval(state, agents, agent, now);
    agent.hello_sent_at_ = now;
    out.send_to_peer(host, hello);
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

// A silent agent keeps its subscription for a while, and others are subscribed
// in its place: if it comes back, it gets flows again without a probe.
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

// Returns whether an agent that accepts flows should be subscribed without
// waiting for the next round. After an outage agents start one after the other;
// if all balancers kept the first ones, these would get all flows.
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

// Sends the hellos that are due to agents. Probes that are due at the same time
// are sent in the same round; random deviations of their intervals distribute
// them over the following rounds.
void send_agent_hellos(pass_balancer_state& state, instant now,
                       pass_actions& out)
{
    std::uniform_real_distribution<double> deviation(0.75, 1.25);
    const double interval = static_cast<double>(probe_interval(state).count());
    for (auto& [host, agent] : state.agents_)
    {
        const auto since_hello = now - agent.hello_sent_at_;
        if (agent.subscribed_)
        {
            if (since_hello >= state.settings_.subscriptions_.hello_interval_)
            {
                send_subscription(state, host,
                                  state.services_.at(agent.status_.service_),
                                  agent, now, out);
            }
            continue;
        }
        if (since_hello >= duration(static_cast<duration::rep>(
                               interval * deviation(state.random_))))
        {
            send_probe(state, host, agent, now, out);
        }
    }
}

std::vector<host_address> peers_of(const pass_balancer_state& state)
{
    std::vector<host_address> peers;
    peers.reserve(state.peers_.size());
    for (const auto& entry : state.peers_)
    {
        peers.push_back(entry.first);
    }
    return peers;
}

void send_peer_hellos(pass_balancer_state& state, pass_actions& out)
{
    const std::vector<host_address> peers = peers_of(state);
    std::vector<host_address> receivers;
    std::sample(peers.begin(), peers.end(), std::back_inserter(receivers),
                state.settings_.subscriptions_.peers_per_round_, state.random_);
    out.send_to_peers(receivers, make_hello(state));
}

void forget_members(pass_balancer_state& state, instant now)
{
    const duration limit = state.settings_.subscriptions_.forget_after_;
    for (auto it = state.peers_.begin(); it != state.peers_.end();)
    {
        it = now - it->second > limit ? state.peers_.erase(it) : std::next(it);
    }
    for (auto it = state.agents_.begin(); it != state.agents_.end();)
    {
        const agent_record& agent = it->second;
        const instant last_seen =
            std::max(agent.last_status_at_, agent.last_listed_at_);
        if (now - last_seen <= limit)
        {
            ++it;
            continue;
        }
        const auto agents = state.services_.find(agent.status_.service_);
        if (agents != state.services_.end())
        {
            remove_from(agents->second.all_, it->first);
            remove_from(agents->second.subscribed_, it->first);
        }
        it = state.agents_.erase(it);
    }
}

void add_usability_decision(pass_actions& out, const status_message& status,
                            bool usable)
{
    pass_decision decision;
    decision.event_ = usable ? "agent_usable" : "agent_unusable";
    decision.reason_ = to_string(status.state_);
    decision.host_ = status.host_;
    decision.in_flight_ = status.in_flight_;
    decision.queued_ = status.queued_;
    decision.important_ = true;
    out.decisions_.push_back(decision);
}

// Moves an agent to the list of the service that its status names.
void change_service(pass_balancer_state& state, agent_record& agent,
                    const status_message& status)
{
    const auto old_agents = state.services_.find(agent.status_.service_);
    if (old_agents != state.services_.end())
    {
        remove_from(old_agents->second.all_, status.host_);
        remove_from(old_agents->second.subscribed_, status.host_);
    }
    agent.subscribed_ = false;
    state.services_[status.service_].all_.push_back(status.host_);
}

} // namespace

namespace pvt
{

const std::vector<host_address>&
placement_targets(const pass_balancer_state& state, const service_name& service,
                  instant now)
{
    static const std::vector<host_address> none;
    const auto agents = state.services_.find(service);
    if (agents == state.services_.end())
    {
        return none;
    }
    const std::vector<host_address>& subscribed = agents->second.subscribed_;
    const bool any_usable =
        std::any_of(subscribed.begin(), subscribed.end(),
                    [&](host_address host)
                    { return is_usable(state, state.agents_.at(host), now); });
    return any_usable ? subscribed : agents->second.all_;
}

} // namespace pvt

duration gone_timeout(const pass_balancer_state& state,
                      const agent_record& agent)
{
    const duration timeout = state.settings_.agent_gone_timeout_;
    return agent.subscribed_
               ? timeout
               : std::max(timeout, missed_probes * probe_interval(state));
}

void handle_status(pass_balancer_state& state, const status_message& status,
                   instant now, pass_actions& out)
{
    agent_record& agent = state.agents_[status.host_];
    const bool usable_before = pvt::is_usable(state, agent, now);
    if (agent.status_.service_ != status.service_ || !agent.has_status_)
    {
        change_service(state, agent, status);
    }
    agent.status_ = status;
    agent.last_status_at_ = now;
    agent.has_status_ = true;
    agent.placed_since_status_ = 0;
    const bool usable = pvt::is_usable(state, agent, now);
    if (usable != usable_before)
    {
        add_usability_decision(out, status, usable);
    }
    service_agents& agents = state.services_.at(status.service_);
    if (usable && !agent.subscribed_ &&
        is_wanted(state, agents, status.host_, now))
    {
        update_subscriptions(state, agents, now, out);
    }
    if (usable && !state.pending_openings_.empty())
    {
        pvt::place_pending(state, now, out);
    }
}

void add_listed_agent(pass_balancer_state& state, host_address agent,
                      instant now, pass_actions& out)
{
    agent_record& record = state.agents_[agent];
    record.last_listed_at_ = now;
    if (!record.has_status_ && record.last_status_at_ == instant())
    {
        record.last_status_at_ = now;
        send_probe(state, agent, record, now, out);
    }
}

void add_listed_peer(pass_balancer_state& state, host_address peer, instant now,
                     pass_actions& out)
{
    if (peer == state.settings_.host_)
    {
        return;
    }
    const bool is_new = state.peers_.count(peer) == 0;
    state.peers_[peer] = now;
    if (is_new)
    {
        out.send_to_peer(peer, make_hello(state));
    }
}

bool handle_hello(pass_balancer_state& state, const hello_message& hello,
                  instant now)
{
    if (hello.host_ == state.settings_.host_)
    {
        return false;
    }
    state.peers_[hello.host_] = now;
    return hello.version_ != pass_rules_version() &&
           (!state.rules_ || hello.version_ > state.rules_->version_);
}

void announce_rules(const pass_balancer_state& state, pass_actions& out)
{
    out.send_to_peers(peers_of(state), make_hello(state));
}

void send_hellos(pass_balancer_state& state, instant now, pass_actions& out)
{
    forget_members(state, now);
    for (auto& entry : state.services_)
    {
        update_subscriptions(state, entry.second, now, out);
    }
    send_agent_hellos(state, now, out);
    send_peer_hellos(state, out);
}

std::size_t count_live_agents(const pass_balancer_state& state, instant now)
{
    return static_cast<std::size_t>(
        std::count_if(state.agents_.begin(), state.agents_.end(),
                      [&](const auto& entry)
                      {
                          return entry.second.has_status_ &&
                                 now - entry.second.last_status_at_ <
                                     state.settings_.agent_timeout_;
                      }));
}

} // namespace galenafork
