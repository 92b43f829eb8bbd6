#include <galenafork/load_policy.h>

#include <algorithm>
#include <cmath>

namespace galenafork
{

namespace pvt
{

namespace
{

// Returns the number of requests that must end before a new one gets a slot.
std::uint32_t requests_ahead(const upstream_load& load)
{
    const std::uint32_t slots = std::max<std::uint32_t>(load.slots_.value(), 1);
    return load.in_flight_ < slots ? 0 : load.in_flight_ - slots + 1;
}

duration expected_wait(const upstream_load& load)
{
    const auto slots = std::max<std::uint32_t>(load.slots_.value(), 1);
    return load.service_time_ * requests_ahead(load) / slots;
}

bool queue_is_full(const upstream_load& load,
                   const admission_settings& settings)
{
    const double slots = std::max<std::uint32_t>(load.slots_.value(), 1);
    return load.in_flight_ >= slots * (1 + settings.queue_per_slot_) ||
           expected_wait(load) > settings.max_wait_;
}

admission_decision refuse(refusal reason, duration retry_after = duration(0))
{
    admission_decision result;
    result.verdict_.reason_ = reason;
    result.retry_after_ = retry_after;
    return result;
}

// Returns one to two times the expected wait, within the limits of `settings`.
// The jitter keeps refused callers from retrying all at the same time.
duration retry_hint(const upstream_load& load,
                    const admission_settings& settings, double jitter)
{
    const duration min_hint =
        std::max(expected_wait(load), settings.min_retry_after_);
    const auto extra = static_cast<duration::rep>(
        std::lround(static_cast<double>(min_hint.count()) * jitter));
    return std::min(min_hint + duration(extra), settings.max_retry_after_);
}

} // namespace

} // namespace pvt

retry_budget credit_request(const retry_budget& budget,
                            const retry_settings& settings)
{
    return {std::min(budget.tokens_ + settings.retry_ratio_,
                     settings.retry_burst_)};
}

bool allows_retry(const retry_budget& budget)
{
    return budget.tokens_ >= 1;
}

retry_budget consume_retry(const retry_budget& budget)
{
    return {allows_retry(budget) ? budget.tokens_ - 1 : budget.tokens_};
}

admission_decision admit(const upstream_load& load,
                         const admission_request& request,
                         const retry_budget& budget,
                         const load_settings& settings, instant now,
                         double jitter)
{
    const duration hint = pvt::retry_hint(load, settings.admission_, jitter);
    if (load.draining_ && request.opens_flow_)
    {
        return pvt::refuse(refusal::draining);
    }
    const auto time =
        time_for_upstream(request.deadline_, settings.deadline_, now);
    if (!time)
    {
        return pvt::refuse(refusal::deadline_passed);
    }
    const bool too_late = pvt::expected_wait(load) + load.service_time_ > *time;
    const bool beyond_budget = request.is_retry_ && !allows_retry(budget);
    if (pvt::queue_is_full(load, settings.admission_) || too_late ||
        beyond_budget)
    {
        return pvt::refuse(refusal::overloaded, hint);
    }
    admission_decision result;
    result.admitted_ = true;
    result.verdict_ = {run_state::may_have_run, refusal::none};
    return result;
}

std::optional<duration> time_for_upstream(std::optional<instant> deadline,
                                          const deadline_settings& settings,
                                          instant now)
{
    if (!deadline)
    {
        return settings.request_time_limit_;
    }
    const duration left = *deadline - now - settings.return_time_;
    if (left <= duration(0))
    {
        return std::nullopt;
    }
    return std::min(left, settings.request_time_limit_);
}

double smooth(double current, double observed, duration elapsed,
              duration time_constant)
{
    if (time_constant <= duration(0))
    {
        return observed;
    }
    const double weight = std::exp(-static_cast<double>(elapsed.count()) /
                                   static_cast<double>(time_constant.count()));
    return (current * weight) + (observed * (1 - weight));
}

} // namespace galenafork
