/// \file
/// The HTTP API of the platform stand-in:
///
/// - `GET /v1/objects/NAME` returns 200 `{version, value}`, or 404.
/// - `GET /v1/objects/NAME?watch=VERSION&wait_ms=N` returns 200
///   `{version, value}` once the version is above VERSION, or 304 after N ms.
/// - `GET /v1/objects?prefix=PREFIX` returns 200
///   `{objects: [{name, version}]}`.
/// - `PUT /v1/objects/NAME` with `If-Match: VERSION` returns 200 `{version}`.
///   It returns 412 `{version}` if the current version is not VERSION.
/// - `GET /v1/standin/calls` returns 200 and the counts of calls.
/// - `POST /v1/standin/faults` sets the active faults and returns 200; see
///   `parse_fault_plan`.
///
/// NAME may contain `/`. VERSION is 0 for an object that does not exist. A
/// value is any JSON.

#ifndef STANDINS_PLATFORM_SERVICE_H
#define STANDINS_PLATFORM_SERVICE_H

#include <standins/platform/faults.h>
#include <standins/platform/object_store.h>

#include <cstdint>
#include <kj/compat/http.h>
#include <kj/timer.h>
#include <string>

namespace galenafork::standin
{

/// Maximum size of a value.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// Counts of object calls, including those that fail because of an injected
/// fault. A watch is one call. Calls below `/v1/standin` are not counted.
struct call_counts
{
    std::uint64_t get_ = 0;
    std::uint64_t put_ = 0;
    std::uint64_t list_ = 0;
    std::uint64_t watch_ = 0;
    /// Watches that are waiting for a newer version now.
    std::uint64_t pending_watches_ = 0;
    /// Maximum number of reads (get, list, watch) in a one-second window.
    std::uint64_t peak_reads_per_second_ = 0;
    /// Maximum number of writes in a one-second window.
    std::uint64_t peak_writes_per_second_ = 0;
};

/// Header names of the API.
struct api_headers
{
    /// Builds the table with `If-Match`, which kj does not predefine.
    api_headers();

    kj::HttpHeaderTable::Builder builder_;
    kj::HttpHeaderId if_match_;
    kj::Own<kj::HttpHeaderTable> table_;
};

struct api_request;

/// Handles the calls. The error handler of its `kj::HttpServer` must be
/// `disconnect_error_handler`: the default one sends an error response where a
/// fault requires that the connection is closed without a response.
class platform_service final : public kj::HttpService
{
public:
    /// `timer` and `headers` must outlive the service. `seed` determines the
    /// random choice of calls that faults affect.
    platform_service(kj::Timer& timer, const api_headers& headers,
                     std::uint64_t seed);

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url,
                              const kj::HttpHeaders& headers,
                              kj::AsyncInputStream& body,
                              Response& response) override;

    /// Returns the counts since the start.
    const call_counts& calls() const
    {
        return calls_;
    }

    /// Replaces the active faults, as `POST /v1/standin/faults` does. An outage
    /// also disconnects the pending watches.
    void set_faults(const fault_plan& plan);

private:
    struct one_second_window
    {
        kj::TimePoint start_ = kj::origin<kj::TimePoint>();
        std::uint64_t count_ = 0;
    };

    kj::Promise<void> route(api_request request, Response& response);
    kj::Promise<void> route_standin(const api_request& request,
                                    Response& response);
    kj::Promise<void> handle(const api_request& request, Response& response);
    kj::Promise<void> get(const api_request& request, Response& response);
    kj::Promise<void> put(const api_request& request, Response& response);
    kj::Promise<void> list(const api_request& request, Response& response);
    kj::Promise<void> watch(const api_request& request, Response& response);
    kj::Promise<void> await_event(const api_request& request,
                                  Response& response);
    kj::Promise<void> send_event(const std::string& name, Response& response);
    kj::Promise<void> send(Response& response, kj::uint status,
                           std::string body);
    void count_call(const api_request& request);
    void count_in_window(one_second_window& window, std::uint64_t& peak);

    kj::Timer& timer_;
    const api_headers& headers_;
    fault_injector faults_;
    object_store store_;
    call_counts calls_;
    one_second_window reads_;
    one_second_window writes_;
};

/// Closes the connection without a response if a call fails with
/// `DISCONNECTED`.
class disconnect_error_handler final : public kj::HttpServerErrorHandler
{
public:
    kj::Promise<void> handleApplicationError(
        kj::Exception exception,
        kj::Maybe<kj::HttpService::Response&> response) override;
};

} // namespace galenafork::standin

#endif
