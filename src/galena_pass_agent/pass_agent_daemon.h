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
    std::string own_entry() const;
    std::string own_entry_value() const;
    /// Reads from the entry of this agent's predecessor whether the upstream's
    /// address has accepted a connection.
    kj::Promise<void> read_own_entry();
    /// Records it for this agent and, in the entry, for its successors.
    void note_connection_accepted();
    /// Checks whether the upstream's process is running and posts the result
    /// to the traffic thread.
    kj::Promise<void> check_upstream_process(upstream_check_request request);
    kj::Promise<void> drain();
    /// Removes the own entry in the background if the upstream is gone.
    void remove_entry_if_gone();
    /// Returns whether the drain must continue for work of its own.
    bool is_drain_pending() const;
    kj::Promise<void> wait_until_idle();
    std::uint64_t random_bits();

    platform_adapter::instance_settings settings_;
    std::unique_ptr<metrics_registry> metrics_;
    // Declared before the loop, which reads their mailboxes and so must not
    // outlive them.
    evacuation_log evacuation_log_;
    mailbox<upstream_check_request> check_requests_;
    std::unique_ptr<control_loop> loop_;
    std::mt19937_64 random_;
    decision_log log_;
    platform_client store_;
    agent_traffic traffic_;
    store_registration registration_;
    std::thread thread_;
    bool registered_ = false;
    bool upstream_accepts_connections_ = false;
    bool entry_removal_started_ = false;
    /// The removal of the entry has not ended yet.
    bool removing_entry_ = false;
    /// The check that the drain starts with has not ended yet.
    bool final_check_running_ = false;
    /// Results of checks that were posted to the traffic thread.
    std::uint32_t checks_posted_ = 0;
    upstream_presence last_presence_ = upstream_presence::unknown;
    bool balancers_read_ = false;
    instant leaving_since_{};
    counter& reports_;
    counter& bad_reports_;
    counter& checks_;
    counter& absences_;
};

} // namespace galenafork

#endif
