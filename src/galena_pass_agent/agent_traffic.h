/// \file
/// The traffic thread of the agent of passthrough flows.

#ifndef GALENA_PASS_AGENT_AGENT_TRAFFIC_H
#define GALENA_PASS_AGENT_AGENT_TRAFFIC_H

#include <galenafork/mailbox.h>
#include <galenafork/pass_agent.h>
#include <libpassd/decision_log.h>
#include <libpassd/evacuation_log.h>
#include <libpassd/packet_io.h>

#include <atomic>
#include <memory>
#include <optional>

namespace galenafork
{

/// Result of a check whether the upstream's process is running.
struct upstream_check_result
{
    upstream_presence presence_ = upstream_presence::unknown;
    /// When the connection was started.
    instant checked_at_{};
};

/// Commands from the control thread to the traffic thread. An empty member
/// changes nothing.
struct agent_commands
{
    std::optional<upstream_report> report_;
    std::optional<instance_id> deregistered_;
    std::optional<upstream_check_result> check_;
    std::vector<host_address> balancers_;
    bool shut_down_ = false;
    /// The upstream's address has accepted a connection, of this process or of
    /// an earlier one.
    bool upstream_accepts_connections_ = false;
};

/// State of the traffic thread that the control thread may read at any time.
struct agent_traffic_status
{
    std::atomic<bool> idle_{true};
    std::atomic<bool> accepting_{false};
    std::atomic<std::uint32_t> in_flight_{0};
    std::atomic<std::uint32_t> queued_{0};
    /// The upstream has deregistered, or was absent while the process was
    /// ending, and has not reported since.
    std::atomic<bool> upstream_gone_{false};
    /// Results of checks that have been handled.
    std::atomic<std::uint32_t> checks_handled_{0};
};

/// Forwards segments between balancers, callers and the upstream. Owns the
/// state of the thread that calls `run`; other threads use `commands`, `status`
/// and `stop` only.
class agent_traffic
{
public:
    /// Checks of the upstream that are to be run are posted to
    /// `check_requests`.
    agent_traffic(const pass_agent_settings& settings, packet_io io,
                  unique_fd upstream_socket, decision_log& log,
                  mailbox<evacuation_change>& evacuation_changes,
                  mailbox<upstream_check_request>& check_requests,
                  metrics_registry& metrics);
    ~agent_traffic();
    agent_traffic(const agent_traffic&) = delete;
    agent_traffic& operator=(const agent_traffic&) = delete;

    /// Runs until `stop` is called.
    void run();

    /// Ends `run`. Callable from any thread.
    void stop();

    mailbox<agent_commands>& commands()
    {
        return commands_;
    }
    const agent_traffic_status& status() const
    {
        return status_;
    }

private:
    class worker;

    mailbox<agent_commands> commands_;
    agent_traffic_status status_;
    std::unique_ptr<worker> worker_;
};

} // namespace galenafork

#endif
