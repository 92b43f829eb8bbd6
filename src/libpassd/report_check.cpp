#include "report_check.h"

namespace galenafork
{

tl::expected<upstream_report, error>
check_report(const upstream_report& report,
             const platform_adapter::instance_settings& settings,
             start_time_ms now)
{
    const auto reject = [](const std::string& reason) {
        return tl::unexpected(error{error_code::bad_message, reason});
    };
    if (report.address_ != settings.upstream_)
    {
        return reject("the report is of another upstream: " +
                      to_string(report.address_));
    }
    if (report.service_ != settings.service_)
    {
        return reject("the report is of another service: " +
                      report.service_.value());
    }
    const std::uint64_t started = report.started_.value();
    if (started > now.value() &&
        started - now.value() >
            static_cast<std::uint64_t>(max_clock_lead.count()))
    {
        return reject("the upstream's start is in the future: " +
                      std::to_string(started));
    }
    return report;
}

} // namespace galenafork
