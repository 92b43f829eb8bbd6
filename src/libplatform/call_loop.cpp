#include <libplatform/client_impl.h>

#include <algorithm>
#include <utility>

namespace galenafork
{

namespace pvt
{

error unexpected_status(unsigned status)
{
    return {error_code::refused, "the platform responded with HTTP status " +
                                     std::to_string(status)};
}

kj::Duration to_kj(duration d)
{
    return d.count() * kj::MICROSECONDS;
}

} // namespace pvt

pvt::call_ptr
platform_client::impl::new_call(std::uint64_t platform_counters::*counter,
                                api_request request)
{
    auto call = std::make_shared<pvt::pending_call>();
    call->counter_ = counter;
    call->request_ = std::move(request);
    call->progress_.deadline_ = clock_() + settings_.call_deadline_;
    return call;
}

kj::Promise<pvt::response_or_error>
platform_client::impl::read(std::uint64_t platform_counters::*counter,
                            std::string url, duration wait)
{
    api_request request;
    request.url_ = std::move(url);
    auto call = new_call(counter, std::move(request));
    call->wait_ = wait;
    call->wait_until_ = clock_() + wait;
    call->progress_.deadline_ += wait;
    return run(std::move(call));
}

kj::Promise<pvt::response_or_error>
platform_client::impl::run(pvt::call_ptr call)
{
    auto decision =
        pvt::next_step(state_, settings_, call->progress_, clock_());
    switch (decision.step_)
    {
    case pvt::call_step::attempt:
        return attempt(std::move(call));
    case pvt::call_step::wait:
        return timer_.afterDelay(pvt::to_kj(decision.wait_))
            .then([this, call = std::move(call)] { return run(call); });
    case pvt::call_step::give_up:
        break;
    }
    count_give_up(decision.reason_);
    return pvt::response_or_error(tl::unexpected(std::move(decision.reason_)));
}

kj::Promise<pvt::response_or_error>
platform_client::impl::attempt(pvt::call_ptr call)
{
    counters_.*call->counter_ += 1;
    counters_.retries_ += call->progress_.attempts_ > 1 ? 1 : 0;
    api_request request = call->request_;
    duration timeout = settings_.attempt_timeout_;
    if (call->wait_ > duration::zero())
    {
        // A probe does not wait, as other calls depend on its outcome. A
        // retried watch only waits for the remaining time, as its caller may
        // have to read the object when the whole wait is over.
        const bool is_probe = state_.breaker_.probing_;
        const duration remaining =
            std::chrono::duration_cast<duration>(call->wait_until_ - clock_());
        const duration wait =
            is_probe ? duration::zero() : std::max(remaining, duration::zero());
        const auto wait_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(wait);
        request.url_ += "&wait_ms=" + std::to_string(wait_ms.count());
        timeout += wait;
    }
    return exchange_.send(request, timeout)
        .then([this, call = std::move(call)](api_response&& response)
              { return handle_response(call, std::move(response)); });
}

kj::Promise<pvt::response_or_error>
platform_client::impl::handle_response(pvt::call_ptr call,
                                       api_response response)
{
    if (pvt::is_valid_response(response))
    {
        pvt::record_success(state_.breaker_);
        note_era(response.era_);
        return pvt::response_or_error(std::move(response));
    }
    counters_.timeouts_ += response.timed_out_ ? 1 : 0;
    counters_.failures_ += response.timed_out_ ? 0 : 1;
    pvt::record_failure(state_.breaker_, settings_, clock_(), random_());
    call->progress_.must_resolve_ |= call->is_write_;
    if (call->wait_ > duration::zero() && response.timed_out_ &&
        clock_() >= call->wait_until_)
    {
        // The platform may hold a watch without events for longer than was
        // requested. The caller then has to read the object.
        return pvt::response_or_error(tl::unexpected(
            error{error_code::timed_out,
                  "the platform did not respond to the watch in time"}));
    }
    const duration pause =
        pvt::backoff_delay(settings_, call->progress_.attempts_, random_());
    return timer_.afterDelay(pvt::to_kj(pause))
        .then([this, call = std::move(call)] { return run(call); });
}

void platform_client::impl::note_era(store_era era)
{
    if (era <= era_)
    {
        return;
    }
    const bool is_first = era_ == store_era();
    era_ = era;
    if (!is_first && on_new_era_)
    {
        on_new_era_(era);
    }
}

void platform_client::set_era_handler(std::function<void(store_era)> handler)
{
    impl_->on_new_era_ = std::move(handler);
}

void platform_client::impl::count_give_up(const error& reason)
{
    counters_.refused_by_breaker_ +=
        reason.code_ == error_code::unavailable ? 1 : 0;
    counters_.refused_by_budget_ += reason.code_ == error_code::refused ? 1 : 0;
}

} // namespace galenafork
