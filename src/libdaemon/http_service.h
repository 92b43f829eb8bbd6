/// \file
/// HTTP service of a daemon for health, readiness, metrics and status.

#ifndef GALENAFORK_LIBDAEMON_HTTP_SERVICE_H
#define GALENAFORK_LIBDAEMON_HTTP_SERVICE_H

#include <galenafork/control_loop.h>

#include <kj/compat/http.h>

namespace galenafork::pvt
{

// kj's interfaces have no virtual destructors: kj::Own disposes of an object by
// its actual type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Serves `/healthz`, `/readyz`, `/metrics` and `/status`. Requests to other
/// paths go to the daemon's own handler or, without one, get status 404.
class http_service final : public kj::HttpService
{
public:
    /// Both references must outlive the service.
    http_service(const kj::HttpHeaderTable& headers,
                 const metrics_registry& metrics);

    std::function<readiness()> readiness_;
    std::function<std::string()> status_;
    http_handler handler_;

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url,
                              const kj::HttpHeaders& headers,
                              kj::AsyncInputStream& body,
                              Response& response) override;

private:
    kj::Promise<void> call_handler(kj::HttpMethod method, kj::StringPtr url,
                                   kj::AsyncInputStream& body,
                                   Response& response);

    const kj::HttpHeaderTable& headers_;
    const metrics_registry& metrics_;
};

#pragma GCC diagnostic pop

} // namespace galenafork::pvt

#endif
