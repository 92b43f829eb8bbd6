/// \file
/// Settings of galena-agent.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_CONFIG_H
#define GALENAFORK_GALENA_AGENT_AGENT_CONFIG_H

#include <galenafork/agent_core.h>
#include <galenafork/control_loop.h>
#include <galenafork/load_settings.h>
#include <galenafork/log.h>
#include <galenafork/platform_client.h>
#include <galenafork/settings.h>
#include <galenafork/trace_export.h>

namespace galenafork
{

/// What the flows of this agent's service carry.
enum class flow_kind
{
    /// Opaque datagrams.
    udp,
    /// CoAP: requests are told apart, guarded and refused with a verdict.
    coap,
};

/// All settings of galena-agent.
struct agent_config
{
    service_name service_;
    instance_id instance_;
    data_centre data_centre_;
    slot_count slots_{1};
    flow_kind kind_ = flow_kind::coap;
    std::string log_level_ = "info";
    /// After SIGTERM: longest wait for the flows to end.
    duration drain_time_ = std::chrono::seconds(120);
    /// The upstream beside this agent (UDP).
    endpoint upstream_;
    /// Where balancers and other agents send to (UDP); announced to them.
    endpoint packets_;
    control_addresses control_;
    platform_settings platform_;
    agent_settings decisions_;
    load_settings load_;
    trace_settings traces_;
};

/// Reads all settings.
void read_settings(settings_section& top, agent_config& config);

/// The level that `log_level` names.
log_level level_of(const agent_config& config);

} // namespace galenafork

#endif
