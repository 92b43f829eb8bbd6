/// \file
/// Internals of the platform client: the loop over the attempts of a call, and
/// the resolving of writes.

#ifndef LIBPLATFORM_CLIENT_IMPL_H
#define LIBPLATFORM_CLIENT_IMPL_H

#include <galenafork/platform_client.h>
#include <libplatform/call_policy.h>
#include <libplatform/http_exchange.h>

#include <memory>

namespace galenafork
{

namespace pvt
{

/// \name HTTP statuses of the API
/// @{
inline constexpr unsigned status_ok = 200;
inline constexpr unsigned status_not_modified = 304;
inline constexpr unsigned status_not_found = 404;
inline constexpr unsigned status_gone = 410;
/// @}

/// The platform's response, or why there is none.
using response_or_error = tl::expected<api_response, error>;

/// One call over all its attempts.
struct pending_call
{
    /// The counter to which the attempts are added.
    std::uint64_t platform_counters::*counter_;
    api_request request_;
    /// How long a watch waits for an event; added to the timeout of an attempt.
    /// Zero for other calls.
    duration wait_{};
    /// When the wait ends, over all attempts.
    instant wait_until_{};
    /// True for a conditional update, which may have taken effect although its
    /// response is lost.
    bool is_write_ = false;
    call_progress progress_;
};

using call_ptr = std::shared_ptr<pending_call>;

/// One conditional update until its outcome is resolved.
struct pending_write
{
    std::string name_;
    write_progress progress_;
    call_ptr call_;
};

using write_ptr = std::shared_ptr<pending_write>;

/// Returns the error for a status that the API does not define for the call.
error unexpected_status(unsigned status);

/// Converts a duration to kj's type.
kj::Duration to_kj(duration d);

} // namespace pvt

/// Implementation of `platform_client`.
class platform_client::impl
{
public:
    impl(const platform_settings& settings, platform_dependencies dependencies,
         const api_dialect& dialect)
        : dialect_(dialect), settings_(settings), timer_(dependencies.timer_),
          clock_(std::move(dependencies.clock_)),
          random_(std::move(dependencies.random_)),
          exchange_(dependencies.timer_, dependencies.network_,
                    settings.address_, dialect.era_header_),
          state_(pvt::new_call_state(settings, clock_()))
    {
    }

    kj::Promise<pvt::response_or_error>
    read(std::uint64_t platform_counters::*counter, std::string url,
         duration wait);
    kj::Promise<write_result> put_if(object_write write);
    kj::Promise<tl::expected<platform_object, error>> get(std::string name,
                                                          freshness fresh);
    kj::Promise<tl::expected<object_page, error>>
    read_pages(std::string collection, freshness fresh, object_page collected);
    kj::Promise<tl::expected<void, error>> remove(const std::string& name,
                                                  object_version expected);

    const api_dialect& dialect_;
    platform_counters counters_;
    std::function<void(store_era)> on_new_era_;

private:
    pvt::call_ptr new_call(std::uint64_t platform_counters::*counter,
                           api_request request);
    kj::Promise<pvt::response_or_error> run(pvt::call_ptr call);
    kj::Promise<pvt::response_or_error> attempt(pvt::call_ptr call);
    kj::Promise<pvt::response_or_error> handle_response(pvt::call_ptr call,
                                                        api_response response);
    void count_give_up(const error& reason);
    void note_era(store_era era);

    kj::Promise<write_result>
    handle_put_response(const pvt::write_ptr& write,
                        pvt::response_or_error response);
    kj::Promise<write_result> read_back(const pvt::write_ptr& write);
    kj::Promise<write_result> handle_read_back(const pvt::write_ptr& write,
                                               const pvt::call_ptr& call,
                                               pvt::response_or_error response);
    write_result finish_write(const pvt::pending_write& write,
                              write_outcome outcome,
                              std::optional<platform_object> current,
                              error reason);

    platform_settings settings_;
    kj::Timer& timer_;
    std::function<instant()> clock_;
    std::function<double()> random_;
    pvt::http_exchange exchange_;
    pvt::call_state state_;
    /// The latest era; zero before the first one.
    store_era era_;
};

} // namespace galenafork

#endif
