/// \file
/// The parts of the platform client: the loop over the attempts of a call, and
/// the settling of writes.

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

/// The answer of the platform, or why there is none.
using response_or_error = tl::expected<api_response, error>;

/// One call over all its attempts.
struct pending_call
{
    std::uint64_t platform_counters::*counter_;
    api_request request_;
    /// How long the platform may wait for news before it answers, for watches;
    /// added to the attempt's timeout.
    duration wait_{};
    /// End of that wait, over all attempts.
    instant wait_until_{};
    /// Writes may have taken effect when their answer is lost.
    bool is_write_ = false;
    call_progress progress_;
};

using call_ptr = std::shared_ptr<pending_call>;

/// One conditional update until it is settled.
struct pending_write
{
    std::string name_;
    write_progress progress_;
    call_ptr call_;
};

using write_ptr = std::shared_ptr<pending_write>;

/// The error for an answer that the API does not know.
error unexpected_status(unsigned status);

/// The duration in kj's unit.
kj::Duration to_kj(duration d);

} // namespace pvt

/// Works behind `platform_client`.
class platform_client::impl
{
public:
    impl(const platform_settings& settings, platform_dependencies dependencies,
         const api_dialect& dialect)
        : dialect_(dialect), settings_(settings), timer_(dependencies.timer_),
          clock_(std::move(dependencies.clock_)),
          random_(std::move(dependencies.random_)),
          exchange_(dependencies.timer_, dependencies.network_,
                    settings.address_),
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
    read_pages(std::string collection, freshness fresh, object_page so_far);
    kj::Promise<tl::expected<void, error>> remove(const std::string& name,
                                                  object_version expected);

    const api_dialect& dialect_;
    platform_counters counters_;

private:
    pvt::call_ptr new_call(std::uint64_t platform_counters::*counter,
                           api_request request);
    kj::Promise<pvt::response_or_error> run(pvt::call_ptr call);
    kj::Promise<pvt::response_or_error> attempt(pvt::call_ptr call);
    kj::Promise<pvt::response_or_error> handle_response(pvt::call_ptr call,
                                                        api_response answer);
    void count_give_up(const error& reason);

    kj::Promise<write_result>
    handle_put_response(const pvt::write_ptr& write,
                        pvt::response_or_error answer);
    kj::Promise<write_result> read_back(const pvt::write_ptr& write);
    kj::Promise<write_result> handle_read_back(const pvt::write_ptr& write,
                                               const pvt::call_ptr& call,
                                               pvt::response_or_error answer);
    write_result settled(const pvt::pending_write& write, write_outcome outcome,
                         std::optional<platform_object> current, error reason);

    platform_settings settings_;
    kj::Timer& timer_;
    std::function<instant()> clock_;
    std::function<double()> random_;
    pvt::http_exchange exchange_;
    pvt::call_state state_;
};

} // namespace galenafork

#endif
