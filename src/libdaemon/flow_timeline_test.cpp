#include <galenafork/flow_timeline.h>

#include <doctest/doctest.h>
#include <sstream>

using namespace galenafork;

namespace
{

constexpr const char* balancer_log =
    "time=2026-12-04T12:17:24.665Z level=info program=galena-pass-balancer "
    "event=placed flow=100.66.0.32:1174>198.18.0.1:8443#77 reason=- "
    "peer=10.2.0.19 ago_us=1000\n"
    "Starting up\n"
    "time=2026-12-04T12:17:24.665Z level=info program=galena-pass-balancer "
    "event=placed flow=100.66.0.32:11740>198.18.0.1:8443#78 ago_us=0\n";

// The decision was made 0.5 ms after the balancer's decision about the same
// flow, although this log is collected first.
constexpr const char* agent_log =
    "time=2026-12-04T12:17:24.700Z level=info program=galena-pass-agent "
    "event=refused flow=100.66.0.32:1174>198.18.0.1:8443#77 "
    "reason=overloaded ago_us=35500\n";

std::vector<flow_log_entry> entries_of(const std::string& flow)
{
    std::vector<flow_log_entry> entries;
    std::istringstream agent(agent_log);
    collect_flow_log(agent, "agent.log", flow, entries);
    std::istringstream balancer(balancer_log);
    collect_flow_log(balancer, "balancer.log", flow, entries);
    return entries;
}

} // namespace

TEST_CASE("a flow's log entries are listed in the order of the decisions")
{
    const std::string text =
        format_flow_timeline(entries_of("100.66.0.32:1174>198.18.0.1:8443#77"));
    const std::size_t placed = text.find("0.000 ms  balancer.log  program=");
    const std::size_t refused = text.find("0.500 ms  agent.log  program=");
    REQUIRE(placed != std::string::npos);
    REQUIRE(refused != std::string::npos);
    CHECK(placed < refused);
    CHECK(text.find("reason=overloaded") != std::string::npos);
}

TEST_CASE("a flow is found by its caller's address and port, but not by a "
          "prefix of the port")
{
    CHECK(entries_of("100.66.0.32:1174").size() == 2);
    CHECK(entries_of("100.66.0.32:117").empty());
    CHECK(format_flow_timeline({}).empty());
}
