#include <libdaemon/http_service.h>

namespace galenafork::pvt
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_unavailable = 503;

// No call to a daemon is longer.
constexpr std::uint64_t max_call_bytes = 64U << 10U;

const char* status_text(unsigned status)
{
    constexpr unsigned first_failure = 400;
    constexpr unsigned first_server_failure = 500;
    if (status < first_failure)
    {
        return "OK";
    }
    return status < first_server_failure ? "Refused" : "Service Unavailable";
}

struct answer
{
    unsigned status_ = status_ok;
    const char* status_text_ = "OK";
    const char* content_type_ = "text/plain; charset=utf-8";
    std::string body_;
};

answer answer_readiness(const std::function<readiness()>& read)
{
    const readiness now = read ? read() : readiness{false, "starting"};
    answer result;
    result.body_ = now.ready_ ? "ready\n" : "unready: " + now.reason_ + "\n";
    if (!now.ready_)
    {
        result.status_ = status_unavailable;
        result.status_text_ = "Service Unavailable";
    }
    return result;
}

kj::Promise<void> send(const answer& a, const kj::HttpHeaderTable& table,
                       kj::HttpService::Response& response)
{
    kj::HttpHeaders headers(table);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, a.content_type_);
    auto body = kj::heapString(a.body_.data(), a.body_.size());
    auto stream =
        response.send(a.status_, a.status_text_, headers, a.body_.size());
    auto written = stream->write(body.begin(), body.size());
    return written.attach(kj::mv(stream), kj::mv(body));
}

} // namespace

http_service::http_service(const kj::HttpHeaderTable& headers,
                           const metrics_registry& metrics)
    : headers_(headers), metrics_(metrics)
{
}

kj::Promise<void> http_service::pass_to_handler(kj::HttpMethod method,
                                                kj::StringPtr url,
                                                kj::AsyncInputStream& body,
                                                Response& response)
{
    http_request call{kj::str(method).cStr(), url.cStr(), {}};
    return body.readAllText(max_call_bytes)
        .then(
            [this, call = std::move(call),
             &response](const kj::String& text) mutable
            {
                call.body_.assign(text.begin(), text.size());
                const auto reply = handler_(call);
                answer result;
                result.content_type_ = "application/json";
                result.status_ = reply ? reply->status_ : status_not_found;
                result.status_text_ = status_text(result.status_);
                result.body_ = reply ? reply->body_ : "";
                return send(result, headers_, response);
            });
}

kj::Promise<void> http_service::request(kj::HttpMethod method,
                                        kj::StringPtr url,
                                        const kj::HttpHeaders& /*headers*/,
                                        kj::AsyncInputStream& body,
                                        Response& response)
{
    const bool is_own = url == "/healthz" || url == "/readyz" ||
                        url == "/metrics" || url == "/status";
    if (handler_ && !is_own)
    {
        return pass_to_handler(method, url, body, response);
    }
    answer result;
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
        result = answer_readiness(readiness_);
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
