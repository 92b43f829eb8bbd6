#include "flow.h"

#include <common/log.h>

#include <algorithm>

namespace galenafork::standin
{

namespace
{

constexpr unsigned ack_timeout_growth = 2;

void append_u32(byte_buffer& bytes, std::uint32_t value)
{
    constexpr unsigned top_shift = 24;
    for (int shift = top_shift; shift >= 0; shift -= 8)
    {
        bytes.push_back(
            static_cast<std::uint8_t>(value >> static_cast<unsigned>(shift)));
    }
}

bool is_refusal(coap_code code)
{
    return code == coap_code::service_unavailable ||
           code == coap_code::gateway_timeout;
}

bool is_success(coap_code code)
{
    return code == coap_code::content || code == coap_code::created;
}

} // namespace

flow::flow(event_loop& loop, const flow_settings& settings,
           request_stats& stats, std::uint32_t number, std::string tag)
    : loop_(loop), settings_(settings), stats_(stats), number_(number),
      tag_(std::move(tag)),
      random_(std::hash<std::string>()(tag_ + std::to_string(number))),
      socket_(any_loopback_port()), attempt_(random_()),
      message_id_(static_cast<std::uint16_t>(random_()))
{
    loop_.watch(socket_->descriptor(), [this] { receive_datagrams(); });
}

void flow::start(duration delay, event_loop::handler on_end)
{
    on_end_ = std::move(on_end);
    ends_at_ = read_monotonic_clock() + delay + settings_.lifetime_;
    loop_.after(delay, [this] { begin_request(); });
}

void flow::begin_request()
{
    if (stopping_ || read_monotonic_clock() >= ends_at_)
    {
        end_flow();
        return;
    }
    ++sequence_;
    retries_ = 0;
    may_have_run_ = false;
    stats_.count_sent();
    sent_at_ = read_monotonic_clock();
    start_attempt();
}

// Sends the current request in a new message with its own message id and token.
void flow::start_attempt()
{
    ++message_id_;
    ++attempt_;
    retransmits_ = 0;
    acknowledged_ = false;
    request_pending_ = true;
    current_ack_timeout_ = settings_.ack_timeout_;
    build_request();
    transmit();
}

void flow::transmit()
{
    socket_->send(request_, settings_.service_endpoint_);
    start_timer(current_ack_timeout_, &flow::on_ack_timeout);
}

void flow::start_timer(duration delay, void (flow::*action)())
{
    const std::uint64_t timer_number = ++timer_number_;
    loop_.after(delay,
                [this, timer_number, action]
                {
                    if (timer_number == timer_number_ && request_pending_)
                    {
                        (this->*action)();
                    }
                });
}

void flow::on_ack_timeout()
{
    if (retransmits_ == settings_.max_retransmits_)
    {
        end_request(outcome::broken, "no_answer");
        return;
    }
    ++retransmits_;
    current_ack_timeout_ *= ack_timeout_growth;
    transmit();
}

void flow::on_answer_timeout()
{
    end_request(outcome::broken, "no_separate_answer");
}

void flow::receive_datagrams()
{
    while (socket_.has_value())
    {
        const auto received = socket_->receive();
        if (!received.has_value())
        {
            return;
        }
        if (received->from_ == settings_.service_endpoint_)
        {
            handle_message(received->bytes_);
        }
        else
        {
            handle_stray_datagram(*received);
        }
    }
}

// Handles a datagram that does not come from the service. The flow may have got
// the port of one that has ended, and receive late answers of another service.
// Only answers to the flow's own requests count as misdelivered.
void flow::handle_stray_datagram(const received_datagram& stray)
{
    const std::string own_id_prefix =
        " id=" + tag_ + "-" + std::to_string(number_) + "-";
    const std::string text = to_text(stray.bytes_);
    if (text.find(own_id_prefix) != std::string::npos)
    {
        stats_.count_outcome(outcome::misdelivered,
                             "answer_from_another_service");
        return;
    }
    stats_.count_late_answer();
    log_line("stray")
        .with("flow", number_)
        .with("from", to_string(stray.from_))
        .with("size", stray.bytes_.size());
}

void flow::handle_message(const byte_buffer& bytes)
{
    if (settings_.kind_ == flow_kind::udp)
    {
        handle_text_answer(to_text(bytes));
        return;
    }
    const auto message = parse_coap(bytes.data(), bytes.size());
    if (!message.has_value())
    {
        stats_.count_outcome(outcome::broken, "malformed_answer");
        log_line("malformed_answer")
            .with("flow", number_)
            .with("size", bytes.size());
        return;
    }
    if (is_response(*message))
    {
        acknowledge(*message);
        handle_response(*message);
    }
    else if (message->type_ == coap_type::acknowledgement && request_pending_ &&
             message->message_id_ == message_id_)
    {
        acknowledged_ = true;
        start_timer(settings_.answer_timeout_, &flow::on_answer_timeout);
    }
}

void flow::acknowledge(const coap_message& message)
{
    if (message.type_ != coap_type::confirmable)
    {
        return;
    }
    coap_message ack;
    ack.type_ = coap_type::acknowledgement;
    ack.message_id_ = message.message_id_;
    const auto bytes = encode_coap(ack);
    if (bytes.has_value())
    {
        socket_->send(*bytes, settings_.service_endpoint_);
    }
}

void flow::handle_response(const coap_message& response)
{
    byte_buffer flow_number;
    append_u32(flow_number, number_);
    const bool is_for_this_flow =
        response.token_.size() == token().size() &&
        std::equal(flow_number.begin(), flow_number.end(),
                   response.token_.begin());
    if (!is_for_this_flow)
    {
        stats_.count_outcome(outcome::broken, "answer_of_another_flow");
    }
    else if (!request_pending_ || response.token_ != token())
    {
        stats_.count_late_answer();
    }
    else if (is_refusal(response.code_))
    {
        handle_refusal(response);
    }
    else if (!is_success(response.code_))
    {
        end_request(outcome::broken, "error_answer");
    }
    else if (settings_.kind_ == flow_kind::photo)
    {
        handle_photo_block(response);
    }
    else
    {
        handle_text_answer(to_text(response.payload_));
    }
}

void flow::handle_refusal(const coap_message& response)
{
    const bool did_not_run = response.code_ == coap_code::service_unavailable;
    const bool idempotent = settings_.kind_ != flow_kind::intake;
    may_have_run_ = may_have_run_ || !did_not_run;
    if ((!did_not_run && !idempotent) || retries_ == settings_.max_retries_)
    {
        end_request(outcome::refused, to_text(response.payload_));
        return;
    }
    ++retries_;
    const std::chrono::seconds hint(
        uint_option(response, coap_option_number::max_age).value_or(1));
    const duration wait = std::min<duration>(hint, settings_.max_retry_wait_);
    start_timer(wait, &flow::start_attempt);
}

void flow::handle_text_answer(const std::string& payload)
{
    const auto identity = parse_answer_identity(payload);
    const bool is_udp = settings_.kind_ == flow_kind::udp;
    if (is_udp && (!request_pending_ || !identity.has_value() ||
                   identity->id_ != request_id()))
    {
        // Echoed datagrams have no token, so late ones are recognized by the
        // request id.
        stats_.count_late_answer();
        return;
    }
    if (identity.has_value() && identity->id_ != request_id())
    {
        end_request(outcome::broken, "answer_of_another_request");
        return;
    }
    check_answer(identity);
}

void flow::handle_photo_block(const coap_message& response)
{
    const auto block = block_option(response, coap_option_number::block2);
    const auto identity = parse_answer_identity(to_text(response.payload_));
    if (!block.has_value() || block->number_ != block_number_ ||
        !identity.has_value())
    {
        end_request(outcome::broken, "wrong_block");
        return;
    }
    const std::string expected =
        photo_bytes({identity->service_, identity->instance_, request_id()},
                    block->offset(), response.payload_.size());
    if (to_text(response.payload_) != expected)
    {
        end_request(outcome::broken, "wrong_bytes");
        return;
    }
    block_number_ = block->more_ ? block_number_ + 1 : 0;
    photo_number_ += block->more_ ? 0 : 1;
    check_answer(identity);
}

void flow::check_answer(const std::optional<answer_identity>& identity)
{
    if (!identity.has_value())
    {
        end_request(outcome::broken, "unreadable_answer");
    }
    else if (identity->service_ != settings_.expected_service_)
    {
        end_request(outcome::misdelivered, "wrong_service");
    }
    else if (instance_.has_value() && *instance_ != identity->instance_)
    {
        instance_ = identity->instance_;
        end_request(outcome::broken, "moved");
    }
    else
    {
        instance_ = identity->instance_;
        end_request(outcome::answered, "");
    }
}

void flow::end_request(outcome result, const std::string& reason)
{
    request_pending_ = false;
    stats_.count_outcome(result, reason);
    if (result == outcome::broken || result == outcome::misdelivered)
    {
        log_line("broken")
            .with("reason", reason)
            .with("id", request_id())
            .with("caller", to_string(socket_->local()))
            .with("repeats", retransmits_)
            .with("acknowledged", acknowledged_)
            .with("instance", instance_ ? instance_->value() : "none");
    }
    if (result == outcome::answered)
    {
        stats_.add_latency(read_monotonic_clock() - sent_at_);
        record_intake(intake_state::ran);
    }
    else if (result == outcome::refused)
    {
        record_intake(may_have_run_ ? intake_state::may_have_run
                                    : intake_state::did_not_run);
    }
    else
    {
        record_intake(intake_state::unknown);
    }
    std::uniform_int_distribution<std::int64_t> pause(
        0, 2 * settings_.pause_.count());
    loop_.after(duration(pause(random_)), [this] { begin_request(); });
}

void flow::record_intake(intake_state state)
{
    if (settings_.kind_ == flow_kind::intake)
    {
        stats_.write_intake_state(state, request_id());
    }
}

void flow::end_flow()
{
    loop_.unwatch(socket_->descriptor());
    socket_.reset();
    on_end_();
}

void flow::build_request()
{
    if (settings_.kind_ == flow_kind::udp)
    {
        request_ = to_bytes(request_id());
        return;
    }
    coap_message request;
    request.code_ = coap_code::get;
    request.message_id_ = message_id_;
    request.token_ = token();
    if (settings_.kind_ == flow_kind::status)
    {
        set_uri_path(request, "/status/" + request_id());
    }
    else if (settings_.kind_ == flow_kind::intake)
    {
        request.code_ = coap_code::post;
        set_uri_path(request, "/intake");
        request.payload_ = to_bytes(request_id());
    }
    else
    {
        set_uri_path(request, "/photos/" + request_id());
        set_block_option(request, coap_option_number::block2,
                         {block_number_, false, 6});
    }
    request_ = encode_coap(request).value_or(byte_buffer{});
}

// The token consists of flow number and attempt, so that no answer to another
// message matches it.
byte_buffer flow::token() const
{
    byte_buffer bytes;
    append_u32(bytes, number_);
    append_u32(bytes, attempt_);
    return bytes;
}

// All blocks of a photo set are requested under the same id.
std::string flow::request_id() const
{
    const std::uint32_t request_number =
        settings_.kind_ == flow_kind::photo ? photo_number_ : sequence_;
    return tag_ + "-" + std::to_string(number_) + "-" +
           std::to_string(request_number);
}

} // namespace galenafork::standin
