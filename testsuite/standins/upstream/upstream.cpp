#include "upstream.h"

#include <common/log.h>
#include <common/span.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace galenafork::standin
{

namespace
{

constexpr unsigned permille = 1000;
constexpr std::chrono::seconds retry_after{1};
constexpr std::size_t max_echo_bytes = 1024;

// Returns the path without its first segment: `7` for `/status/7`.
std::string id_from_path(const std::string& path)
{
    const auto slash = path.find('/', 1);
    return slash == std::string::npos ? "" : path.substr(slash + 1);
}

bool starts_with(const std::string& text, const char* prefix)
{
    return text.rfind(prefix, 0) == 0;
}

} // namespace

upstream::upstream(event_loop& loop, upstream_settings settings)
    : loop_(loop), settings_(std::move(settings)), socket_(settings_.listen_),
      ledger_(settings_.ledger_path_), started_at_(read_monotonic_clock()),
      load_report_(load_json())
{
    loop_.watch(socket_.descriptor(), [this] { receive_datagrams(); });
    if (settings_.load_report_interval_ > duration(0))
    {
        loop_.run_every(settings_.load_report_interval_,
                        [this] { load_report_ = load_json(); });
    }
}

void upstream::drain()
{
    draining_ = true;
    stop_when_idle();
}

void upstream::receive_datagrams()
{
    while (const auto received = socket_.receive())
    {
        if (settings_.echo_)
        {
            echo(*received);
        }
        else
        {
            handle_message(*received);
        }
    }
}

void upstream::echo(const received_datagram& received)
{
    ++counters_.served_;
    const std::string id = to_text(received.bytes_).substr(0, max_echo_bytes);
    socket_.send(to_bytes(to_string(identity_for(id))), received.from_);
}

void upstream::handle_message(const received_datagram& received)
{
    const auto message =
        parse_coap(received.bytes_.data(), received.bytes_.size());
    if (!message.has_value())
    {
        ++counters_.malformed_;
        return;
    }
    if (message->type_ == coap_type::reset)
    {
        cancel(received.from_, message->message_id_);
    }
    else if (is_request(*message))
    {
        handle_request(received.from_, *message);
    }
}

void upstream::handle_request(const endpoint& from, const coap_message& request)
{
    const std::string path = uri_path(request);
    const bool is_get = request.code_ == coap_code::get;
    if (is_get && path == "/load")
    {
        coap_message answer = make_coap_response(request, coap_code::content);
        const bool is_cached = settings_.load_report_interval_ > duration(0);
        answer.payload_ = to_bytes(is_cached ? load_report_ : load_json());
        send(from, answer);
    }
    else if (is_get && path == "/health")
    {
        coap_message answer = make_coap_response(request, coap_code::content);
        answer.payload_ = to_bytes(draining_ ? "draining" : "ok");
        send(from, answer);
    }
    else if (is_get && starts_with(path, "/status/"))
    {
        submit({from, request, settings_.status_time_});
    }
    else if (is_get && starts_with(path, "/photos/"))
    {
        submit({from, request, settings_.photo_time_});
    }
    else if (request.code_ == coap_code::post && path == "/intake")
    {
        submit({from, request, settings_.intake_time_});
    }
    else
    {
        send(from, make_coap_response(request, coap_code::not_found));
    }
}

void upstream::submit(job work)
{
    if (draining_)
    {
        refuse(work, refusal::draining);
    }
    else if (queue_.size() >= settings_.queue_limit_)
    {
        refuse(work, refusal::overloaded);
    }
    else
    {
        queue_.push_back(std::move(work));
        start_queued();
    }
}

void upstream::start_queued()
{
    while (!queue_.empty() && running_ < settings_.slots_.value())
    {
        const job work = std::move(queue_.front());
        queue_.pop_front();
        start(work);
    }
}

void upstream::start(const job& work)
{
    if (is_expired(work))
    {
        ++counters_.expired_;
        refuse(work, refusal::deadline_passed);
        return;
    }
    log_request_span(work);
    ++running_;
    if (work.request_.code_ == coap_code::post)
    {
        const std::string id = to_text(work.request_.payload_);
        if (ledger_.record_run(id) > 1)
        {
            log_line("doubled").with("id", id);
        }
    }
    const duration service_time =
        work.service_time_ * (is_cold() ? settings_.cold_factor_ : 1);
    loop_.after(service_time, [this, work] { finish(work); });
}

void upstream::finish(const job& work)
{
    --running_;
    ++counters_.served_;
    send(work.from_, make_response(work));
    start_queued();
    stop_when_idle();
}

void upstream::cancel(const endpoint& from, std::uint16_t message_id)
{
    const auto cancelled =
        std::remove_if(queue_.begin(), queue_.end(),
                       [&](const job& work) {
                           return work.from_ == from &&
                                  work.request_.message_id_ == message_id;
                       });
    counters_.cancelled_ +=
        static_cast<std::uint64_t>(queue_.end() - cancelled);
    queue_.erase(cancelled, queue_.end());
    stop_when_idle();
}

void upstream::refuse(const job& work, refusal reason)
{
    ++counters_.refused_;
    const verdict outcome{run_state::did_not_run, reason};
    send(work.from_, make_error_response(work.request_, outcome, retry_after));
}

void upstream::send(const endpoint& to, const coap_message& message) const
{
    const auto bytes = encode_coap(message);
    if (bytes.has_value())
    {
        socket_.send(*bytes, to);
    }
}

bool upstream::is_expired(const job& work) const
{
    const auto deadline =
        uint_option(work.request_, coap_option_number::deadline);
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
        read_monotonic_clock().time_since_epoch());
    return deadline.has_value() &&
           static_cast<std::uint64_t>(now.count()) > *deadline;
}

bool upstream::is_cold() const
{
    return read_monotonic_clock() < started_at_ + settings_.cold_start_length_;
}

void upstream::stop_when_idle()
{
    if (draining_ && running_ == 0 && queue_.empty())
    {
        loop_.stop();
    }
}

coap_message upstream::make_response(const job& work)
{
    const coap_message& request = work.request_;
    if (request.code_ == coap_code::post)
    {
        coap_message answer = make_coap_response(request, coap_code::created);
        answer.payload_ =
            to_bytes(to_string(identity_for(to_text(request.payload_))));
        return answer;
    }
    const std::string path = uri_path(request);
    coap_message answer = make_coap_response(request, coap_code::content);
    if (starts_with(path, "/photos/"))
    {
        add_photo_block(request, id_from_path(path), answer);
    }
    else
    {
        answer.payload_ = to_bytes(to_string(identity_for(id_from_path(path))));
    }
    return answer;
}

void upstream::add_photo_block(const coap_message& request,
                               const std::string& id,
                               coap_message& answer) const
{
    coap_block block = block_option(request, coap_option_number::block2)
                           .value_or(coap_block{});
    if (block.size() < photo_cell_bytes ||
        block.offset() >= settings_.photo_bytes_)
    {
        answer.code_ = coap_code::bad_request;
        return;
    }
    const std::size_t size =
        std::min(block.size(), settings_.photo_bytes_ - block.offset());
    block.more_ = block.offset() + size < settings_.photo_bytes_;
    set_block_option(answer, coap_option_number::block2, block);
    set_uint_option(answer, coap_option_number::size2, settings_.photo_bytes_);
    answer.payload_ =
        to_bytes(photo_bytes(identity_for(id), block.offset(), size));
}

answer_identity upstream::identity_for(const std::string& id) const
{
    return {settings_.service_, settings_.instance_, id};
}

std::string upstream::load_json() const
{
    const std::uint64_t reported = std::uint64_t{actual_load_permille()} *
                                   settings_.load_bias_permille_ / permille;
    const nlohmann::json report = {
        {"in_flight", running_ + queue_.size()},
        {"slots", settings_.slots_.value()},
        {"load_permille", reported},
        {"cold", is_cold()},
        {"draining", draining_},
    };
    return report.dump();
}

unsigned upstream::actual_load_permille() const
{
    const std::size_t in_flight = running_ + queue_.size();
    return static_cast<unsigned>(in_flight * permille /
                                 settings_.slots_.value());
}

void upstream::log_request_span(const job& work)
{
    const trace_context parent = trace_of(work.request_);
    if (is_sampled(parent))
    {
        log_span("upstream", child_span(parent, random_), parent,
                 to_string(work.from_));
    }
}

} // namespace galenafork::standin
