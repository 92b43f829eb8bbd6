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

/// Addresses and threads of the packet path.
struct packet_settings
{
    /// Receives packets from the fabric (UDP), each with a PROXY v2 header.
    endpoint fabric_endpoint_;
    /// Sends packets to agents and receives their stale notices (UDP).
    endpoint agent_endpoint_;
    /// Where agents send answers. If unset, they send an answer to the source
    /// of the packet from the fabric.
    endpoint answer_endpoint_;
    std::uint64_t threads_ = 1;
};

/// How balancers replicate their state.
struct gossip_settings
{
    /// RPC addresses of other balancers to contact first.
    std::vector<endpoint> seeds_;
    /// Time between digest exchanges, each with a random peer.
    duration exchange_interval_ = std::chrono::seconds(1);
    relay_settings relay_;
};

/// Returns settings that allow more calls than other processes get, because a
/// relay watches many rosters.
inline platform_settings default_platform_settings()
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
    /// How long a draining balancer goes on forwarding packets while it reports
    /// that it is not ready.
    duration drain_time_ = std::chrono::seconds(5);
    control_addresses control_;
    packet_settings packets_;
    gossip_settings gossip_;
    platform_settings platform_ = default_platform_settings();
    trace_settings traces_;
};

/// Reads all settings; errors are added to `top`.
void read_settings(settings_section& top, balancer_settings& s);

/// Returns the level that `s.log_level_` names.
log_level level_of(const balancer_settings& s);

} // namespace galenafork

#endif
