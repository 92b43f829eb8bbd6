#include "report_check.h"

#include <doctest/doctest.h>
#include <limits>

using namespace galenafork;

namespace
{

constexpr std::uint64_t now_ms = 1'800'000'000'000;

platform_adapter::instance_settings make_settings()
{
    platform_adapter::instance_settings settings;
    settings.upstream_ = {make_v4(10, 0, 0, 9), 8080};
    settings.service_ = service_name("orders");
    return settings;
}

upstream_report make_report()
{
    upstream_report report;
    report.address_ = {make_v4(10, 0, 0, 9), 8080};
    report.service_ = service_name("orders");
    report.started_ = start_time_ms(now_ms - 5000);
    return report;
}

bool is_accepted(const upstream_report& report)
{
    return check_report(report, make_settings(), start_time_ms(now_ms))
        .has_value();
}

} // namespace

TEST_CASE("a report of another upstream or service is rejected")
{
    // review/3: a foreign report with an unknown service reset the flows of the
    // agent's upstream and took it out of use.
    CHECK(is_accepted(make_report()));
    upstream_report other_service = make_report();
    other_service.service_ = service_name("unknown");
    CHECK_FALSE(is_accepted(other_service));
    upstream_report other_address = make_report();
    other_address.address_.port_ = 8081;
    CHECK_FALSE(is_accepted(other_address));
}

TEST_CASE("a report of an upstream that starts in the future is rejected")
{
    // Reports of an upstream that seems to have started later are taken for
    // those of its next incarnation, and earlier ones for outdated.
    upstream_report report = make_report();
    for (const std::uint64_t lead_ms : {1000, 20'000})
    {
        report.started_ = start_time_ms(now_ms + lead_ms);
        CHECK(is_accepted(report));
    }
    for (const std::uint64_t started :
         {now_ms + 61'000, now_ms * 1000,
          std::numeric_limits<std::uint64_t>::max()})
    {
        report.started_ = start_time_ms(started);
        CHECK_FALSE(is_accepted(report));
    }
    report.started_ = start_time_ms(0);
    CHECK(is_accepted(report));
}
