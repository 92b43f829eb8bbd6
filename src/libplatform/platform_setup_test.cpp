#include <galenafork/platform_setup.h>

#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

struct only_platform
{
    platform_settings platform_;
};

void read_settings(settings_section& top, only_platform& s)
{
    read_platform_settings(top.section("platform"), s.platform_);
}

} // namespace

TEST_CASE("the platform's settings are read and checked as a whole")
{
    const auto good = settings_from_text<only_platform>(
        "[platform]\naddress = \"127.0.0.1:80\"\ncalls_per_second = 3.5\n");
    REQUIRE(good.has_value());
    CHECK(good->platform_.address_.port_ == 80);
    CHECK(good->platform_.call_rate_.per_second_ == doctest::Approx(3.5));
    const auto bad = settings_from_text<only_platform>(
        "[platform]\naddress = \"x\"\nattempt_timeout = 3\nbogus = 1\n");
    REQUIRE_FALSE(bad.has_value());
    CHECK(bad.error().size() == 3);
}

TEST_CASE("metrics follow the counters")
{
    metrics_registry registry;
    platform_metrics metrics(registry);
    platform_counters counters;
    counters.gets_ = 2;
    counters.unresolved_ = 1;
    metrics.update(counters);
    counters.gets_ = 5;
    metrics.update(counters);
    const std::string text = registry.prometheus_text();
    CAPTURE(text);
    CHECK(text.find("galena_platform_calls_total{call=\"get\"} 5") !=
          std::string::npos);
    CHECK(text.find(
              "galena_platform_lost_answers_total{outcome=\"unknown\"} 1") !=
          std::string::npos);
}

TEST_CASE("each service has a roster object of its own")
{
    CHECK(roster_object_name(service_name("orders")) == "roster/orders");
}
