/// \file
/// Client of the platform over HTTP/JSON, with deadlines, retries, a circuit
/// breaker and a limit on this process's rate of calls.

#ifndef GALENAFORK_PLATFORM_CLIENT_H
#define GALENAFORK_PLATFORM_CLIENT_H

#include <galenafork/api_dialect.h>
#include <galenafork/endpoint.h>
#include <galenafork/platform.h>
#include <galenafork/time.h>

#include <cstdint>
#include <functional>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <memory>

namespace galenafork
{

/// Parameters of a token bucket: its capacity is `burst_`, its refill rate
/// `per_second_`.
struct token_rate
{
    double per_second_ = 0;
    double burst_ = 0;
};

/// Settings of the client.
struct platform_settings
{
    endpoint address_;
    /// Time limit of a call over all its attempts. For a watch, its wait is
    /// added.
    duration call_deadline_ = std::chrono::seconds(5);
    /// Time limit of one attempt. For a watch, its wait is added.
    duration attempt_timeout_ = std::chrono::seconds(1);
    /// Maximum wait before the first retry. It doubles with each further retry,
    /// up to the cap.
    duration backoff_first_ = std::chrono::milliseconds(50);
    duration backoff_cap_ = std::chrono::seconds(2);
    /// Limits the retries of all calls together.
    token_rate retry_rate_{2, 10};
    /// Limits all attempts of all calls together.
    token_rate call_rate_{20, 40};
    /// Number of consecutive failures that opens the circuit breaker.
    unsigned breaker_failure_threshold_ = 5;
    /// Maximum time that the breaker stays open at first. It doubles with each
    /// failed probe, up to the cap.
    duration breaker_open_first_ = std::chrono::milliseconds(500);
    duration breaker_open_cap_ = std::chrono::seconds(10);
};

/// Counters of the client since its construction.
struct platform_counters
{
    /// Attempts sent to the platform, by kind of call.
    std::uint64_t gets_ = 0;
    std::uint64_t puts_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t lists_ = 0;
    /// Attempts after the first one of a call.
    std::uint64_t retries_ = 0;
    /// Attempts without a response in time.
    std::uint64_t timeouts_ = 0;
    /// Attempts that failed otherwise: connection errors and responses with a
    /// status of 429, 5xx or below 200.
    std::uint64_t failures_ = 0;
    /// Calls that failed because the breaker was open.
    std::uint64_t refused_by_breaker_ = 0;
    /// Calls that failed because the call or retry budget was exhausted.
    std::uint64_t refused_by_budget_ = 0;
    /// Writes whose response was lost or not valid, by the outcome that was
    /// found afterwards.
    std::uint64_t resolved_accepted_ = 0;
    std::uint64_t resolved_not_accepted_ = 0;
    std::uint64_t unresolved_ = 0;
    /// Dropped results: watch events that were not newer than the version that
    /// the watch began with, and reads after a write that were older than the
    /// response to the write or did not return the object.
    std::uint64_t stale_dropped_ = 0;
};

/// Resources that the client uses.
struct platform_dependencies
{
    kj::Timer& timer_;
    kj::Network& network_;
    std::function<instant()> clock_;
    /// Returns uniform random numbers in [0, 1).
    std::function<double()> random_;
};

/// Accesses the platform over HTTP. Belongs to one event loop; not thread-safe.
class platform_client final : public collection_store
{
public:
    /// Does not connect; the first call does.
    platform_client(const platform_settings& settings,
                    platform_dependencies dependencies,
                    const api_dialect& dialect = default_dialect());
    ~platform_client() noexcept(false) override;

    kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) override;
    kj::Promise<write_result> put_if(object_write write) override;
    kj::Promise<watch_result> watch(std::string name, object_version after,
                                    duration wait) override;
    kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string prefix) override;

    kj::Promise<tl::expected<object_page, error>>
    read_collection(std::string collection, freshness fresh) override;
    kj::Promise<tl::expected<platform_object, error>>
    get_allow_stale(std::string name) override;
    kj::Promise<tl::expected<object_changes, error>>
    watch_collection(std::string collection, object_version after,
                     duration wait) override;
    kj::Promise<tl::expected<void, error>>
    remove(std::string name, object_version expected) override;

    /// Sets a function that is called when the store's era rises: acknowledged
    /// writes of the last seconds may be gone, and versions are given out
    /// again.
    void set_era_handler(std::function<void(store_era)> handler);

    /// Returns the current counters, to be exported as metrics.
    const platform_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace galenafork

#endif
