/// \file
/// The process of the balancer of passthrough flows: its control thread, its
/// traffic thread and the exchange between the two.

#ifndef GALENA_PASS_BALANCER_BALANCER_DAEMON_H
#define GALENA_PASS_BALANCER_BALANCER_DAEMON_H

#include "balancer_traffic.h"
#include "peer_info_service.h"

#include <galenafork/control_loop.h>
#include <galenafork/platform_client.h>
#include <libpassd/evacuation_follower.h>
#include <libpassd/rules_follower.h>
#include <libpassd/store_registration.h>
#include <platform/instance_settings.h>

#include <random>
#include <thread>

namespace galenafork
{

/// A balancer process: runs the control loop and starts the traffic thread.
class balancer_daemon
{
public:
    /// Binds all addresses. Fails with `unavailable` if an address is taken,
    /// and with `bad_address` if the address for segments is not an IPv4
    /// address.
    static tl::expected<std::unique_ptr<balancer_daemon>, error>
    open(const platform_adapter::instance_settings& settings,
         const hedge_settings& hedging);
    ~balancer_daemon();
    balancer_daemon(const balancer_daemon&) = delete;
    balancer_daemon& operator=(const balancer_daemon&) = delete;

    /// Runs until the drain that SIGTERM starts has ended. Returns the exit
    /// code of the process.
    exit_code run();

private:
    balancer_daemon(const platform_adapter::instance_settings& settings,
                    const hedge_settings& hedging,
                    std::unique_ptr<metrics_registry> metrics,
                    std::unique_ptr<control_loop> loop, packet_io io);

    http_response handle_request(const http_request& request) const;
    readiness check_readiness() const;
    endpoint rpc_address(host_address host) const;
    std::string own_entry() const;
    member_lists members() const;
    bool follows_evacuations() const;
    void note_members(const std::vector<platform_object>& entries);
    kj::Promise<void> follow_members();
    kj::Promise<void> query_seeds();
    kj::Promise<rules_text> query_seed(host_address host);
    kj::Promise<void> drain();
    kj::Promise<void> wait_until_idle(std::uint64_t segments_before);
    std::uint64_t random_bits();
    read_pacer make_pacer(duration limit,
                          const std::atomic<instant>& latest_read);

    platform_adapter::instance_settings settings_;
    std::uint32_t hedge_percent_;
    std::unique_ptr<metrics_registry> metrics_;
    // Declared before the loop, which reads the mailboxes and so must not
    // outlive them.
    mailbox<newer_rules> newer_rules_mailbox_;
    evacuation_log evacuation_log_;
    std::unique_ptr<control_loop> loop_;
    std::mt19937_64 random_;
    decision_log log_;
    platform_client store_;
    balancer_traffic traffic_;
    rules_follower follower_;
    evacuation_follower evacuations_;
    store_registration registration_;
    std::thread thread_;
    std::vector<host_address> balancers_;
    bool members_read_ = false;
    bool leaving_ = false;
    /// The own entry is being removed from the store.
    bool removing_entry_ = false;
    instant leaving_since_{};
    mutable bool was_ready_ = false;
};

} // namespace galenafork

#endif
