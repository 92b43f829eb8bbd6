/// \file
/// The traffic thread of the balancer of passthrough flows.

#ifndef GALENA_PASS_BALANCER_BALANCER_TRAFFIC_H
#define GALENA_PASS_BALANCER_BALANCER_TRAFFIC_H

#include <galenafork/mailbox.h>
#include <galenafork/pass_balancer.h>
#include <libpassd/decision_log.h>
#include <libpassd/evacuation_log.h>
#include <libpassd/packet_io.h>
#include <libpassd/rules_follower.h>

#include <atomic>
#include <memory>
#include <optional>

namespace galenafork
{

/// Commands from the control thread to the traffic thread. An empty member
/// changes nothing.
struct balancer_commands
{
    std::shared_ptr<const pass_rules> rules_;
    /// Peers may not have these rules yet: announce them at once.
    bool announce_ = false;
    std::vector<host_address> agents_;
    std::vector<host_address> balancers_;
    /// `agents_` and `balancers_` are all members in the store.
    bool complete_ = false;
    bool leaving_ = false;
    /// Evacuations as read from the store.
    std::optional<evacuation_state> evacuations_;
    store_reads reads_;
};

/// State of the traffic thread that the control thread may read at any time.
struct balancer_traffic_status
{
    std::atomic<std::size_t> live_agents_{0};
    std::atomic<std::uint64_t> segments_received_{0};
    /// Version of the rules that the traffic thread uses; zero if it has none.
    std::atomic<std::uint64_t> rules_version_{0};
    /// The traffic thread has a state of the evacuations.
    std::atomic<bool> evacuations_known_{false};
    /// When the latest reads began that the traffic thread knows of, by this
    /// balancer or a peer; `instant()` if there were none.
    std::atomic<instant> rules_read_at_{instant()};
    std::atomic<instant> evacuations_read_at_{instant()};
};

/// Forwards segments of callers to agents. Owns the state of the thread that
/// calls `run`; other threads use `commands`, `status`, `agents` and `stop`
/// only.
class balancer_traffic
{
public:
    balancer_traffic(const pass_balancer_settings& settings, std::uint32_t seed,
                     packet_io io, decision_log& log,
                     mailbox<newer_rules>& newer_rules_mailbox,
                     mailbox<evacuation_change>& evacuation_changes,
                     metrics_registry& metrics);
    ~balancer_traffic();
    balancer_traffic(const balancer_traffic&) = delete;
    balancer_traffic& operator=(const balancer_traffic&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Ends `run`. Callable from any thread.
    void stop();

    mailbox<balancer_commands>& commands()
    {
        return commands_;
    }
    const balancer_traffic_status& status() const
    {
        return status_;
    }

    /// Returns the agents on the balancer's list, for peers that can't reach
    /// the store. Callable from any thread.
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
