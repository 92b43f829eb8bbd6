/// \file
/// Checks whether a report is of the upstream beside the agent. Another writer
/// may send reports that can be parsed.

#ifndef LIBPASSD_REPORT_CHECK_H
#define LIBPASSD_REPORT_CHECK_H

#include <galenafork/error.h>
#include <galenafork/pass_types.h>
#include <platform/instance_settings.h>

#include <tl/expected.hpp>

namespace galenafork
{

/// Maximum time by which the start of an upstream may be in the future. Clocks
/// may be set back by seconds after the start.
inline constexpr std::chrono::milliseconds max_clock_lead{
    std::chrono::minutes(1)};

/// Returns the report if it is of the upstream that `settings` name and that
/// upstream can have started by `now`. Otherwise fails with `bad_message`: a
/// report with a later start would end the upstream's flows and hide all of its
/// own reports.
tl::expected<upstream_report, error>
check_report(const upstream_report& report,
             const platform_adapter::instance_settings& settings,
             start_time_ms now);

} // namespace galenafork

#endif
