#include <galenafork/platform_setup.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr setting_range<duration> duration_range{milliseconds(1), minutes(5)};
constexpr setting_range<double> rate_range{0.1, 10'000};

counter* add_call_counter(metrics_registry& registry, const char* kind)
{
    return &registry.add_counter(
        "galena_platform_calls_total",
        "Calls sent to the platform, including retries; a watch is one call.",
        {{"call", kind}});
}

counter* add_given_up_counter(metrics_registry& registry, const char* reason)
{
    return &registry.add_counter(
        "galena_platform_given_up_total",
        "Calls to the platform that were given up, by reason.",
        {{"reason", reason}});
}

counter* add_lost_answer_counter(metrics_registry& registry,
                                 const char* outcome)
{
    return &registry.add_counter(
        "galena_platform_lost_answers_total",
        "Writes whose response was lost or not valid, by the outcome found "
        "afterwards.",
        {{"outcome", outcome}});
}

} // namespace

std::string roster_object_name(const service_name& service)
{
    return roster_object_prefix + service.value();
}

void read_platform_settings(settings_section section, platform_settings& s)
{
    section.required("address", s.address_)
        .optional("call_deadline", s.call_deadline_, duration_range)
        .optional("attempt_timeout", s.attempt_timeout_, duration_range)
        .optional("backoff_first", s.backoff_first_, duration_range)
        .optional("backoff_cap", s.backoff_cap_, duration_range)
        .optional("retries_per_second", s.retry_rate_.per_second_, rate_range)
        .optional("retries_burst", s.retry_rate_.burst_, rate_range)
        .optional("calls_per_second", s.call_rate_.per_second_, rate_range)
        .optional("calls_burst", s.call_rate_.burst_, rate_range);
    section.report_unknown_keys();
}

platform_metrics::platform_metrics(metrics_registry& registry)
    : series_{{
          {&platform_counters::gets_, add_call_counter(registry, "get")},
          {&platform_counters::puts_, add_call_counter(registry, "put")},
          {&platform_counters::watches_, add_call_counter(registry, "watch")},
          {&platform_counters::lists_, add_call_counter(registry, "list")},
          {&platform_counters::retries_,
           &registry.add_counter("galena_platform_retries_total",
                                 "Attempts after the first one of a call.")},
          {&platform_counters::timeouts_,
           &registry.add_counter("galena_platform_timeouts_total",
                                 "Attempts without a response in time.")},
          {&platform_counters::failures_,
           &registry.add_counter(
               "galena_platform_failures_total",
               "Attempts that failed for another reason than a timeout.")},
          {&platform_counters::refused_by_breaker_,
           add_given_up_counter(registry, "breaker")},
          {&platform_counters::refused_by_budget_,
           add_given_up_counter(registry, "budget")},
          {&platform_counters::resolved_accepted_,
           add_lost_answer_counter(registry, "accepted")},
          {&platform_counters::resolved_not_accepted_,
           add_lost_answer_counter(registry, "not_accepted")},
          {&platform_counters::unresolved_,
           add_lost_answer_counter(registry, "unknown")},
          {&platform_counters::stale_dropped_,
           &registry.add_counter(
               "galena_platform_stale_total",
               "Reads and watch events that were dropped as outdated.")},
      }}
{
}

void platform_metrics::update(const platform_counters& current)
{
    for (const series& s : series_)
    {
        s.counter_->add(current.*s.field_ - last_exported_.*s.field_);
    }
    last_exported_ = current;
}

} // namespace galenafork
