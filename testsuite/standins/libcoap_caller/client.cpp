#include "client.h"

#include <common/log.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <stdexcept>

namespace galenafork::standin
{

namespace
{

// In seconds and thousandths of a second.
constexpr coap_fixed_point_t ack_timeout{0, 300};
constexpr std::uint16_t max_retransmits = 4;
constexpr std::uint32_t max_io_wait_ms = 20;
// Offset of an IPv4 address in its v4-mapped form.
constexpr std::size_t v4_offset = 12;

client_session& session_of(const coap_session_t* session)
{
    return *static_cast<client_session*>(coap_session_get_app_data(session));
}

coap_response_t on_response(coap_session_t* session, const coap_pdu_t* /*sent*/,
                            const coap_pdu_t* received, coap_mid_t /*mid*/)
{
    session_of(session).handle_answer(*received);
    return COAP_RESPONSE_OK;
}

void on_nack(coap_session_t* session, const coap_pdu_t* /*sent*/,
             coap_nack_reason_t reason, coap_mid_t /*mid*/)
{
    const bool timeout = reason == COAP_NACK_TOO_MANY_RETRIES;
    session_of(session).handle_failure(timeout ? "no_answer" : "rejected");
}

coap_address_t to_coap_address(const endpoint& e)
{
    coap_address_t address;
    coap_address_init(&address);
    address.size = sizeof(address.addr.sin);
    address.addr.sin.sin_family = AF_INET;
    address.addr.sin.sin_port = htons(e.port_);
    std::memcpy(&address.addr.sin.sin_addr,
                e.address_.bytes_.data() + v4_offset,
                sizeof(address.addr.sin.sin_addr));
    return address;
}

void add_path(coap_pdu_t* pdu, const std::string& path)
{
    std::size_t start = 1;
    while (start < path.size())
    {
        const std::size_t end = std::min(path.find('/', start), path.size());
        coap_add_option(
            pdu, COAP_OPTION_URI_PATH, end - start,
            reinterpret_cast<const std::uint8_t*>(path.data() + start));
        start = end + 1;
    }
}

// Logs the first cell of a photo set that does not match the identity in its
// first cell, for example because the blocks came from two instances.
void log_first_mismatch(const answer_identity& identity,
                        const std::string& body)
{
    std::size_t offset = 0;
    while (offset < body.size() &&
           body.compare(offset, photo_cell_bytes,
                        photo_cell(identity, offset / photo_cell_bytes)) == 0)
    {
        offset += photo_cell_bytes;
    }
    const auto found = parse_answer_identity(
        body.substr(std::min(offset, body.size()), photo_cell_bytes));
    log_line("wrong_bytes")
        .with("id", identity.id_)
        .with("instance", identity.instance_.value())
        .with("size", body.size())
        .with("cell", offset / photo_cell_bytes)
        .with("found_id", found ? found->id_ : "none")
        .with("found_instance", found ? found->instance_.value() : "none");
}

std::string body_of(const coap_pdu_t& answer)
{
    std::size_t size = 0;
    const std::uint8_t* data = nullptr;
    std::size_t offset = 0;
    std::size_t total = 0;
    if (coap_get_data_large(&answer, &size, &data, &offset, &total) == 0)
    {
        return {};
    }
    return {data, data + size};
}

} // namespace

client_session::client_session(coap_context_t& context,
                               session_settings settings, request_stats& stats)
    : settings_(std::move(settings)), stats_(stats)
{
    const coap_address_t server = to_coap_address(settings_.service_endpoint_);
    session_ =
        coap_new_client_session(&context, nullptr, &server, COAP_PROTO_UDP);
    if (session_ == nullptr)
    {
        throw std::runtime_error("libcoap could not create a session");
    }
    coap_session_set_app_data(session_, this);
    coap_session_set_ack_timeout(session_, ack_timeout);
    coap_session_set_max_retransmit(session_, max_retransmits);
}

client_session::~client_session()
{
    handle_failure("unfinished");
    coap_session_release(session_);
}

void client_session::send_next()
{
    if (request_pending_ || started_requests_ == settings_.requests_)
    {
        return;
    }
    ++started_requests_;
    request_pending_ = true;
    stats_.count_sent();
    if (settings_.kind_ == session_kind::photos)
    {
        send(COAP_REQUEST_CODE_GET, "/photos/" + request_id(), "");
    }
    else if (is_intake())
    {
        send(COAP_REQUEST_CODE_POST, "/intake", request_id());
    }
    else
    {
        send(COAP_REQUEST_CODE_GET, "/status/" + request_id(), "");
    }
}

void client_session::send(coap_pdu_code_t code, const std::string& path,
                          const std::string& payload)
{
    coap_pdu_t* pdu = coap_new_pdu(COAP_MESSAGE_CON, code, session_);
    std::array<std::uint8_t, 8> token{};
    std::size_t token_size = 0;
    coap_session_new_token(session_, &token_size, token.data());
    coap_add_token(pdu, token_size, token.data());
    add_path(pdu, path);
    if (!payload.empty())
    {
        coap_add_data(pdu, payload.size(),
                      reinterpret_cast<const std::uint8_t*>(payload.data()));
    }
    if (coap_send(session_, pdu) == COAP_INVALID_MID)
    {
        handle_failure("not_sent");
    }
}

void client_session::handle_answer(const coap_pdu_t& answer)
{
    if (!request_pending_)
    {
        stats_.count_late_answer();
        return;
    }
    const coap_pdu_code_t code = coap_pdu_get_code(&answer);
    const bool did_not_run = code == COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE;
    if (did_not_run || code == COAP_RESPONSE_CODE_GATEWAY_TIMEOUT)
    {
        if (is_intake())
        {
            stats_.write_intake_state(did_not_run ? intake_state::did_not_run
                                                  : intake_state::may_have_run,
                                      request_id());
        }
        end_request(outcome::refused, body_of(answer));
        return;
    }
    check_body(body_of(answer));
}

void client_session::check_body(const std::string& body)
{
    const auto identity = parse_answer_identity(body);
    const bool is_photo = settings_.kind_ == session_kind::photos;
    if (!identity.has_value() || identity->id_ != request_id())
    {
        end_request(outcome::broken, "answer_of_another_request");
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
    else if (is_photo && body != photo_bytes(*identity, 0, body.size()))
    {
        log_first_mismatch(*identity, body);
        end_request(outcome::broken, "wrong_bytes");
    }
    else
    {
        instance_ = identity->instance_;
        if (is_intake())
        {
            stats_.write_intake_state(intake_state::ran, request_id());
        }
        end_request(outcome::answered, "");
    }
}

void client_session::handle_failure(const char* reason)
{
    if (!request_pending_)
    {
        return;
    }
    if (is_intake())
    {
        stats_.write_intake_state(intake_state::unknown, request_id());
    }
    end_request(outcome::broken, reason);
}

void client_session::end_request(outcome result, const std::string& reason)
{
    request_pending_ = false;
    ++ended_requests_;
    stats_.count_outcome(result, reason);
}

bool client_session::is_intake() const
{
    return settings_.kind_ == session_kind::orders &&
           started_requests_ % 2 == 1;
}

std::string client_session::request_id() const
{
    return settings_.tag_ + "-" + std::to_string(started_requests_);
}

client::client()
{
    coap_startup();
    context_ = coap_new_context(nullptr);
    if (context_ == nullptr)
    {
        throw std::runtime_error("libcoap could not create a context");
    }
    coap_context_set_block_mode(context_, COAP_BLOCK_USE_LIBCOAP |
                                              COAP_BLOCK_SINGLE_BODY);
    coap_register_response_handler(context_, on_response);
    coap_register_nack_handler(context_, on_nack);
}

client::~client()
{
    sessions_.clear();
    coap_free_context(context_);
    coap_cleanup();
}

void client::add(session_settings settings, request_stats& stats)
{
    sessions_.push_back(std::make_unique<client_session>(
        *context_, std::move(settings), stats));
}

bool client::run(duration limit, const std::function<void()>& add_sessions)
{
    const instant end = read_monotonic_clock() + limit;
    while (read_monotonic_clock() < end)
    {
        const auto kept_end =
            std::remove_if(sessions_.begin(), sessions_.end(),
                           [](const auto& s) { return s->done(); });
        sessions_.erase(kept_end, sessions_.end());
        if (sessions_.empty())
        {
            add_sessions();
        }
        if (sessions_.empty())
        {
            return true;
        }
        for (const auto& session : sessions_)
        {
            session->send_next();
        }
        coap_io_process(context_, max_io_wait_ms);
    }
    sessions_.clear();
    return false;
}

} // namespace galenafork::standin
