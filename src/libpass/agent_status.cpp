/// \file
/// An agent's messages to balancers about itself and its upstream.

#include <galenafork/pass_agent.h>

#include <algorithm>

namespace galenafork
{

namespace
{

bool is_subscribed(const pass_agent_state& state,
                   const known_balancer& balancer, instant now)
{
    return balancer.subscribed_at_ && now - *balancer.subscribed_at_ <=
                                          state.settings_.subscription_timeout_;
}

bool is_silent(const pass_agent_state& state, const known_balancer& balancer,
               instant now)
{
    return now - balancer.last_heard_at_ >
           state.settings_.balancer_silence_timeout_;
}

void forget_balancers(pass_agent_state& state, instant now)
{
    for (auto it = state.balancers_.begin(); it != state.balancers_.end();)
    {
        const instant last_seen =
            std::max(it->second.last_listed_at_, it->second.last_heard_at_);
        it = now - last_seen > state.settings_.forget_balancer_after_
                 ? state.balancers_.erase(it)
                 : std::next(it);
    }
}

} // namespace

status_message status_of(const pass_agent_state& state, instant now)
{
    status_message m;
    m.host_ = state.settings_.host_;
    m.instance_ = state.upstream_.instance_;
    m.service_ = state.upstream_.service_;
    m.data_centre_ = state.upstream_.data_centre_;
    m.started_ = state.upstream_.started_;
    m.state_ = state.upstream_.state_;
    m.accepting_ = accepts_new_flows(state, now);
    m.slots_ = state.upstream_.slots_;
    m.in_flight_ = state.in_flight_;
    m.queued_ = static_cast<std::uint32_t>(state.queue_.size());
    m.cold_remaining_ = std::max(
        duration(0),
        std::chrono::duration_cast<duration>(state.upstream_cold_until_ - now));
    m.service_time_ = state.service_time_;
    m.ended_ = state.check_.absent_ &&
               (state.shutting_down_ ||
                state.upstream_.state_ == upstream_state::unknown);
    return m;
}

void handle_hello(pass_agent_state& state, const hello_message& hello,
                  instant now, pass_actions& out)
{
    known_balancer& balancer = state.balancers_[hello.host_];
    const bool was_subscribed = is_subscribed(state, balancer, now);
    balancer.last_heard_at_ = now;
    balancer.subscribed_at_ =
        hello.probe_ ? std::nullopt : std::optional<instant>(now);
    balancer.status_interval_ = hello.status_interval_ > duration(0)
                                    ? hello.status_interval_
                                    : state.settings_.default_status_interval_;
    if (hello.probe_ || !was_subscribed)
    {
        balancer.status_sent_at_ = now;
        out.send_to_peer(hello.host_, status_of(state, now));
    }
}

void add_listed_balancer(pass_agent_state& state, host_address balancer,
                         instant now, pass_actions& out)
{
    const auto [entry, is_new] = state.balancers_.try_emplace(balancer);
    known_balancer& known = entry->second;
    known.last_listed_at_ = now;
    if (is_new)
    {
        known.last_heard_at_ = now;
    }
    if (is_new || (is_silent(state, known, now) &&
                   now - known.status_sent_at_ >=
                       state.settings_.silent_balancer_interval_))
    {
        known.status_sent_at_ = now;
        out.send_to_peer(balancer, status_of(state, now));
    }
}

void send_statuses(pass_agent_state& state, instant now, pass_actions& out)
{
    forget_balancers(state, now);
    std::vector<host_address> receivers;
    for (auto& [host, balancer] : state.balancers_)
    {
        const bool due =
            is_subscribed(state, balancer, now) &&
            now - balancer.status_sent_at_ >= balancer.status_interval_;
        if ((state.status_changed_ && !is_silent(state, balancer, now)) || due)
        {
            balancer.status_sent_at_ = now;
            receivers.push_back(host);
        }
    }
    state.status_changed_ = false;
    if (!receivers.empty())
    {
        out.send_to_peers(receivers, status_of(state, now));
    }
}

} // namespace galenafork
