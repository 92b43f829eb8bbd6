#include <libdaemon/http_service.h>

namespace galenafork::pvt
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_unavailable = 503;

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

kj::Promise<void> http_service::request(kj::HttpMethod method,
                                        kj::StringPtr url,
                                        const kj::HttpHeaders& /*headers*/,
                                        kj::AsyncInputStream& /*body*/,
                                        Response& response)
{
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
