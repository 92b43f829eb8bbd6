/// \file
/// Simulation of long flows in virtual time, for tests of the rule that an open
/// flow is never reset while its upstream lives. Balancers, agents, upstreams
/// and the rules change at random; the decisions are the real ones.

#ifndef LIBPASS_FLOW_REPLAY_H
#define LIBPASS_FLOW_REPLAY_H

#include <galenafork/time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace galenafork::flows
{

/// What happens to the fleet while flows are open. A period of zero turns a
/// kind of disruption off.
struct flow_replay_settings
{
    std::uint32_t seed_ = 1;
    std::size_t balancers_ = 4;
    /// Even agents serve one service, odd ones another.
    std::size_t agents_ = 6;
    /// Balancers and agents are distributed evenly over these.
    std::size_t data_centres_ = 1;
    std::size_t callers_ = 30;
    duration length_ = std::chrono::seconds(50);
    /// Callers pause between two requests of a flow for up to this time.
    duration max_pause_ = std::chrono::seconds(2);
    /// Mean time between two changes of the rule's service.
    duration rule_change_period_{0};
    duration balancer_restart_period_{0};
    /// Planned restarts of agents: they end their flows' requests first.
    duration agent_restart_period_{0};
    duration agent_kill_period_{0};
    /// Time from the start at which all balancers and agents end at once and
    /// start again; zero for never.
    duration total_restart_at_{0};
    /// With `total_restart_at_`: upstreams lose power as well and start again
    /// shortly before their agents.
    bool upstreams_lose_power_ = false;
    /// An upstream ends and starts again on its instance.
    duration upstream_restart_period_{0};
    /// If positive, an agent is killed at a random time up to this after each
    /// start of its upstream.
    duration kill_after_upstream_start_{0};
    /// Maximum time for which a killed process is down.
    duration max_down_ = std::chrono::milliseconds(1000);
    /// Time between two reports of an upstream. The first one comes after a
    /// random part of it.
    duration report_interval_ = std::chrono::milliseconds(770);
    /// Longest time from the start of a check of an upstream to its result. The
    /// time limit of a check by default.
    duration max_check_time_ = std::chrono::milliseconds(200);
    /// Fraction of the messages between balancers and agents that are lost.
    double loss_ = 0;
    /// Maximum error of an instance's clock, drawn at each start of a process.
    duration clock_error_{0};
    /// If positive, each opening segment whose caller has not continued after
    /// this time is hedged.
    duration hedge_delay_{0};
};

struct flow_replay_result
{
    std::size_t opened_ = 0;
    std::size_t answered_ = 0;
    std::uint64_t hedges_ = 0;
    std::uint64_t hedges_won_ = 0;
    /// Resets of open flows whose upstream lives, with their time.
    std::vector<std::string> wrong_resets_;
    /// Flows of which three segments or more reached other upstreams and none
    /// its own for two seconds.
    std::vector<std::string> misdirected_;
    /// Open flows with a living upstream that do not answer after the fleet has
    /// been left alone.
    std::size_t stuck_ = 0;
    /// Flows that were reset after a loss of power, and the sum of the times
    /// from the first segment that reached a balancer to the caller's reset.
    std::size_t reset_after_power_loss_ = 0;
    duration reset_delay_sum_{0};
    /// Searches that balancers started, and the messages that they sent or got
    /// for them.
    std::size_t searches_ = 0;
    std::size_t balancer_search_messages_ = 0;
    /// Longest time for which a caller waited for an answer of an upstream that
    /// had ended, until its flow was reset.
    duration longest_wait_{0};
};

flow_replay_result replay_flows(const flow_replay_settings& settings);

} // namespace galenafork::flows

#endif
