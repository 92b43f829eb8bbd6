/// \file
/// The process of the agent of passthrough flows: its control thread, its
/// traffic thread and the exchange between the two.

#ifndef GALENA_PASS_AGENT_PASS_AGENT_DAEMON_H
#define GALENA_PASS_AGENT_PASS_AGENT_DAEMON_H

#include "agent_traffic.h"

#include <galenafork/control_loop.h>
#include <galenafork/platform_client.h>
#include <libpassd/store_registration.h>
#include <platform/instance_settings.h>
#include <platform/report_codec.h>

#include <random>
#include <thread>

namespace galenafork
{

/// An agent process: runs the control loop and starts the traffic thread.
class pass_agent_daemon
{
public:
    /// Binds all addresses. Fails with `unavailable` if an address is taken,
    /// with `bad_address` if an address for segments is not an IPv4 address,
    /// and with `bad_setting` if there is no upstream on this instance.
    static tl::expected<std::unique_ptr<pass_agent_daemon>, error>
    open(const platform_adapter::instance_settings& settings);
    ~pass_agent_daemon();
    pass_agent_daemon(const pass_agent_daemon&) = delete;
    pass_agent_daemon& operator=(const pass_agent_daemon&) = delete;

    /// Runs until the drain that SIGTERM starts has ended. Returns the exit
    /// code of the process.
    exit_code run();

private:
    pass_agent_daemon(const platform_adapter::instance_settings& settings,
                      std::unique_ptr<metrics_registry> metrics,
                      std::unique_ptr<control_loop> loop, packet_io io,
                      unique_fd upstream_socket);

    http_response handle_request(const http_request& request);
    http_response handle_report_request(const instance_id& instance,
                                        const std::string& body);
    http_response handle_deregistration_request(const instance_id& instance);
    kj::Promise<void> find_balancers();
    kj::Promise<void> drain();
    kj::Promise<void> wait_until_idle();
    std::uint64_t random_bits();

    platform_adapter::instance_settings settings_;
    std::unique_ptr<metrics_registry> metrics_;
    // Declared before the loop, which reads its mailbox and so must not outlive
    // it.
    evacuation_log evacuation_log_;
    std::unique_ptr<control_loop> loop_;
    std::mt19937_64 random_;
    decision_log log_;
    platform_client store_;
    agent_traffic traffic_;
    store_registration registration_;
    std::thread thread_;
    bool registered_ = false;
    /// The removal of the entry has not ended yet.
    bool removing_entry_ = false;
    bool balancers_read_ = false;
    instant leaving_since_{};
    counter& reports_;
    counter& bad_reports_;
};

} // namespace galenafork

#endif
