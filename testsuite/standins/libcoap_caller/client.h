/// \file
/// A caller built on libcoap's client, sessions and block-wise transfer. It
/// uses none of galenafork's CoAP code and so checks it independently.

#ifndef GALENAFORK_STANDINS_LIBCOAP_CLIENT_H
#define GALENAFORK_STANDINS_LIBCOAP_CLIENT_H

#include <common/answer_identity.h>
#include <common/request_stats.h>

#include <coap3/coap.h>
#include <functional>
#include <galenafork/endpoint.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenafork::standin
{

/// The kind of requests that a session sends.
enum class session_kind
{
    /// POST /intake and GET /status alternately.
    orders,
    /// GET /photos. Each photo set is received as a whole.
    photos,
};

/// Settings of a session.
struct session_settings
{
    session_kind kind_ = session_kind::orders;
    endpoint service_endpoint_;
    service_name expected_service_;
    unsigned requests_ = 10;
    /// Identifies the session within the run; part of every request id.
    std::string tag_;
};

/// A session of a client. Each session is a flow.
class client_session
{
public:
    /// Throws `std::runtime_error` if libcoap can't create a session.
    client_session(coap_context_t& context, session_settings settings,
                   request_stats& stats);
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    /// Sends the next request, unless one is pending or all have been sent.
    void send_next();

    /// Handles an answer, reassembled from its blocks.
    void handle_answer(const coap_pdu_t& answer);

    /// Ends the current request as broken for `reason`. Does nothing if none is
    /// pending.
    void handle_failure(const char* reason);

    /// Returns whether all requests have ended.
    bool done() const
    {
        return ended_requests_ == settings_.requests_;
    }

private:
    void send(coap_pdu_code_t code, const std::string& path,
              const std::string& payload);
    void check_body(const std::string& body);
    void end_request(outcome result, const std::string& reason);
    bool is_intake() const;
    std::string request_id() const;

    session_settings settings_;
    request_stats& stats_;
    coap_session_t* session_;
    unsigned started_requests_ = 0;
    unsigned ended_requests_ = 0;
    bool request_pending_ = false;
    std::optional<instance_id> instance_;
};

/// A libcoap context with its sessions.
class client
{
public:
    /// Throws `std::runtime_error` if libcoap can't create a context.
    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Opens a session.
    void add(session_settings settings, request_stats& stats);

    /// Runs all sessions to their end, then calls `add_sessions`, which may add
    /// the next ones. Returns true when it adds none, or false when `limit` has
    /// passed. Sessions that have not ended by then are closed.
    bool run(duration limit, const std::function<void()>& add_sessions);

private:
    coap_context_t* context_;
    std::vector<std::unique_ptr<client_session>> sessions_;
};

} // namespace galenafork::standin

#endif
