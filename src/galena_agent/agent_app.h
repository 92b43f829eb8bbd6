/// \file
/// The agent as a process: its control thread and its traffic thread.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_APP_H
#define GALENAFORK_GALENA_AGENT_AGENT_APP_H

#include "agent_worker.h"
#include "membership.h"

#include <galenafork/control_loop.h>

#include <memory>
#include <random>
#include <thread>

namespace galenafork
{

/// Agent of one upstream. Joins the service's roster, runs the traffic thread
/// and leaves the roster after a drain.
class agent_app
{
public:
    /// Opens the packet socket and the control thread's listeners. Fails with
    /// `unavailable` if an address is in use, `bad_setting` if the trace file
    /// can't be opened.
    static tl::expected<std::unique_ptr<agent_app>, error>
    open(const agent_config& config);
    ~agent_app();
    agent_app(const agent_app&) = delete;
    agent_app& operator=(const agent_app&) = delete;

    /// Runs until the drain started by SIGTERM or SIGINT is over.
    exit_code run();

private:
    agent_app(const agent_config& config,
              std::unique_ptr<metrics_registry> metrics,
              std::unique_ptr<control_loop> loop, unique_fd packets);

    kj::Promise<void> join();
    kj::Promise<void> try_to_join();
    void start_serving();
    kj::Promise<void> try_to_serve(incarnation joined_incarnation);
    kj::Promise<void> watch_roster();
    kj::Promise<void> drain();
    kj::Promise<void> mark_draining();
    kj::Promise<void> wait_for_flows(instant deadline);
    kj::Promise<void> leave();
    kj::Promise<void> wait(duration time);
    void handle_message(control_message message);
    void rejoin();
    void remove_member(const instance_incarnation& lost_member);
    member own_member(member_state state) const;
    readiness check_readiness() const;
    std::string status() const;
    std::uint64_t next_random();

    agent_config config_;
    std::unique_ptr<metrics_registry> metrics_;
    std::mt19937_64 random_;
    span_queue spans_;
    mailbox<control_message> control_messages_;
    // Declared after the mailbox that it watches, so that it is destroyed
    // first.
    std::unique_ptr<control_loop> loop_;
    platform_client platform_;
    membership membership_;
    agent_worker worker_;
    std::thread traffic_thread_;
    incarnation incarnation_;
    agent_status status_;
    bool joined_ = false;
    /// This incarnation is serving in the roster, or the write that makes it so
    /// has been started.
    bool serving_ = false;
    bool draining_ = false;
};

} // namespace galenafork

#endif
