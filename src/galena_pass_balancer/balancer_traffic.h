/// \file
/// The traffic thread of the balancer of passthrough flows.

#ifndef GALENA_PASS_BALANCER_BALANCER_TRAFFIC_H
#define GALENA_PASS_BALANCER_BALANCER_TRAFFIC_H

#include <galenafork/mailbox.h>
#include <galenafork/pass_balancer.h>
#include <libpassd/decision_log.h>
#include <libpassd/packet_io.h>
#include <libpassd/rules_follower.h>

#include <atomic>
#include <memory>

namespace galenafork
{

/// What the control thread tells the traffic thread; empty parts say nothing.
struct balancer_commands
{
    std::shared_ptr<const pass_rules> rules_;
    /// Peers may not have heard of these rules: tell them at once.
    bool announce_ = false;
    std::vector<host_address> agents_;
    std::vector<host_address> balancers_;
    /// The lists hold all entries of the store.
    bool complete_ = false;
    bool leaving_ = false;
};

/// What the control thread reads at any time.
struct balancer_traffic_status
{
    std::atomic<std::size_t> live_agents_{0};
    std::atomic<std::uint64_t> segments_received_{0};
    /// Version of the rules that decide on traffic.
    std::atomic<std::uint64_t> rules_version_{0};
};

/// Forwards segments of callers. Owns its thread's state; other threads use
/// `commands` and `status` only.
class balancer_traffic
{
public:
    balancer_traffic(const pass_balancer_settings& settings, std::uint32_t seed,
                     packet_io io, decision_log& log,
                     mailbox<newer_rules>& news, metrics_registry& metrics);
    ~balancer_traffic();
    balancer_traffic(const balancer_traffic&) = delete;
    balancer_traffic& operator=(const balancer_traffic&) = delete;

    /// Runs until `stop`.
    void run();

    /// Ends `run`. Any thread.
    void stop();

    mailbox<balancer_commands>& commands()
    {
        return commands_;
    }
    const balancer_traffic_status& status() const
    {
        return status_;
    }

    /// Agents heard of, for peers that can't reach the store. Any thread.
    std::vector<host_address> agents() const;

private:
    class worker;

    mailbox<balancer_commands> commands_;
    balancer_traffic_status status_;
    mutable std::mutex agents_mutex_;
    std::vector<host_address> agents_;
    std::unique_ptr<worker> worker_;
};

} // namespace galenafork

#endif
