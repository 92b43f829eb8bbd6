/// \file
/// A caller built on libcoap's own client, sessions and block-wise transfer:
/// nothing of galenafork's codec takes part.

#ifndef GALENAFORK_STANDINS_LIBCOAP_CLIENT_H
#define GALENAFORK_STANDINS_LIBCOAP_CLIENT_H

#include <common/answer_text.h>
#include <common/tally.h>

#include <coap3/coap.h>
#include <functional>
#include <galenafork/endpoint.h>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace galenafork::standin
{

/// What a session asks for, one request after another.
enum class session_kind
{
    /// By turns POST /intake and GET /status.
    orders,
    /// GET /photos, each set as a whole.
    photos,
};

/// What a session is told.
struct session_settings
{
    session_kind kind_ = session_kind::orders;
    endpoint service_;
    service_name expected_;
    unsigned requests_ = 10;
    /// Unique in the run; part of every request id.
    std::string tag_;
};

/// One session of a client, which is one flow.
class client_session
{
public:
    /// Opens the session; throws `std::runtime_error` if libcoap refuses.
    client_session(coap_context_t& context, session_settings settings,
                   tally& counts);
    ~client_session();
    client_session(const client_session&) = delete;
    client_session& operator=(const client_session&) = delete;

    /// Sends the next request, or none if all were sent.
    void next();

    /// The whole answer to the request under way.
    void take_answer(const coap_pdu_t& answer);

    /// libcoap gave the request under way up.
    void take_failure(const char* reason);

    /// True once every request has ended.
    bool done() const
    {
        return ended_ == settings_.requests_;
    }

private:
    void send(coap_pdu_code_t code, const std::string& path,
              const std::string& payload);
    void check_body(const std::string& body);
    void end_request(outcome how, const std::string& reason);
    bool is_intake() const;
    std::string request_id() const;

    session_settings settings_;
    tally& counts_;
    coap_session_t* session_;
    unsigned started_ = 0;
    unsigned ended_ = 0;
    bool waiting_ = false;
    std::optional<instance_id> instance_;
};

/// A libcoap context with its sessions.
class client
{
public:
    /// Throws `std::runtime_error` if libcoap refuses.
    client();
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Adds a session.
    void add(session_settings settings, tally& counts);

    /// Runs all sessions to their end, then calls `add_more` for the next
    /// ones, until it adds none or `limit` has passed; false if some had not
    /// ended.
    bool run(duration limit, const std::function<void()>& add_more);

private:
    coap_context_t* context_;
    std::vector<std::unique_ptr<client_session>> sessions_;
};

} // namespace galenafork::standin

#endif
