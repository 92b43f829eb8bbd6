#include <galenafork/platform_setup.h>

#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

struct platform_only_settings
{
    platform_settings platform_;
};

void read_settings(settings_section& root, platform_only_settings& s)
{
    read_platform_settings(root.section("platform"), s.platform_);
}

} // namespace

TEST_CASE("the platform settings are read, and all their errors reported")
{
    const auto valid = settings_from_text<platform_only_settings>(
        "[platform]\naddress = \"127.0.0.1:80\"\ncalls_per_second = 3.5\n");
    REQUIRE(valid.has_value());
    CHECK(valid->platform_.address_.port_ == 80);
    CHECK(valid->platform_.call_rate_.per_second_ == doctest::Approx(3.5));
    const auto invalid = settings_from_text<platform_only_settings>(
        "[platform]\naddress = \"x\"\nattempt_timeout = 3\nbogus = 1\n");
    REQUIRE_FALSE(invalid.has_value());
    CHECK(invalid.error().size() == 3);
}

TEST_CASE("the metrics show the counters of the client")
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

TEST_CASE("the name of a roster object contains the service name")
{
    CHECK(roster_object_name(service_name("orders")) == "roster/orders");
}
