/// \file
/// A flow of a caller, which sends one request after another from its own
/// socket.

#ifndef GALENAFORK_STANDINS_FLOW_H
#define GALENAFORK_STANDINS_FLOW_H

#include <common/request_stats.h>

#include <common/answer_identity.h>
#include <common/event_loop.h>
#include <common/udp_socket.h>

#include <galenafork/coap.h>
#include <optional>
#include <random>
#include <string>

namespace galenafork::standin
{

/// The kind of requests that a flow sends.
enum class flow_kind
{
    status,
    intake,
    photo,
    /// Opaque datagrams that the upstream echoes.
    udp,
};

/// Settings that flows of a group share.
struct flow_settings
{
    flow_kind kind_ = flow_kind::status;
    /// The fabric's address for the service, to which requests are sent.
    endpoint service_endpoint_;
    /// The service whose instances must answer.
    service_name expected_service_;
    /// Mean pause between two requests.
    duration pause_ = std::chrono::milliseconds(50);
    /// Time from the start of the flow after which it starts no further
    /// request.
    duration lifetime_ = std::chrono::seconds(3);
    /// Timeout of the first transmission, doubled with each retransmission.
    duration ack_timeout_ = std::chrono::milliseconds(300);
    unsigned max_retransmits_ = 4;
    /// Timeout of a separate answer, from the acknowledgement of the request.
    duration answer_timeout_ = std::chrono::seconds(10);
    /// How often a refused request is retried.
    unsigned max_retries_ = 5;
    /// Upper limit of the wait before a retry, which a refusal sets with
    /// Max-Age.
    duration max_retry_wait_ = std::chrono::seconds(2);
};

/// A flow. It sends requests while `loop` runs, and must not be destroyed
/// before the loop has stopped.
class flow
{
public:
    /// `number` identifies the flow within the run, `tag` identifies the run;
    /// both are part of every request id.
    flow(event_loop& loop, const flow_settings& settings, request_stats& stats,
         std::uint32_t number, std::string tag);

    /// Sends the first request after `delay`. Calls `on_end` when the flow has
    /// ended.
    void start(duration delay, event_loop::handler on_end);

    /// Ends the flow after the current request.
    void stop_gracefully()
    {
        stopping_ = true;
    }

private:
    void begin_request();
    void start_attempt();
    void transmit();
    void start_timer(duration delay, void (flow::*action)());
    void on_ack_timeout();
    void on_answer_timeout();
    void receive_datagrams();
    void handle_stray_datagram(const received_datagram& stray);
    void handle_message(const byte_buffer& bytes);
    void handle_response(const coap_message& response);
    void acknowledge(const coap_message& message);
    void handle_refusal(const coap_message& response);
    void handle_text_answer(const std::string& payload);
    void handle_photo_block(const coap_message& response);
    void check_answer(const std::optional<answer_identity>& identity);
    void end_request(outcome result, const std::string& reason);
    void record_intake(intake_state state);
    void end_flow();
    void build_request();
    byte_buffer token() const;
    std::string request_id() const;

    event_loop& loop_;
    const flow_settings& settings_;
    request_stats& stats_;
    std::uint32_t number_;
    std::string tag_;
    std::mt19937 random_;
    std::optional<udp_socket> socket_;
    event_loop::handler on_end_;
    instant ends_at_;
    bool stopping_ = false;

    // The instance that has sent the last answer of the expected service.
    std::optional<instance_id> instance_;

    // State of the current request. Only the timer that was started last takes
    // effect.
    bool request_pending_ = false;
    std::uint64_t timer_number_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t attempt_ = 0;
    std::uint32_t block_number_ = 0;
    std::uint32_t photo_number_ = 0;
    std::uint16_t message_id_ = 0;
    bool acknowledged_ = false;
    bool may_have_run_ = false;
    unsigned retransmits_ = 0;
    unsigned retries_ = 0;
    duration current_ack_timeout_{};
    instant sent_at_;
    byte_buffer request_;
};

} // namespace galenafork::standin

#endif
