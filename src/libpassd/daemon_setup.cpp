#include "daemon_setup.h"

#include <cstdlib>
#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

using nlohmann::json;

constexpr const char* host_field = "host";
constexpr const char* accepts_connections_field = "accepts_connections";
constexpr const char* data_centre_field = "data_centre";

// Offsets from the first internal port of an instance.
constexpr std::uint16_t peers_port_offset = 0;
constexpr std::uint16_t rpc_port_offset = 1;

} // namespace

kj::Duration to_kj(duration d)
{
    return d.count() * kj::MICROSECONDS;
}

std::uint16_t rpc_port(const platform_adapter::instance_settings& settings)
{
    return static_cast<std::uint16_t>(settings.first_internal_port_ +
                                      rpc_port_offset);
}

packet_addresses
packet_addresses_of(const platform_adapter::instance_settings& settings)
{
    packet_addresses addresses;
    addresses.segments_ = settings.segments_;
    addresses.peers_ = at_port(
        settings.host_, static_cast<std::uint16_t>(
                            settings.first_internal_port_ + peers_port_offset));
    addresses.upstream_ = settings.upstream_;
    return addresses;
}

platform_settings
store_settings(const platform_adapter::instance_settings& settings)
{
    platform_settings s;
    s.address_ = settings.store_;
    s.call_deadline_ = std::chrono::seconds(3);
    s.attempt_timeout_ = std::chrono::seconds(1);
    s.backoff_cap_ = std::chrono::milliseconds(500);
    s.breaker_open_first_ = std::chrono::milliseconds(300);
    s.breaker_open_cap_ = std::chrono::seconds(1);
    return s;
}

tl::expected<std::unique_ptr<control_loop>, error>
open_control(const platform_adapter::instance_settings& settings,
             const metrics_registry& metrics)
{
    control_addresses addresses;
    addresses.http_ = settings.readiness_;
    addresses.rpc_ = at_port(settings.host_, rpc_port(settings));
    if (settings.reports_.port_ != 0)
    {
        addresses.additional_http_.push_back(settings.reports_);
    }
    return control_loop::open(addresses, metrics);
}

std::string entry_name(const char* collection, host_address host)
{
    return std::string(collection) + "/" + to_string(host);
}

std::string entry_value(const platform_adapter::instance_settings& settings)
{
    return json({{host_field, to_string(settings.host_)},
                 {data_centre_field, settings.data_centre_.value()},
                 {"service", settings.service_.value()}})
        .dump();
}

std::string
agent_entry_value(const platform_adapter::instance_settings& settings,
                  bool upstream_accepts_connections)
{
    json value = json::parse(entry_value(settings));
    if (upstream_accepts_connections)
    {
        value[accepts_connections_field] = true;
    }
    return value.dump();
}

bool accepts_connections(const platform_object& entry)
{
    const json value = json::parse(entry.value_, nullptr, false);
    return value.is_object() && value.contains(accepts_connections_field) &&
           value[accepts_connections_field] == true;
}

namespace
{

// Returns whether datagrams to the address reach one instance.
bool is_unicast(host_address host)
{
    constexpr std::uint32_t first_multicast = 0xe0000000;
    return host != host_address() && host.value() < first_multicast;
}

} // namespace

std::vector<host_address> hosts_of(const std::vector<platform_object>& entries)
{
    std::vector<host_address> hosts;
    for (const platform_object& entry : entries)
    {
        const json value = json::parse(entry.value_, nullptr, false);
        const bool has_host = value.is_object() && value.contains(host_field) &&
                              value[host_field].is_string();
        const auto address = parse_endpoint(
            (has_host ? value[host_field].get<std::string>() : "") + ":1");
        if (!address || !address->address_.is_v4() ||
            !is_unicast(host_of(*address)))
        {
            log_event(
                log_level::warning, "entry_unreadable",
                {{"entry", entry.name_}, {"version", entry.version_.value()}});
            continue;
        }
        hosts.push_back(host_of(*address));
    }
    return hosts;
}

std::vector<data_centre>
data_centres_of(const std::vector<platform_object>& entries)
{
    std::vector<data_centre> data_centres;
    for (const platform_object& entry : entries)
    {
        const json value = json::parse(entry.value_, nullptr, false);
        if (value.is_object() && value.contains(data_centre_field) &&
            value[data_centre_field].is_string())
        {
            data_centres.emplace_back(
                value[data_centre_field].get<std::string>());
        }
    }
    return data_centres;
}

tl::expected<start_settings, exit_code>
read_pass_settings(int argc, const char* const* argv, const char* program,
                   const char* summary,
                   const std::vector<percent_option>& options)
{
    const char* path = std::getenv(platform_adapter::settings_variable);
    const auto arguments = parse_command_line(
        argc, argv, program, summary, options, path != nullptr ? path : "");
    if (!arguments)
    {
        return tl::unexpected(arguments.error());
    }
    configure_log(log_level::info, program);
    const auto text = read_text_file(arguments->config_path_);
    if (!text)
    {
        print_error(text.error().message_);
        return tl::unexpected(exit_code::bad_settings);
    }
    auto settings = platform_adapter::parse_instance_settings(*text);
    if (!settings)
    {
        print_error(settings.error().message_);
        return tl::unexpected(exit_code::bad_settings);
    }
    if (arguments->check_only_)
    {
        return tl::unexpected(exit_code::success);
    }
    return start_settings{std::move(*settings), arguments->percents_};
}

} // namespace galenafork
