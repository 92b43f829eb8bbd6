#include "agent_config.h"

#include <algorithm>
#include <array>

namespace galenafork
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr setting_range<duration> short_duration_range{milliseconds(1),
                                                       seconds(60)};
constexpr setting_range<duration> long_duration_range{milliseconds(10),
                                                      hours(24)};

void read_control_addresses(settings_section section, control_addresses& s)
{
    section.required("http", s.http_).required("rpc", s.rpc_);
    section.report_unknown_keys();
}

void read_platform(settings_section section, platform_settings& s)
{
    section.required("address", s.address_)
        .optional("call_deadline", s.call_deadline_, short_duration_range)
        .optional("attempt_timeout", s.attempt_timeout_, short_duration_range);
    section.report_unknown_keys();
}

void read_lease(settings_section section, lease_settings& s)
{
    section
        .optional("heartbeat_interval", s.heartbeat_interval_,
                  short_duration_range)
        .optional("lease_length", s.lease_length_, short_duration_range)
        .optional("drift_margin", s.drift_margin_, short_duration_range)
        .optional("isolation_wait", s.isolation_wait_, short_duration_range);
    if (s.lease_length_ < 3 * s.heartbeat_interval_)
    {
        section.add_error("lease_length",
                          "must be at least three heartbeat intervals");
    }
    section.report_unknown_keys();
}

void read_flows(settings_section section, flow_settings& s)
{
    section.optional("idle_timeout", s.idle_timeout_, long_duration_range)
        .optional("hold_time", s.hold_time_, short_duration_range)
        .optional("request_time", s.request_time_, short_duration_range);
    section.report_unknown_keys();
}

void read_journal(settings_section section, journal_settings& s)
{
    section.optional("lifetime", s.lifetime_, long_duration_range)
        .optional("quarantine", s.quarantine_, long_duration_range)
        .optional("record_timeout", s.record_timeout_, short_duration_range);
    section.report_unknown_keys();
}

void read_load(settings_section section, load_settings& s)
{
    section.optional("home_margin", s.placement_.home_margin_, {0.0, 1000.0})
        .optional("locality_margin", s.placement_.locality_margin_,
                  {0.0, 1000.0})
        .optional("report_influence", s.placement_.report_influence_,
                  {0.0, 1.0})
        .optional("queue_per_slot", s.admission_.queue_per_slot_, {0.0, 1000.0})
        .optional("max_wait", s.admission_.max_wait_, short_duration_range)
        .optional("retry_ratio", s.retry_.retry_ratio_, {0.0, 1.0})
        .optional("slow_start", s.slow_start_.length_,
                  {milliseconds(0), hours(1)});
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

void read_kind(settings_section& top, flow_kind& kind)
{
    std::string text = "coap";
    top.optional("kind", text);
    if (text != "coap" && text != "udp")
    {
        top.add_error("kind", "must be udp or coap");
    }
    kind = text == "udp" ? flow_kind::udp : flow_kind::coap;
}

} // namespace

void read_settings(settings_section& top, agent_config& config)
{
    constexpr std::uint32_t max_slots = 100'000;
    std::uint64_t slots = 1;
    top.required("service", config.service_)
        .required("instance", config.instance_)
        .required("data_centre", config.data_centre_)
        .required("slots", slots, {1, max_slots})
        .required("upstream", config.upstream_)
        .required("packets", config.packet_endpoint_)
        .optional("log_level", config.log_level_)
        .optional("drain_time", config.drain_time_, long_duration_range);
    config.slots_ = slot_count(static_cast<std::uint32_t>(slots));
    read_kind(top, config.kind_);
    if (!is_level(config.log_level_))
    {
        top.add_error("log_level", "must be debug, info, warning or error");
    }
    read_control_addresses(top.section("control"), config.control_);
    read_platform(top.section("platform"), config.platform_);
    read_lease(top.section("lease"), config.agent_settings_.lease_);
    read_flows(top.section("flows"), config.agent_settings_.flow_);
    read_journal(top.section("journal"), config.agent_settings_.journal_);
    read_load(top.section("load"), config.load_);
    auto traces = top.section("traces");
    read_settings(traces, config.traces_);
    traces.report_unknown_keys();
}

log_level level_of(const agent_config& config)
{
    return *std::find_if(log_levels.begin(), log_levels.end(),
                         [&](log_level level)
                         { return config.log_level_ == to_string(level); });
}

} // namespace galenafork
