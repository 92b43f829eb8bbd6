/// \file
/// The balancer of passthrough flows: control thread, traffic thread and what
/// lies between.

#ifndef GALENA_PASS_BALANCER_BALANCER_DAEMON_H
#define GALENA_PASS_BALANCER_BALANCER_DAEMON_H

#include "balancer_traffic.h"
#include "peer_info_service.h"

#include <galenafork/control_loop.h>
#include <galenafork/platform_client.h>
#include <libpassd/rules_follower.h>
#include <libpassd/store_registration.h>
#include <platform/instance_settings.h>

#include <random>
#include <thread>

namespace galenafork
{

/// One balancer process.
class balancer_daemon
{
public:
    /// Binds all addresses. Fails with `unavailable` if one is taken.
    static tl::expected<std::unique_ptr<balancer_daemon>, error>
    open(const platform_adapter::instance_settings& settings);
    ~balancer_daemon();
    balancer_daemon(const balancer_daemon&) = delete;
    balancer_daemon& operator=(const balancer_daemon&) = delete;

    /// Runs until SIGTERM has been served.
    exit_code run();

private:
    balancer_daemon(const platform_adapter::instance_settings& settings,
                    std::unique_ptr<metrics_registry> metrics,
                    std::unique_ptr<control_loop> loop, packet_io io);

    http_response answer(const http_request& call) const;
    readiness read_readiness() const;
    endpoint rpc_address(host_address host) const;
    member_lists members() const;
    kj::Promise<void> follow_members();
    kj::Promise<void> ask_seeds();
    kj::Promise<void> ask_seed(host_address host);
    kj::Promise<void> drain();
    kj::Promise<void> wait_for_quiet(std::uint64_t segments_before);
    std::uint64_t draw();

    platform_adapter::instance_settings settings_;
    std::unique_ptr<metrics_registry> metrics_;
    // The loop watches it, so it must outlive the loop.
    mailbox<newer_rules> news_;
    std::unique_ptr<control_loop> loop_;
    std::mt19937_64 random_;
    decision_log log_;
    platform_client store_;
    balancer_traffic traffic_;
    rules_follower follower_;
    store_registration entry_;
    std::thread thread_;
    std::vector<host_address> balancers_;
    bool members_read_ = false;
    bool leaving_ = false;
    instant leaving_since_{};
    mutable bool was_ready_ = false;
};

} // namespace galenafork

#endif
