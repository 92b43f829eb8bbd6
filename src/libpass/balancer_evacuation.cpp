/// \file
/// A balancer's decisions about evacuations. Load pattern: the operator moves
/// the callers of a data centre away and expects that its upstreams get no new
/// flows within some seconds, while open flows end by themselves.

#include <libpass/balancer_pvt.h>

namespace galenafork
{

namespace pvt
{

bool is_evacuated(const pass_balancer_state& state, const agent_record& agent)
{
    return galenafork::is_evacuated(state.evacuations_,
                                    agent.status_.data_centre_);
}

bool is_evacuated(const pass_balancer_state& state, host_address agent)
{
    const auto it = state.agents_.find(agent);
    return it != state.agents_.end() && is_evacuated(state, it->second);
}

namespace
{

std::vector<host_address> subscribed_agents(const pass_balancer_state& state)
{
    std::vector<host_address> hosts;
    for (const auto& entry : state.services_)
    {
        hosts.insert(hosts.end(), entry.second.subscribed_.begin(),
                     entry.second.subscribed_.end());
    }
    return hosts;
}

// Sends a hello to each agent but those whose subscription has just begun with
// one; `subscribed_before` are the earlier subscriptions. A hello that is no
// probe would begin a subscription, so agents without one are probed.
void announce_to_agents(pass_balancer_state& state,
                        const std::vector<host_address>& subscribed_before,
                        instant now, pass_actions& out)
{
    for (auto& [host, agent] : state.agents_)
    {
        if (!agent.subscribed_)
        {
            send_probe(state, host, agent, now, out);
        }
        else if (contains(subscribed_before, host))
        {
            send_subscription(state, host,
                              state.services_.at(agent.status_.service_), agent,
                              now, out);
        }
    }
}

} // namespace

} // namespace pvt

evacuation_update update_evacuations(pass_balancer_state& state,
                                     const evacuation_state& next, instant now,
                                     pass_actions& out)
{
    if (!state.settings_.follows_evacuations_)
    {
        return evacuation_update::ignored;
    }
    const evacuation_update update =
        apply_evacuations(state.evacuations_, next);
    if (update != evacuation_update::changed)
    {
        return update;
    }
    const std::vector<host_address> subscribed_before =
        pvt::subscribed_agents(state);
    // Agents of other data centres replace the evacuated ones at once, so that
    // opening segments do not wait for the next round of hellos.
    for (auto& entry : state.services_)
    {
        pvt::update_subscriptions(state, entry.second, now, out);
    }
    announce_rules(state, now, out);
    pvt::announce_to_agents(state, subscribed_before, now, out);
    pvt::place_pending(state, now, out);
    return update;
}

} // namespace galenafork
