/// \file
/// Helpers for daemons that use the platform client: reading its settings,
/// exporting its metrics and naming the platform objects.

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

/// Common prefix of the names of roster objects.
inline constexpr const char* roster_object_prefix = "roster/";

/// Returns the name of the platform object that holds the roster of `service`.
std::string roster_object_name(const service_name& service);

/// Reads the `[platform]` section and reports its errors, unknown keys
/// included, to `section`.
void read_platform_settings(settings_section section, platform_settings& s);

/// Exports the client's counters as metrics.
class platform_metrics
{
public:
    /// Registers the metrics; `registry` must outlive this.
    explicit platform_metrics(metrics_registry& registry);

    /// Updates the metrics to `current`, the counters of one client.
    void update(const platform_counters& current);

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
