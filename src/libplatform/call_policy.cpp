#include <libplatform/call_policy.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace galenafork::pvt
{

namespace
{

constexpr double micros_per_second = 1e6;
// Keeps the shift in `double_capped` in range; every delay has reached its cap
// by then.
constexpr unsigned max_doublings = 20;

double tokens_at(const token_bucket& bucket, const token_rate& rate,
                 instant now)
{
    const auto elapsed = std::max(now - bucket.updated_at_, duration::zero());
    const double refilled = static_cast<double>(elapsed.count()) /
                            micros_per_second * rate.per_second_;
    return std::min(rate.burst_, bucket.tokens_ + refilled);
}

duration double_capped(duration first, duration cap, unsigned times)
{
    const auto factor = std::int64_t{1} << std::min(times, max_doublings);
    return std::min(cap, first * factor);
}

duration scaled(duration d, double factor)
{
    return duration(
        static_cast<duration::rep>(static_cast<double>(d.count()) * factor));
}

bool is_tripped(const circuit_breaker& breaker,
                const platform_settings& settings)
{
    return breaker.failures_ >= settings.breaker_failure_threshold_;
}

call_decision give_up(error_code code, const char* message)
{
    return {call_step::give_up, {}, {code, message}};
}

call_decision wait_or_give_up(const call_progress& progress, instant now,
                              duration wait, error reason)
{
    if (now + wait >= progress.deadline_)
    {
        return {call_step::give_up, {}, std::move(reason)};
    }
    // Waits at least 1 ms, so that the caller does not become a busy loop.
    return {call_step::wait, std::max(wait, duration(1000)), {}};
}

} // namespace

token_bucket full_bucket(const token_rate& rate, instant now)
{
    return {rate.burst_, now};
}

duration time_to_token(const token_bucket& bucket, const token_rate& rate,
                       instant now)
{
    const double missing = 1 - tokens_at(bucket, rate, now);
    if (missing <= 0)
    {
        return duration::zero();
    }
    if (rate.per_second_ <= 0)
    {
        return std::chrono::hours(1);
    }
    return duration(static_cast<duration::rep>(
        std::ceil(missing / rate.per_second_ * micros_per_second)));
}

void consume_token(token_bucket& bucket, const token_rate& rate, instant now)
{
    bucket = {tokens_at(bucket, rate, now) - 1, now};
}

bool allows_call(const circuit_breaker& breaker,
                 const platform_settings& settings, instant now)
{
    if (!is_tripped(breaker, settings))
    {
        return true;
    }
    return now >= breaker.open_until_;
}

void record_attempt(circuit_breaker& breaker, const platform_settings& settings,
                    instant now)
{
    breaker.probing_ = is_tripped(breaker, settings);
    if (breaker.probing_)
    {
        breaker.open_until_ = now + settings.attempt_timeout_;
    }
}

void record_success(circuit_breaker& breaker)
{
    breaker = circuit_breaker{};
}

void record_failure(circuit_breaker& breaker, const platform_settings& settings,
                    instant now, double random)
{
    ++breaker.failures_;
    const bool was_probing = std::exchange(breaker.probing_, false);
    if (!is_tripped(breaker, settings))
    {
        return;
    }
    // The failure of a call that was in flight when the breaker opened does not
    // prolong the open time.
    if (now < breaker.open_until_ && !was_probing)
    {
        return;
    }
    const duration open =
        double_capped(settings.breaker_open_first_, settings.breaker_open_cap_,
                      breaker.openings_);
    breaker.open_until_ = now + scaled(open, (1 + random) / 2);
    ++breaker.openings_;
}

duration backoff_delay(const platform_settings& settings, unsigned attempt,
                       double random)
{
    const unsigned doublings = attempt == 0 ? 0 : attempt - 1;
    return scaled(double_capped(settings.backoff_first_, settings.backoff_cap_,
                                doublings),
                  random);
}

call_state new_call_state(const platform_settings& settings, instant now)
{
    return {full_bucket(settings.call_rate_, now),
            full_bucket(settings.retry_rate_, now),
            {}};
}

call_decision next_step(call_state& state, const platform_settings& settings,
                        call_progress& progress, instant now)
{
    if (now >= progress.deadline_)
    {
        return give_up(error_code::timed_out,
                       "the platform did not respond in time");
    }
    if (!allows_call(state.breaker_, settings, now))
    {
        error reason{error_code::unavailable,
                     "the platform does not respond (circuit breaker is open)"};
        if (!progress.must_resolve_)
        {
            return {call_step::give_up, {}, std::move(reason)};
        }
        return wait_or_give_up(progress, now, state.breaker_.open_until_ - now,
                               std::move(reason));
    }
    const bool is_retry = progress.attempts_ > 0;
    const duration retry_wait =
        is_retry ? time_to_token(state.retries_, settings.retry_rate_, now)
                 : duration::zero();
    if (retry_wait > duration::zero() && !progress.must_resolve_)
    {
        return give_up(
            error_code::refused,
            "the platform does not respond (retry budget is exhausted)");
    }
    const duration wait = std::max(
        retry_wait, time_to_token(state.calls_, settings.call_rate_, now));
    if (wait > duration::zero())
    {
        return wait_or_give_up(
            progress, now, wait,
            {error_code::refused,
             "the budget for calls to the platform is exhausted"});
    }
    consume_token(state.calls_, settings.call_rate_, now);
    if (is_retry)
    {
        consume_token(state.retries_, settings.retry_rate_, now);
    }
    record_attempt(state.breaker_, settings, now);
    ++progress.attempts_;
    return {call_step::attempt, {}, {}};
}

read_back_result classify_read_back(const write_progress& progress,
                                    const platform_object& current)
{
    if (holds_write_id(current.value_, progress.write_id_))
    {
        return read_back_result::accepted;
    }
    if (current.version_ < progress.conflict_version_)
    {
        return read_back_result::stale;
    }
    if (!progress.may_have_been_applied_)
    {
        return read_back_result::not_accepted;
    }
    // Another writer created the version that this write would have created.
    const bool lost_race =
        current.version_.value() == progress.expected_version_.value() + 1;
    return lost_race ? read_back_result::not_accepted
                     : read_back_result::unknown;
}

} // namespace galenafork::pvt
