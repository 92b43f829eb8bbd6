/// \file
/// One caller's flow: a socket that sends one request after another.

#ifndef GALENAFORK_STANDINS_FLOW_H
#define GALENAFORK_STANDINS_FLOW_H

#include <common/tally.h>

#include <common/answer_text.h>
#include <common/event_loop.h>
#include <common/udp_socket.h>

#include <galenafork/coap.h>
#include <optional>
#include <random>
#include <string>

namespace galenafork::standin
{

/// What the requests of a flow are.
enum class flow_kind
{
    status,
    intake,
    photo,
    /// Opaque datagrams that the upstream echoes.
    udp,
};

/// What every flow is told.
struct flow_settings
{
    flow_kind kind_ = flow_kind::status;
    /// The fabric's socket of the service.
    endpoint service_;
    /// The service that must answer.
    service_name expected_;
    /// Mean pause between two requests.
    duration pause_ = std::chrono::milliseconds(50);
    /// The flow ends after that long.
    duration life_ = std::chrono::seconds(3);
    /// First wait for an acknowledgement; doubles with each repeat.
    duration ack_timeout_ = std::chrono::milliseconds(300);
    unsigned most_repeats_ = 4;
    /// Wait for a separate answer after the acknowledgement.
    duration answer_timeout_ = std::chrono::seconds(10);
    /// How often a refused request is sent anew.
    unsigned most_retries_ = 5;
    /// A retry waits as long as it was told, but no longer than that.
    duration longest_retry_wait_ = std::chrono::seconds(2);
};

/// One flow. Works while its loop runs; must outlive the loop's last run.
class flow
{
public:
    /// `number` is unique in the run and goes into every request; `tag`
    /// tells runs apart.
    flow(event_loop& loop, const flow_settings& settings, tally& counts,
         std::uint32_t number, std::string tag);

    /// Sends the first request after `delay`; calls `on_end` once the flow
    /// has ended.
    void start(duration delay, event_loop::handler on_end);

    /// Sends no further request.
    void finish_up()
    {
        ending_ = true;
    }

private:
    void begin_request();
    void send_anew();
    void transmit();
    void arm(duration delay, void (flow::*action)());
    void on_ack_timeout();
    void on_answer_timeout();
    void take_datagrams();
    void take_stray(const received_datagram& stray);
    void take_message(const byte_buffer& bytes);
    void take_response(const coap_message& response);
    void acknowledge(const coap_message& message);
    void take_refusal(const coap_message& response);
    void take_text(const std::string& payload);
    void take_photo_block(const coap_message& response);
    void check_answer(const std::optional<answer_text>& text);
    void end_request(outcome how, const std::string& reason);
    void record_intake(intake_state state);
    void end_flow();
    void build_request();
    byte_buffer token() const;
    std::string request_id() const;

    event_loop& loop_;
    const flow_settings& settings_;
    tally& counts_;
    std::uint32_t number_;
    std::string tag_;
    std::mt19937 random_;
    std::optional<udp_socket> socket_;
    event_loop::handler on_end_;
    instant ends_at_;
    bool ending_ = false;

    // The instance that owns the flow, once one has answered.
    std::optional<instance_id> instance_;

    // The request under way. Timers of an older one do nothing.
    bool waiting_ = false;
    std::uint64_t timer_ = 0;
    std::uint32_t sequence_ = 0;
    std::uint32_t transmission_ = 0;
    std::uint32_t block_ = 0;
    std::uint32_t photo_ = 0;
    std::uint16_t message_id_ = 0;
    bool acknowledged_ = false;
    bool maybe_ran_ = false;
    unsigned repeats_ = 0;
    unsigned retries_ = 0;
    duration timeout_{};
    instant sent_at_;
    byte_buffer request_;
};

} // namespace galenafork::standin

#endif
