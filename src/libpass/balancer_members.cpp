/// \file
/// A balancer's decisions about agents and peers: what it learns from their
/// messages, and when it sends hellos.

#include <libpass/balancer_pvt.h>

#include <algorithm>
#include <tuple>

namespace galenafork
{

namespace
{

using pvt::remove_from;

pass_rules_version active_version(const pass_balancer_state& state)
{
    return state.rules_ ? state.rules_->version_ : pass_rules_version();
}

std::optional<duration> age_of(const std::optional<instant>& time, instant now)
{
    return time ? std::optional<duration>(
                      std::chrono::duration_cast<duration>(now - *time))
                : std::nullopt;
}

// Sets `time` to `candidate` unless it is later already.
void set_later(std::optional<instant>& time, instant candidate)
{
    time = time ? std::max(*time, candidate) : candidate;
}

// Number of probe intervals without a response after which an agent counts as
// gone.
constexpr int missed_probes = 5;

bool is_silent(const pass_balancer_state& state, const agent_record& agent,
               instant now)
{
    return now - agent.last_status_at_ > state.settings_.flow_lifetime_;
}

// Returns the mean time between two probes of `agents` agents.
duration interval_of(const subscription_settings& settings, std::size_t agents,
                     std::uint32_t per_second)
{
    return std::max<duration>(std::chrono::seconds(1) * agents / per_second,
                              settings.min_probe_interval_);
}

duration silent_probe_interval(const pass_balancer_state& state)
{
    const subscription_settings& settings = state.settings_.subscriptions_;
    return interval_of(settings, state.silent_agents_,
                       settings.silent_probes_per_second_);
}

// Sends the hellos that are due to agents. Probes that are due at the same time
// are sent in the same round; random deviations of their intervals distribute
// them over the following rounds.
void send_agent_hellos(pass_balancer_state& state, instant now,
                       pass_actions& out)
{
    std::uniform_real_distribution<double> deviation(0.75, 1.25);
    const duration interval = pvt::probe_interval(state);
    const duration silent_interval = silent_probe_interval(state);
    for (auto& [host, agent] : state.agents_)
    {
        const auto since_hello = now - agent.hello_sent_at_;
        if (agent.subscribed_)
        {
            if (since_hello >= state.settings_.subscriptions_.hello_interval_)
            {
                pvt::send_subscription(
                    state, host, state.services_.at(agent.status_.service_),
                    agent, now, out);
            }
            continue;
        }
        // An agent may start just after its first probe; searches wait for it
        // for a few rounds only.
        const bool is_new =
            !agent.has_status_ && now - agent.last_status_at_ <=
                                      state.settings_.unheard_agent_timeout_;
        const double mean = static_cast<double>(
            (is_silent(state, agent, now) ? silent_interval : interval)
                .count());
        if (is_new || since_hello >= duration(static_cast<duration::rep>(
                                         mean * deviation(state.random_))))
        {
            pvt::send_probe(state, host, agent, now, out);
        }
    }
}

struct peer_hosts
{
    std::vector<host_address> heard_;
    std::vector<host_address> silent_;
};

peer_hosts peers_of(const pass_balancer_state& state, instant now)
{
    peer_hosts peers;
    peers.heard_.reserve(state.peers_.size());
    for (const auto& [host, peer] : state.peers_)
    {
        const bool silent =
            now - peer.last_heard_at_ >
            state.settings_.subscriptions_.peer_silence_timeout_;
        (silent ? peers.silent_ : peers.heard_).push_back(host);
    }
    return peers;
}

// Silent peers have a share of their own, so that entries of instances that are
// gone do not keep hellos from running ones.
void send_peer_hellos(pass_balancer_state& state, instant now,
                      pass_actions& out)
{
    const subscription_settings& settings = state.settings_.subscriptions_;
    const peer_hosts peers = peers_of(state, now);
    std::vector<host_address> receivers;
    std::sample(peers.heard_.begin(), peers.heard_.end(),
                std::back_inserter(receivers), settings.peers_per_round_,
                state.random_);
    std::sample(peers.silent_.begin(), peers.silent_.end(),
                std::back_inserter(receivers), settings.silent_peers_per_round_,
                state.random_);
    out.send_to_peers(receivers, pvt::make_hello(state, now));
}

void forget_members(pass_balancer_state& state, instant now)
{
    const duration limit = state.settings_.subscriptions_.forget_after_;
    for (auto it = state.peers_.begin(); it != state.peers_.end();)
    {
        const instant last_seen =
            std::max(it->second.last_listed_at_, it->second.last_heard_at_);
        it = now - last_seen > limit ? state.peers_.erase(it) : std::next(it);
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
    state.silent_agents_ = static_cast<std::size_t>(
        std::count_if(state.agents_.begin(), state.agents_.end(),
                      [&](const auto& entry)
                      { return is_silent(state, entry.second, now); }));
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

hello_message make_hello(const pass_balancer_state& state, instant now)
{
    hello_message hello;
    hello.host_ = state.settings_.host_;
    hello.version_ = active_version(state);
    hello.agents_ = static_cast<std::uint32_t>(state.agents_.size());
    hello.leaving_ = state.leaving_;
    hello.evacuations_ = state.evacuations_;
    hello.rules_read_age_ = age_of(state.rules_read_at_, now);
    hello.evacuations_read_age_ = age_of(state.evacuations_read_at_, now);
    return hello;
}

void send_probe(const pass_balancer_state& state, host_address host,
                agent_record& agent, instant now, pass_actions& out)
{
    hello_message hello = make_hello(state, now);
    hello.probe_ = true;
    agent.hello_sent_at_ = now;
    out.send_to_peer(host, hello);
}

duration probe_interval(const pass_balancer_state& state)
{
    const subscription_settings& settings = state.settings_.subscriptions_;
    const std::size_t silent =
        std::min(state.silent_agents_, state.agents_.size());
    return interval_of(settings, state.agents_.size() - silent,
                       settings.probes_per_second_);
}

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
               : std::max(timeout, missed_probes * pvt::probe_interval(state));
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
        pvt::is_wanted(state, agents, status.host_, now))
    {
        pvt::update_subscriptions(state, agents, now, out);
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
        pvt::send_probe(state, agent, record, now, out);
    }
}

void note_members_read(pass_balancer_state& state, instant now)
{
    state.members_read_at_ = now;
}

void add_listed_peer(pass_balancer_state& state, host_address peer, instant now,
                     pass_actions& out)
{
    if (peer == state.settings_.host_)
    {
        return;
    }
    const auto [entry, is_new] = state.peers_.try_emplace(peer);
    entry->second.last_listed_at_ = now;
    if (is_new)
    {
        entry->second.last_heard_at_ = now;
        out.send_to_peer(peer, pvt::make_hello(state, now));
    }
}

bool handle_hello(pass_balancer_state& state, const hello_message& hello,
                  instant now)
{
    if (hello.host_ == state.settings_.host_)
    {
        return false;
    }
    state.peers_[hello.host_].last_heard_at_ = now;
    const bool has_newer_rules = hello.version_ > active_version(state);
    if (hello.rules_read_age_ && !has_newer_rules)
    {
        set_later(state.rules_read_at_, now - *hello.rules_read_age_);
    }
    // A state that is later than the one of the read has been read after it.
    const auto order = [](const evacuation_state& s)
    { return std::tie(s.era_, s.revision_); };
    if (hello.evacuations_read_age_ &&
        order(hello.evacuations_) <= order(state.evacuations_))
    {
        set_later(state.evacuations_read_at_,
                  now - *hello.evacuations_read_age_);
    }
    return has_newer_rules;
}

void announce_rules(const pass_balancer_state& state, instant now,
                    pass_actions& out)
{
    out.send_to_peers(peers_of(state, now).heard_, pvt::make_hello(state, now));
}

void note_store_reads(pass_balancer_state& state, const store_reads& reads,
                      instant now, pass_actions& out)
{
    if (reads.rules_at_)
    {
        set_later(state.rules_read_at_, *reads.rules_at_);
    }
    if (reads.evacuations_at_)
    {
        set_later(state.evacuations_read_at_, *reads.evacuations_at_);
    }
    if (reads.rules_at_ || reads.evacuations_at_)
    {
        announce_rules(state, now, out);
    }
}

void send_hellos(pass_balancer_state& state, instant now, pass_actions& out)
{
    forget_members(state, now);
    for (auto& entry : state.services_)
    {
        pvt::update_subscriptions(state, entry.second, now, out);
    }
    send_agent_hellos(state, now, out);
    send_peer_hellos(state, now, out);
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
