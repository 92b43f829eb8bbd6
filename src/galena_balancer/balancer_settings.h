/// \file
/// Settings of galena-balancer.

#ifndef GALENAFORK_GALENA_BALANCER_BALANCER_SETTINGS_H
#define GALENAFORK_GALENA_BALANCER_BALANCER_SETTINGS_H

#include <galenafork/control_loop.h>
#include <galenafork/log.h>
#include <galenafork/platform_client.h>
#include <galenafork/relay.h>
#include <galenafork/settings.h>
#include <galenafork/trace_export.h>

namespace galenafork
{

/// Where packets come and go.
struct packet_settings
{
    /// UDP, from the fabric, behind PROXY v2 headers.
    endpoint fabric_endpoint_;
    /// UDP, to agents and for their notices.
    endpoint agent_endpoint_;
    /// Where agents send answers; unset: to the source of each packet.
    endpoint answer_endpoint_;
    std::uint64_t threads_ = 1;
};

/// How this balancer learns from others.
struct gossip_settings
{
    /// RPC addresses of some other balancers, to begin with.
    std::vector<endpoint> seeds_;
    /// Between two exchanges with a random peer.
    duration exchange_interval_ = std::chrono::seconds(1);
    relay_settings relay_;
};

/// A relay watches every roster: that takes more calls than other processes
/// need.
inline platform_settings default_platform()
{
    constexpr double calls_per_second = 100;
    constexpr double calls_burst = 200;
    platform_settings s;
    s.call_rate_ = {calls_per_second, calls_burst};
    return s;
}

/// All settings of galena-balancer.
struct balancer_settings
{
    instance_id instance_;
    data_centre data_centre_;
    std::string log_level_ = "info";
    /// After SIGTERM: how long it goes on forwarding while unready.
    duration drain_time_ = std::chrono::seconds(5);
    control_addresses control_;
    packet_settings packets_;
    gossip_settings spread_;
    platform_settings platform_ = default_platform();
    trace_settings traces_;
};

/// Reads all settings.
void read_settings(settings_section& top, balancer_settings& s);

/// The level that `log_level` names.
log_level level_of(const balancer_settings& s);

} // namespace galenafork

#endif
