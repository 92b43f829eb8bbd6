/// \file
/// What every daemon needs around the platform client: its settings section,
/// its metrics and the names of the objects.

#ifndef GALENAFORK_PLATFORM_SETUP_H
#define GALENAFORK_PLATFORM_SETUP_H

#include <galenafork/ids.h>
#include <galenafork/metrics.h>
#include <galenafork/platform_client.h>
#include <galenafork/settings.h>

#include <array>
#include <string>

namespace galenafork
{

/// Prefix of the names of all roster objects.
inline constexpr const char* roster_object_prefix = "roster/";

/// Name of the platform object that holds the roster of `service`.
std::string roster_object_name(const service_name& service);

/// Reads the whole `[platform]` section, unknown keys included in its faults.
void read_platform_settings(settings_section section, platform_settings& s);

/// Shows the client's counters as metrics.
class platform_metrics
{
public:
    /// Adds the metrics; `registry` must outlive this.
    explicit platform_metrics(metrics_registry& registry);

    /// Brings the metrics up to `now`, the counters of one client.
    void update(const platform_counters& now);

private:
    struct series
    {
        std::uint64_t platform_counters::*field_;
        counter* counter_;
    };

    static constexpr std::size_t series_count = 13;

    std::array<series, series_count> series_;
    platform_counters last_exported_;
};

} // namespace galenafork

#endif
