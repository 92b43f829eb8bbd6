/// \file
/// The platform over HTTP/JSON, with deadlines, retries, a circuit breaker and
/// a bound on the calls of this process.

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

/// A token bucket: `burst_` at once, `per_second_` in the long run.
struct token_rate
{
    double per_second_ = 0;
    double burst_ = 0;
};

/// How the client calls the platform.
struct platform_settings
{
    endpoint address_;
    /// From the call to its result, all attempts together. A watch has its
    /// wait on top.
    duration call_deadline_ = std::chrono::seconds(5);
    /// One attempt. A watch has its wait on top.
    duration attempt_timeout_ = std::chrono::seconds(1);
    /// Before attempt N the client waits at most `first * 2^(N-1)`, capped.
    duration backoff_first_ = std::chrono::milliseconds(50);
    duration backoff_cap_ = std::chrono::seconds(2);
    /// Attempts after the first, of all calls together.
    token_rate retry_rate_{2, 10};
    /// Every attempt, of all calls together.
    token_rate call_rate_{20, 40};
    /// Failures in a row that open the circuit breaker.
    unsigned breaker_failure_threshold_ = 5;
    /// How long the breaker stays open, doubled while probes fail.
    duration breaker_open_first_ = std::chrono::milliseconds(500);
    duration breaker_open_cap_ = std::chrono::seconds(10);
};

/// What the client did since it was made. Each only grows.
struct platform_counters
{
    /// Calls that went to the platform, each attempt one.
    std::uint64_t gets_ = 0;
    std::uint64_t puts_ = 0;
    std::uint64_t watches_ = 0;
    std::uint64_t lists_ = 0;
    /// Attempts after the first of a call.
    std::uint64_t retries_ = 0;
    /// Attempts without an answer in time.
    std::uint64_t timeouts_ = 0;
    /// Attempts whose connection failed, or answered 5xx or nonsense.
    std::uint64_t failures_ = 0;
    /// Calls given up because the breaker was open.
    std::uint64_t refused_by_breaker_ = 0;
    /// Calls given up because a budget was spent.
    std::uint64_t refused_by_budget_ = 0;
    /// Writes with a lost answer, by how they were settled.
    std::uint64_t resolved_accepted_ = 0;
    std::uint64_t resolved_not_accepted_ = 0;
    std::uint64_t unresolved_ = 0;
    /// Reads and watch events that were older than what was known.
    std::uint64_t stale_dropped_ = 0;
};

/// What the client needs from its process.
struct platform_dependencies
{
    kj::Timer& timer_;
    kj::Network& network_;
    std::function<instant()> clock_;
    /// Uniform in [0, 1).
    std::function<double()> random_;
};

/// The platform over HTTP. Belongs to one event loop; not thread-safe.
class platform_client final : public collection_store
{
public:
    /// Connects on the first call, not here.
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

    /// The counters so far, for the metrics page.
    const platform_counters& counters() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace galenafork

#endif
