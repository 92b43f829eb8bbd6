#include "flow.h"

#include <common/log.h>

#include <algorithm>

namespace galenafork::standin
{

namespace
{

constexpr unsigned timeout_growth = 2;

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

flow::flow(event_loop& loop, const flow_settings& settings, tally& counts,
           std::uint32_t number, std::string tag)
    : loop_(loop), settings_(settings), counts_(counts), number_(number),
      tag_(std::move(tag)),
      random_(std::hash<std::string>()(tag_ + std::to_string(number))),
      socket_(any_loopback_port()), transmission_(random_()),
      message_id_(static_cast<std::uint16_t>(random_()))
{
    loop_.watch(socket_->descriptor(), [this] { take_datagrams(); });
}

void flow::start(duration delay, event_loop::handler on_end)
{
    on_end_ = std::move(on_end);
    ends_at_ = read_monotonic_clock() + delay + settings_.life_;
    loop_.after(delay, [this] { begin_request(); });
}

void flow::begin_request()
{
    if (ending_ || read_monotonic_clock() >= ends_at_)
    {
        end_flow();
        return;
    }
    ++sequence_;
    retries_ = 0;
    maybe_ran_ = false;
    counts_.sent();
    sent_at_ = read_monotonic_clock();
    send_anew();
}

// A new message with its own id and token for the request under way.
void flow::send_anew()
{
    ++message_id_;
    ++transmission_;
    repeats_ = 0;
    acknowledged_ = false;
    waiting_ = true;
    timeout_ = settings_.ack_timeout_;
    build_request();
    transmit();
}

void flow::transmit()
{
    socket_->send(request_, settings_.service_);
    arm(timeout_, &flow::on_ack_timeout);
}

void flow::arm(duration delay, void (flow::*action)())
{
    const std::uint64_t timer = ++timer_;
    loop_.after(delay,
                [this, timer, action]
                {
                    if (timer == timer_ && waiting_)
                    {
                        (this->*action)();
                    }
                });
}

void flow::on_ack_timeout()
{
    if (repeats_ == settings_.most_repeats_)
    {
        end_request(outcome::broken, "no_answer");
        return;
    }
    ++repeats_;
    timeout_ *= timeout_growth;
    transmit();
}

void flow::on_answer_timeout()
{
    end_request(outcome::broken, "no_separate_answer");
}

void flow::take_datagrams()
{
    while (socket_.has_value())
    {
        const auto received = socket_->receive();
        if (!received.has_value())
        {
            return;
        }
        if (received->from_ == settings_.service_)
        {
            take_message(received->bytes_);
        }
        else
        {
            take_stray(*received);
        }
    }
}

// A new flow may get the port of one that ended, and with it late answers of
// another service. Only an answer to this flow's own requests is misdelivered.
void flow::take_stray(const received_datagram& stray)
{
    const std::string own = " id=" + tag_ + "-" + std::to_string(number_) + "-";
    const std::string text = to_text(stray.bytes_);
    if (text.find(own) != std::string::npos)
    {
        counts_.ended(outcome::misdelivered, "answer_from_another_service");
        return;
    }
    counts_.came_late();
    log_line("stray")
        .with("flow", number_)
        .with("from", to_string(stray.from_))
        .with("size", stray.bytes_.size());
}

void flow::take_message(const byte_buffer& bytes)
{
    if (settings_.kind_ == flow_kind::udp)
    {
        take_text(to_text(bytes));
        return;
    }
    const auto message = parse_coap(bytes.data(), bytes.size());
    if (!message.has_value())
    {
        counts_.ended(outcome::broken, "malformed_answer");
        log_line("malformed_answer")
            .with("flow", number_)
            .with("size", bytes.size());
        return;
    }
    if (is_response(*message))
    {
        acknowledge(*message);
        take_response(*message);
    }
    else if (message->type_ == coap_type::acknowledgement && waiting_ &&
             message->message_id_ == message_id_)
    {
        acknowledged_ = true;
        arm(settings_.answer_timeout_, &flow::on_answer_timeout);
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
        socket_->send(*bytes, settings_.service_);
    }
}

void flow::take_response(const coap_message& response)
{
    byte_buffer own;
    append_u32(own, number_);
    const bool of_this_flow =
        response.token_.size() == token().size() &&
        std::equal(own.begin(), own.end(), response.token_.begin());
    if (!of_this_flow)
    {
        counts_.ended(outcome::broken, "answer_of_another_flow");
    }
    else if (!waiting_ || response.token_ != token())
    {
        counts_.came_late();
    }
    else if (is_refusal(response.code_))
    {
        take_refusal(response);
    }
    else if (!is_success(response.code_))
    {
        end_request(outcome::broken, "error_answer");
    }
    else if (settings_.kind_ == flow_kind::photo)
    {
        take_photo_block(response);
    }
    else
    {
        take_text(to_text(response.payload_));
    }
}

void flow::take_refusal(const coap_message& response)
{
    const bool clean = response.code_ == coap_code::service_unavailable;
    const bool repeatable = settings_.kind_ != flow_kind::intake;
    maybe_ran_ = maybe_ran_ || !clean;
    if ((!clean && !repeatable) || retries_ == settings_.most_retries_)
    {
        end_request(outcome::refused, to_text(response.payload_));
        return;
    }
    ++retries_;
    const std::chrono::seconds hint(
        uint_option(response, coap_option_number::max_age).value_or(1));
    const duration wait =
        std::min<duration>(hint, settings_.longest_retry_wait_);
    arm(wait, &flow::send_anew);
}

void flow::take_text(const std::string& payload)
{
    const auto text = parse_answer_text(payload);
    const bool udp = settings_.kind_ == flow_kind::udp;
    if (udp && (!waiting_ || !text.has_value() || text->id_ != request_id()))
    {
        // Without tokens a late echo shows by its id only.
        counts_.came_late();
        return;
    }
    if (text.has_value() && text->id_ != request_id())
    {
        end_request(outcome::broken, "answer_of_another_request");
        return;
    }
    check_answer(text);
}

void flow::take_photo_block(const coap_message& response)
{
    const auto block = block_option(response, coap_option_number::block2);
    const auto text = parse_answer_text(to_text(response.payload_));
    if (!block.has_value() || block->number_ != block_ || !text.has_value())
    {
        end_request(outcome::broken, "wrong_block");
        return;
    }
    const std::string expected =
        photo_bytes({text->service_, text->instance_, request_id()},
                    block->offset(), response.payload_.size());
    if (to_text(response.payload_) != expected)
    {
        end_request(outcome::broken, "wrong_bytes");
        return;
    }
    block_ = block->more_ ? block_ + 1 : 0;
    photo_ += block->more_ ? 0 : 1;
    check_answer(text);
}

void flow::check_answer(const std::optional<answer_text>& text)
{
    if (!text.has_value())
    {
        end_request(outcome::broken, "unreadable_answer");
    }
    else if (text->service_ != settings_.expected_)
    {
        end_request(outcome::misdelivered, "wrong_service");
    }
    else if (instance_.has_value() && *instance_ != text->instance_)
    {
        instance_ = text->instance_;
        end_request(outcome::broken, "moved");
    }
    else
    {
        instance_ = text->instance_;
        end_request(outcome::answered, "");
    }
}

void flow::end_request(outcome how, const std::string& reason)
{
    waiting_ = false;
    counts_.ended(how, reason);
    if (how == outcome::broken || how == outcome::misdelivered)
    {
        log_line("broken")
            .with("reason", reason)
            .with("id", request_id())
            .with("caller", to_string(socket_->local()))
            .with("repeats", repeats_)
            .with("acknowledged", acknowledged_)
            .with("instance", instance_ ? instance_->value() : "none");
    }
    if (how == outcome::answered)
    {
        counts_.took(read_monotonic_clock() - sent_at_);
        record_intake(intake_state::ran);
    }
    else if (how == outcome::refused)
    {
        record_intake(maybe_ran_ ? intake_state::may_have_run
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
        counts_.intake_ended(state, request_id());
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
                         {block_, false, 6});
    }
    request_ = encode_coap(request).value_or(byte_buffer{});
}

// Flow, then transmission: an answer to another message cannot match.
byte_buffer flow::token() const
{
    byte_buffer bytes;
    append_u32(bytes, number_);
    append_u32(bytes, transmission_);
    return bytes;
}

// All blocks of a photo set are asked for under one id.
std::string flow::request_id() const
{
    const std::uint32_t part =
        settings_.kind_ == flow_kind::photo ? photo_ : sequence_;
    return tag_ + "-" + std::to_string(number_) + "-" + std::to_string(part);
}

} // namespace galenafork::standin
