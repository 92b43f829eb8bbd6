/// \file
/// Several agents of one service on a network of virtual time, for unit tests
/// and trace replay.

#ifndef GALENAFORK_LIBVIRTUAL_SERVICE_FIXTURE_H
#define GALENAFORK_LIBVIRTUAL_SERVICE_FIXTURE_H

#include "roster_samples.h"

#include <galenafork/agent_core.h>

#include <map>
#include <set>
#include <string>

namespace galenafork::testing
{

/// What the network does to messages.
struct network_faults
{
    duration delay_ = std::chrono::microseconds(500);
    std::uint32_t lost_permille_ = 0;
    std::uint32_t duplicated_permille_ = 0;
    std::uint32_t delayed_permille_ = 0;
    duration extra_delay_ = std::chrono::milliseconds(30);
    std::uint64_t seed_ = 1;
};

/// One run at one upstream.
struct upstream_run
{
    instance_id instance_;
    request_key key_;
};

/// Agents of one service, a balancer's view of them, and the platform's
/// roster. Checks after each step that no flow has two live owners.
struct service_fixture
{
    explicit service_fixture(int members, network_faults faults = {});

    /// Lets `span` of virtual time pass in steps of `tick_interval_`.
    void run_for(duration span);

    /// A caller's packet reaches a balancer that knows roster `known`.
    void send(const flow_key& flow, std::optional<request_info> request,
              const roster& known);

    /// As above with the newest roster.
    void send(const flow_key& flow, std::optional<request_info> request = {});

    /// Applies a change in the platform; agents learn of it after `delay`.
    void change(roster_change_kind kind, const instance_id& instance,
                duration delay = std::chrono::milliseconds(5));

    /// Joins a new agent.
    void join(int n);

    /// Stops an agent for good; its messages are lost.
    void kill(const instance_id& instance);

    /// Stops or resumes an agent; what comes meanwhile waits for it.
    void pause(const instance_id& instance);
    void resume(const instance_id& instance);

    /// Cuts or heals the links between two agents.
    void cut(const instance_id& a, const instance_id& b);

    /// Live, unfenced agents that own `flow`.
    std::vector<instance_id> owners_of(const flow_key& flow) const;

    struct event
    {
        instance_id to_;
        instant at_;
        datagram message_;
        std::optional<request_info> request_;
    };

    void deliver_due();
    void tick_agents();
    void perform_actions(const instance_id& from, const agent_actions& actions);
    void post(const instance_id& from, const endpoint& to, datagram message,
              const std::optional<request_info>& request);
    void learn_rosters();
    std::uint64_t draw();

    network_faults faults_;
    duration tick_interval_ = std::chrono::milliseconds(10);
    instant now_{std::chrono::seconds(1000)};
    roster platform_roster_;
    bool platform_up_ = true;
    /// The balancer knows lapses that agents told it.
    expired_members balancer_lapsed_;
    std::map<instance_id, agent_state> agents_;
    std::set<instance_id> dead_;
    std::set<instance_id> paused_;
    std::set<std::pair<instance_id, instance_id>> cut_;
    std::map<instance_id, instant> learns_at_;
    std::multimap<instant, event> network_;
    std::map<flow_key, std::vector<instance_id>> served_by_;
    std::vector<upstream_run> runs_;
    std::map<request_key, std::vector<verdict>> refusals_;
    std::map<request_key, int> stored_replies_;
    std::map<request_key, int> answers_;
    int dropped_ = 0;
    int forwarded_packets_ = 0;
    /// Upstreams answer at once; false: requests stay in progress.
    bool upstream_answers_ = true;
    std::uint64_t random_ = 1;
};

/// A flow of caller number `n`.
flow_key make_flow(int n);

/// A non-idempotent request number `id` of `flow`.
request_info make_post(const flow_key& flow, std::uint16_t id);

} // namespace galenafork::testing

#endif
