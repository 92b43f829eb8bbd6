/// \file
/// Several agents of one service on a network of virtual time, for unit tests
/// and capacity measurements.

#ifndef GALENAFORK_LIBVIRTUAL_SERVICE_FIXTURE_H
#define GALENAFORK_LIBVIRTUAL_SERVICE_FIXTURE_H

#include "roster_samples.h"

#include <galenafork/agent_core.h>

#include <map>
#include <set>
#include <string>

namespace galenafork::testing
{

/// Delays and faults of the network.
struct network_faults
{
    duration delay_ = std::chrono::microseconds(500);
    /// Fraction of the messages between agents that is lost; the balancer's
    /// packets are never lost.
    std::uint32_t lost_permille_ = 0;
    std::uint32_t duplicated_permille_ = 0;
    std::uint32_t delayed_permille_ = 0;
    duration extra_delay_ = std::chrono::milliseconds(30);
    std::uint64_t seed_ = 1;
};

/// One run of a non-idempotent request at an upstream.
struct upstream_run
{
    instance_id instance_;
    request_key key_;
};

/// Agents of one service, a balancer and the platform's roster.
struct service_fixture
{
    explicit service_fixture(int members, network_faults faults = {});

    /// Advances virtual time by `span` in steps of `tick_interval_`.
    void run_for(duration span);

    /// Sends a caller's packet through a balancer that has `balancer_roster`.
    void send(const flow_key& flow, std::optional<request_info> request,
              const roster& balancer_roster);

    /// As above, with a balancer that has the newest roster.
    void send(const flow_key& flow, std::optional<request_info> request = {});

    /// Applies a change to the platform's roster; agents receive the roster
    /// after `delay`.
    void change(roster_change_kind kind, const instance_id& instance,
                duration delay = std::chrono::milliseconds(5));

    /// Starts agent number `n`, which joins the roster.
    void join(int n);

    /// Stops an agent for good; messages on their way to it are lost.
    void kill(const instance_id& instance);

    /// Pauses or resumes an agent. Messages and rosters for a paused agent are
    /// delivered once it has resumed.
    void pause(const instance_id& instance);
    void resume(const instance_id& instance);

    /// Cuts the links between two agents in both directions.
    void cut(const instance_id& a, const instance_id& b);

    /// Returns the agents that are neither killed nor fenced and own `flow`.
    std::vector<instance_id> owners_of(const flow_key& flow) const;

    struct event
    {
        instance_id to_;
        instant arrives_at_;
        datagram message_;
        std::optional<request_info> request_;
    };

    void deliver_due();
    void tick_agents();
    void perform_actions(const instance_id& from, const agent_actions& actions);
    void send_datagram(const instance_id& from, const endpoint& to,
                       datagram message,
                       const std::optional<request_info>& request);
    void deliver_due_rosters();
    std::uint64_t next_random();

    network_faults faults_;
    duration tick_interval_ = std::chrono::milliseconds(10);
    instant now_{std::chrono::seconds(1000)};
    roster platform_roster_;
    bool platform_up_ = true;
    /// Expired members that agents have reported to the balancer.
    expired_members balancer_expired_members_;
    std::map<instance_id, agent_state> agents_;
    std::set<instance_id> killed_;
    std::set<instance_id> paused_;
    std::set<std::pair<instance_id, instance_id>> cut_links_;
    std::map<instance_id, instant> roster_due_at_;
    std::multimap<instant, event> network_;
    std::map<flow_key, std::vector<instance_id>> served_by_;
    std::vector<upstream_run> runs_;
    std::map<request_key, std::vector<verdict>> refusals_;
    /// Number of stored answers sent for each flow; the keys have no message id
    /// and no token.
    std::map<request_key, int> stored_answers_;
    std::map<request_key, int> answer_counts_;
    int dropped_packets_ = 0;
    int forwarded_packets_ = 0;
    /// Upstreams answer requests at once. If false, requests stay in progress.
    bool upstream_answers_ = true;
    std::uint64_t random_state_ = 1;
};

/// Returns the flow of caller number `n`.
flow_key make_flow(int n);

/// Returns a non-idempotent request of `flow` with message id `id`.
request_info make_post(const flow_key& flow, std::uint16_t id);

} // namespace galenafork::testing

#endif
