#include <galenafork/platform_setup.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;

constexpr setting_range<duration> call_times{milliseconds(1), minutes(5)};
constexpr setting_range<double> call_rates{0.1, 10'000};

counter* add_calls(metrics_registry& registry, const char* kind)
{
    return &registry.add_counter(
        "galena_platform_calls_total",
        "Calls to the platform, retries included; a waiting watch is one",
        {{"call", kind}});
}

counter* add_given_up(metrics_registry& registry, const char* reason)
{
    return &registry.add_counter("galena_platform_given_up_total",
                                 "Calls to the platform given up unasked",
                                 {{"reason", reason}});
}

counter* add_settled(metrics_registry& registry, const char* outcome)
{
    return &registry.add_counter(
        "galena_platform_lost_answers_total",
        "Writes whose answer was lost, by what was found out",
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
        .optional("call_deadline", s.call_deadline_, call_times)
        .optional("attempt_timeout", s.attempt_timeout_, call_times)
        .optional("backoff_first", s.backoff_first_, call_times)
        .optional("backoff_cap", s.backoff_cap_, call_times)
        .optional("retries_per_second", s.retry_rate_.per_second_, call_rates)
        .optional("retries_burst", s.retry_rate_.burst_, call_rates)
        .optional("calls_per_second", s.call_rate_.per_second_, call_rates)
        .optional("calls_burst", s.call_rate_.burst_, call_rates);
    section.report_unknown_keys();
}

platform_metrics::platform_metrics(metrics_registry& registry)
    : series_{{
          {&platform_counters::gets_, add_calls(registry, "get")},
          {&platform_counters::puts_, add_calls(registry, "put")},
          {&platform_counters::watches_, add_calls(registry, "watch")},
          {&platform_counters::lists_, add_calls(registry, "list")},
          {&platform_counters::retries_,
           &registry.add_counter("galena_platform_retries_total",
                                 "Attempts after the first of a call")},
          {&platform_counters::timeouts_,
           &registry.add_counter("galena_platform_timeouts_total",
                                 "Attempts without an answer in time")},
          {&platform_counters::failures_,
           &registry.add_counter("galena_platform_failures_total",
                                 "Attempts that failed otherwise")},
          {&platform_counters::refused_by_breaker_,
           add_given_up(registry, "breaker")},
          {&platform_counters::refused_by_budget_,
           add_given_up(registry, "budget")},
          {&platform_counters::resolved_accepted_,
           add_settled(registry, "accepted")},
          {&platform_counters::resolved_not_accepted_,
           add_settled(registry, "not_accepted")},
          {&platform_counters::unresolved_, add_settled(registry, "unknown")},
          {&platform_counters::stale_dropped_,
           &registry.add_counter("galena_platform_stale_total",
                                 "Reads and events older than known")},
      }}
{
}

void platform_metrics::update(const platform_counters& now)
{
    for (const series& s : series_)
    {
        s.counter_->add(now.*s.field_ - last_exported_.*s.field_);
    }
    last_exported_ = now;
}

} // namespace galenafork
