/// \file
/// The traffic thread of an agent: an ACE reactor that feeds events to the
/// agent core, performs the actions it returns and moves packets between
/// balancers, agents and the upstream.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_WORKER_H
#define GALENAFORK_GALENA_AGENT_AGENT_WORKER_H

#include "agent_config.h"
#include "agent_messages.h"
#include "agent_metrics.h"
#include "request_tracker.h"
#include "upstream_flows.h"

#include <galenafork/interval_timer.h>
#include <galenafork/load_policy.h>
#include <galenafork/mailbox.h>
#include <galenafork/trace_export.h>
#include <galenafork/udp_socket.h>

#include <ace/Reactor.h>
#include <optional>

namespace galenafork
{

/// Dependencies of the traffic thread; the references must outlive it.
struct worker_dependencies
{
    metrics_registry& metrics_;
    span_queue& spans_;
    mailbox<control_message>& control_messages_;
    std::uint64_t seed_ = 0;
};

/// State and event handlers of the traffic thread. The control thread creates
/// and destroys this object; the traffic thread calls `run`.
class agent_worker
{
public:
    agent_worker(const agent_config& config, unique_fd packets,
                 worker_dependencies dependencies);
    ~agent_worker();
    agent_worker(const agent_worker&) = delete;
    agent_worker& operator=(const agent_worker&) = delete;

    /// Handles events until `stop`.
    void run();

    /// Makes `run` return. Thread-safe.
    void stop();

    /// Queues a message for the traffic thread. Thread-safe.
    void post(traffic_message message);

private:
    void add_handler(int fd, input_handler& handler);
    void handle_messages();
    void receive_packets();
    void handle_datagram(const datagram_view& received);
    void handle_packet(forwarded_packet packet);
    void handle_tick();
    void handle_upstream_datagram(const flow_key& flow,
                                  const byte_buffer& answer);
    void finish_request(const flow_key& flow, const byte_buffer& answer);
    void start(const start_incarnation& command);
    void perform_actions(const agent_actions& actions);
    void perform(const send_peer_message& action);
    void perform(const forward_to_agent& action);
    void perform(const send_stale_notice& action);
    void perform(const send_to_upstream& action);
    void perform(const send_stored_answer& action);
    void perform(const refuse_packet& action);
    void perform(const close_flow& action);
    void perform(const fetch_roster& action);
    void perform(const request_removal& action);
    void perform(const rejoin_service& action);
    void send(const datagram& message, const endpoint& to);
    void send_to_caller(const flow_key& flow, const endpoint& fabric,
                        const byte_buffer& answer);
    bool admit_or_shed(const send_to_upstream& action);
    byte_buffer upstream_payload(const send_to_upstream& action,
                                 const trace_context& trace) const;
    trace_context record_span(const forwarded_packet& packet, const char* name);
    void send_status();
    void update_load();

    agent_config config_;
    unique_fd packet_socket_;
    agent_metrics metrics_;
    span_queue& spans_;
    mailbox<control_message>& control_messages_;
    mailbox<traffic_message> inbox_;
    trace_sampler traces_;
    std::uint64_t seed_;
    std::optional<agent_state> state_;
    request_tracker requests_;
    retry_budget retry_budget_;
    /// Smoothed service time of one request at the upstream.
    double service_time_s_ = 0;
    instant started_at_;
    instant last_status_sent_at_;
    receive_batch received_;
    interval_timer tick_timer_;
    wake_event stop_;
    bool stopped_ = false;
    input_handler on_packets_;
    input_handler on_inbox_;
    input_handler on_stop_;
    input_handler on_tick_;
    ACE_Reactor reactor_;
    upstream_flows upstream_flows_;
};

} // namespace galenafork

#endif
