/// \file
/// The balancer as a process: its control thread and its traffic threads.

#ifndef GALENAFORK_GALENA_BALANCER_BALANCER_APP_H
#define GALENAFORK_GALENA_BALANCER_BALANCER_APP_H

#include "balancer_server.h"
#include "balancer_settings.h"
#include "peers.h"
#include "platform_watch.h"
#include "relay_role.h"
#include "state_replica.h"
#include "traffic_thread.h"

#include <memory>
#include <random>
#include <vector>

namespace galenafork
{

/// The balancer. The calling thread becomes the control thread; traffic threads
/// forward the packets.
class balancer_app
{
public:
    /// Opens all sockets. Fails with `unavailable` if an address can't be
    /// bound, and with `bad_setting` if the trace file can't be opened.
    static tl::expected<std::unique_ptr<balancer_app>, error>
    open(const balancer_settings& settings);

    ~balancer_app();
    balancer_app(const balancer_app&) = delete;
    balancer_app& operator=(const balancer_app&) = delete;

    /// Runs until the drain that SIGTERM or SIGINT starts is over.
    exit_code run();

private:
    balancer_app(const balancer_settings& settings,
                 std::unique_ptr<metrics_registry> metrics,
                 std::unique_ptr<control_loop> loop);

    tl::expected<void, error> open_traffic_threads();
    void start_control();
    void handle_stale_notice(const stale_notice& notice);
    kj::Promise<void> drain();
    readiness check_readiness() const;
    std::string status() const;
    void update_metrics();
    double random_unit();

    balancer_settings settings_;
    std::unique_ptr<metrics_registry> metrics_;
    std::mt19937_64 random_;
    span_queue spans_;
    mailbox<stale_notice> notices_;
    std::unique_ptr<control_loop> loop_;
    std::vector<std::unique_ptr<traffic_thread>> traffic_threads_;
    platform_client platform_;
    state_replica replica_;
    platform_watch watch_;
    peers peers_;
    subscribers subscribers_;
    relay_role relay_;
    gauge& ready_;
    platform_metrics platform_metrics_;
    gauge& spans_dropped_;
    bool draining_ = false;
};

} // namespace galenafork

#endif
