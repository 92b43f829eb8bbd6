/// \file
/// The agent as a process: control thread, traffic thread and what they tell
/// each other.

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

/// One agent.
class agent_app
{
public:
    /// Opens sockets and the control thread's addresses. Fails with
    /// `unavailable` if one is taken, `bad_setting` if traces can't be
    /// written.
    static tl::expected<std::unique_ptr<agent_app>, error>
    open(const agent_config& config);
    ~agent_app();
    agent_app(const agent_app&) = delete;
    agent_app& operator=(const agent_app&) = delete;

    /// Runs until a signal has drained the agent.
    exit_code run();

private:
    agent_app(const agent_config& config,
              std::unique_ptr<metrics_registry> metrics,
              std::unique_ptr<control_loop> loop, unique_fd packets);

    kj::Promise<void> join();
    kj::Promise<void> try_to_join();
    void start_serving();
    kj::Promise<void> try_to_serve(incarnation life);
    kj::Promise<void> keep_watching();
    kj::Promise<void> drain();
    kj::Promise<void> begin_drain();
    kj::Promise<void> wait_for_flows(instant deadline);
    kj::Promise<void> leave();
    kj::Promise<void> wait(duration time);
    void take_mail(control_mail mail);
    void rejoin();
    void remove(const instance_incarnation& life);
    member self_as(member_state state) const;
    readiness read_readiness() const;
    std::string read_status() const;
    std::uint64_t draw();

    agent_config config_;
    std::unique_ptr<metrics_registry> metrics_;
    std::mt19937_64 random_;
    span_queue spans_;
    mailbox<control_mail> mail_;
    // After the mailbox, which the loop watches.
    std::unique_ptr<control_loop> loop_;
    platform_client platform_;
    membership membership_;
    agent_worker worker_;
    std::thread traffic_;
    incarnation incarnation_;
    agent_report report_;
    bool joined_ = false;
    /// The roster lets this life hold buckets, or is being asked to.
    bool serving_ = false;
    bool draining_ = false;
};

} // namespace galenafork

#endif
