/// \file
/// The HTTP side of the platform stand-in.
///
/// | call | answer |
/// |---|---|
/// | `GET /v1/objects/NAME` | 200 `{version, value}`, 404 |
/// | `GET /v1/objects/NAME?watch=VERSION&wait_ms=N` | 200 once the version is
/// above VERSION, 304 after N ms | | `GET /v1/objects?prefix=P` | 200
/// `{objects: [{name, version}]}` | | `PUT /v1/objects/NAME`, `If-Match:
/// VERSION` | 200 `{version}`, 412 `{version}` | | `GET /v1/standin/calls` |
/// 200, counts of calls | | `POST /v1/standin/faults` | 200; see
/// `read_fault_plan` |
///
/// NAME may hold `/`; VERSION 0 means "no object"; a value is any JSON.

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

/// Longest value, in bytes.
inline constexpr std::size_t max_value_bytes = 1U << 20U;

/// Calls taken, cut off ones included. A waiting watch is one call.
struct call_counts
{
    std::uint64_t get_ = 0;
    std::uint64_t put_ = 0;
    std::uint64_t list_ = 0;
    std::uint64_t watch_ = 0;
    /// Watches waiting now.
    std::uint64_t waiting_ = 0;
    /// Most reads (get, list, watch) within one second.
    std::uint64_t peak_reads_ = 0;
    /// Most writes within one second.
    std::uint64_t peak_writes_ = 0;
};

/// Header names of the API.
struct api_headers
{
    /// Builds the table; `If-Match` is not among kj's own headers.
    api_headers();

    kj::HttpHeaderTable::Builder builder_;
    kj::HttpHeaderId if_match_;
    kj::Own<kj::HttpHeaderTable> table_;
};

struct api_request;

/// Answers the calls. Hand it to a `kj::HttpServer` whose error handler is
/// `disconnect_error_handler`, else a cut-off call would get an answer.
class platform_service final : public kj::HttpService
{
public:
    /// `timer` and `headers` must outlive this.
    platform_service(kj::Timer& timer, const api_headers& headers,
                     std::uint64_t seed);

    kj::Promise<void> request(kj::HttpMethod method, kj::StringPtr url,
                              const kj::HttpHeaders& headers,
                              kj::AsyncInputStream& body,
                              Response& response) override;

    /// The counts so far.
    const call_counts& calls() const
    {
        return calls_;
    }

    /// Changes the faults in force, for tests in the same process.
    void set_faults(const fault_plan& plan);

private:
    struct second_window
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
    void count_in_window(second_window& window, std::uint64_t& peak);

    kj::Timer& timer_;
    const api_headers& headers_;
    fault_injector faults_;
    object_store store_;
    call_counts calls_;
    second_window reads_;
    second_window writes_;
};

/// Closes the connection of a cut-off call without an answer.
class disconnect_error_handler final : public kj::HttpServerErrorHandler
{
public:
    kj::Promise<void> handleApplicationError(
        kj::Exception exception,
        kj::Maybe<kj::HttpService::Response&> response) override;
};

} // namespace galenafork::standin

#endif
