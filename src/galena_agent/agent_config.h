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
    /// CoAP: the agent parses requests, records non-idempotent ones in its
    /// journal and answers refused ones with a verdict.
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
    /// Maximum time that a drain waits for the flows to end.
    duration drain_time_ = std::chrono::seconds(120);
    /// The upstream of this agent (UDP).
    endpoint upstream_;
    /// Where this agent receives datagrams from balancers and other agents
    /// (UDP). Published in the roster.
    endpoint packet_endpoint_;
    control_addresses control_;
    platform_settings platform_;
    agent_settings agent_settings_;
    load_settings load_;
    trace_settings traces_;
};

/// Reads all settings; errors are added to `top`.
void read_settings(settings_section& top, agent_config& config);

/// Returns the level that `config.log_level_` names.
log_level level_of(const agent_config& config);

} // namespace galenafork

#endif
