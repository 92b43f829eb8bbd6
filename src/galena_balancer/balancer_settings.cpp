#include "balancer_settings.h"

#include <galenafork/platform_setup.h>

#include <algorithm>
#include <array>

namespace galenafork
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

void read_packet_settings(settings_section section, packet_settings& s)
{
    section.required("listen", s.fabric_endpoint_)
        .required("agents", s.agent_endpoint_)
        .optional("answers", s.answer_endpoint_)
        .optional("threads", s.threads_, {1, 64});
    section.report_unknown_keys();
}

void read_control_addresses(settings_section section, control_addresses& s)
{
    section.required("http", s.http_).required("rpc", s.rpc_);
    section.report_unknown_keys();
}

void read_gossip(settings_section section, gossip_settings& s)
{
    section.optional("seeds", s.seeds_)
        .optional("exchange_interval", s.exchange_interval_,
                  {milliseconds(50), seconds(60)})
        .optional("relays", s.relay_.relay_count_, {1, 16})
        .optional("relay_lease", s.relay_.lease_,
                  {milliseconds(500), hours(1)});
    section.report_unknown_keys();
}

constexpr std::array<log_level, 4> log_levels{
    log_level::debug, log_level::info, log_level::warning, log_level::error};

bool is_level(const std::string& name)
{
    return std::any_of(log_levels.begin(), log_levels.end(),
                       [&](log_level level)
                       { return name == to_string(level); });
}

} // namespace

void read_settings(settings_section& top, balancer_settings& s)
{
    top.required("instance", s.instance_)
        .required("data_centre", s.data_centre_)
        .optional("log_level", s.log_level_)
        .optional("drain_time", s.drain_time_, {milliseconds(0), hours(1)});
    if (!is_level(s.log_level_))
    {
        top.add_error("log_level", "must be debug, info, warning or error");
    }
    read_packet_settings(top.section("packets"), s.packets_);
    read_control_addresses(top.section("control"), s.control_);
    read_gossip(top.section("spread"), s.gossip_);
    read_platform_settings(top.section("platform"), s.platform_);
    auto traces = top.section("traces");
    read_settings(traces, s.traces_);
    traces.report_unknown_keys();
}

log_level level_of(const balancer_settings& s)
{
    return *std::find_if(log_levels.begin(), log_levels.end(),
                         [&](log_level level)
                         { return s.log_level_ == to_string(level); });
}

} // namespace galenafork
