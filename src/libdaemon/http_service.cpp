#include <libdaemon/http_service.h>

namespace galenafork::pvt
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_unavailable = 503;

// No client of a daemon sends a longer request body.
constexpr std::uint64_t max_request_body_bytes = 64U << 10U;

const char* status_text(unsigned status)
{
    constexpr unsigned first_client_error = 400;
    constexpr unsigned first_server_error = 500;
    if (status < first_client_error)
    {
        return "OK";
    }
    return status < first_server_error ? "Refused" : "Service Unavailable";
}

struct response_content
{
    unsigned status_ = status_ok;
    const char* status_text_ = "OK";
    const char* content_type_ = "text/plain; charset=utf-8";
    std::string body_;
};

response_content readiness_response(const std::function<readiness()>& handler)
{
    const readiness current =
        handler ? handler() : readiness{false, "starting"};
    response_content result;
    result.body_ =
        current.ready_ ? "ready\n" : "unready: " + current.reason_ + "\n";
    if (!current.ready_)
    {
        result.status_ = status_unavailable;
        result.status_text_ = "Service Unavailable";
    }
    return result;
}

kj::Promise<void> send(const response_content& content,
                       const kj::HttpHeaderTable& table,
                       kj::HttpService::Response& response)
{
    kj::HttpHeaders headers(table);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, content.content_type_);
    auto body = kj::heapString(content.body_.data(), content.body_.size());
    auto stream = response.send(content.status_, content.status_text_, headers,
                                content.body_.size());
    auto written = stream->write(body.begin(), body.size());
    return written.attach(kj::mv(stream), kj::mv(body));
}

} // namespace

http_service::http_service(const kj::HttpHeaderTable& headers,
                           const metrics_registry& metrics)
    : headers_(headers), metrics_(metrics)
{
}

kj::Promise<void> http_service::call_handler(kj::HttpMethod method,
                                             kj::StringPtr url,
                                             kj::AsyncInputStream& body,
                                             Response& response)
{
    http_request handler_request{kj::str(method).cStr(), url.cStr(), {}};
    return body.readAllText(max_request_body_bytes)
        .then(
            [this, handler_request = std::move(handler_request),
             &response](const kj::String& text) mutable
            {
                handler_request.body_.assign(text.begin(), text.size());
                const auto handler_response = handler_(handler_request);
                response_content result;
                result.content_type_ = "application/json";
                result.status_ = handler_response ? handler_response->status_
                                                  : status_not_found;
                result.status_text_ = status_text(result.status_);
                result.body_ = handler_response ? handler_response->body_ : "";
                return send(result, headers_, response);
            });
}

kj::Promise<void> http_service::request(kj::HttpMethod method,
                                        kj::StringPtr url,
                                        const kj::HttpHeaders& /*headers*/,
                                        kj::AsyncInputStream& body,
                                        Response& response)
{
    const bool is_builtin = url == "/healthz" || url == "/readyz" ||
                            url == "/metrics" || url == "/status";
    if (handler_ && !is_builtin)
    {
        return call_handler(method, url, body, response);
    }
    response_content result;
    if (method != kj::HttpMethod::GET)
    {
        result.status_ = status_method_not_allowed;
        result.status_text_ = "Method Not Allowed";
    }
    else if (url == "/healthz")
    {
        result.body_ = "alive\n";
    }
    else if (url == "/readyz")
    {
        result = readiness_response(readiness_);
    }
    else if (url == "/metrics")
    {
        result.content_type_ = "text/plain; version=0.0.4";
        result.body_ = metrics_.prometheus_text();
    }
    else if (url == "/status")
    {
        result.content_type_ = "application/json";
        result.body_ = (status_ ? status_() : "{}") + "\n";
    }
    else
    {
        result.status_ = status_not_found;
        result.status_text_ = "Not Found";
    }
    return send(result, headers_, response);
}

} // namespace galenafork::pvt
