/// \file
/// The traffic thread of an agent: an ACE reactor that drives the decisions
/// and moves packets between balancers, agents and the upstream.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_WORKER_H
#define GALENAFORK_GALENA_AGENT_AGENT_WORKER_H

#include "agent_config.h"
#include "agent_mail.h"
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

/// What an agent's traffic thread needs.
struct worker_dependencies
{
    metrics_registry& metrics_;
    span_queue& spans_;
    mailbox<control_mail>& to_control_;
    std::uint64_t seed_ = 0;
};

/// State and handlers of the traffic thread. Made and destroyed by the
/// control thread; `run` belongs to the traffic thread.
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

    /// Makes `run` return. Any thread.
    void stop();

    /// Mail from the control thread.
    void post(traffic_mail mail);

private:
    void watch(int fd, input_handler& handler);
    void take_mail();
    void take_packets();
    void take_datagram(const datagram_view& in);
    void take_packet(forwarded_packet packet);
    void take_tick();
    void take_upstream(const flow_key& flow, const byte_buffer& answer);
    void finish_request(const flow_key& flow, const byte_buffer& answer);
    void begin(const begin_life& life);
    void act(const agent_actions& actions);
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
    bool is_admitted(const send_to_upstream& action);
    byte_buffer upstream_payload(const send_to_upstream& action,
                                 const trace_context& trace) const;
    trace_context offer_span(const forwarded_packet& packet, const char* name);
    void report();
    void update_load();

    agent_config config_;
    unique_fd packets_;
    agent_metrics metrics_;
    span_queue& spans_;
    mailbox<control_mail>& to_control_;
    mailbox<traffic_mail> inbox_;
    trace_sampler traces_;
    std::uint64_t random_;
    std::optional<agent_state> state_;
    request_tracker requests_;
    retry_budget budget_;
    double service_seconds_ = 0;
    instant started_;
    instant last_report_;
    receive_batch received_;
    interval_timer ticks_;
    wake_event stop_;
    bool stopped_ = false;
    input_handler on_packets_;
    input_handler on_inbox_;
    input_handler on_stop_;
    input_handler on_tick_;
    ACE_Reactor reactor_;
    upstream_flows upstreams_;
};

} // namespace galenafork

#endif
