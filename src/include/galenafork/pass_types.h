/// \file
/// Passthrough flows: connections whose bytes belong to the caller and the
/// upstream alone. Balancers and agents pass segments on unchanged and decide
/// by their headers only. An upstream answers callers directly through its
/// agent; balancers see the callers' direction only.

#ifndef GALENAFORK_PASS_TYPES_H
#define GALENAFORK_PASS_TYPES_H

#include <galenafork/endpoint.h>
#include <galenafork/flow.h>
#include <galenafork/ids.h>
#include <galenafork/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenafork
{

/// IPv4 address of an instance that runs a program of the system. Ports are
/// the same on all instances, so this names a peer.
using host_address = strong_type<struct host_address_tag, std::uint32_t>;

/// Number of a version of the rules as the operator counts them; grows, not
/// always by one.
using pass_rules_version =
    strong_type<struct config_version_tag, std::uint64_t>;

/// When an upstream's process started, in milliseconds of Unix time by its own
/// clock: tells its lives apart.
using start_time_ms = strong_type<struct start_stamp_tag, std::uint64_t>;

/// The IPv4 address of `e` as a peer's name.
host_address host_of(const endpoint& e);

/// The endpoint of `host` at `port`.
endpoint at_port(host_address host, std::uint16_t port);

/// The dotted form.
std::string to_string(host_address host);

/// Bytes of one datagram; valid while the buffer behind it is.
struct byte_view
{
    const std::uint8_t* data_ = nullptr;
    std::size_t size_ = 0;
};

/// Header of one segment of a passthrough flow.
struct segment_header
{
    /// The same in both directions.
    flow_key flow_;
    bool opens_ = false;
    bool acknowledges_ = false;
    bool finishes_ = false;
    bool resets_ = false;
    /// The upstream would not take it and handed it back.
    bool bounced_ = false;
    /// Times that an agent has sent it on to another.
    std::uint8_t hops_ = 0;
    std::uint32_t sequence_ = 0;
    /// Next sequence number that the sender expects; on a caller's opening
    /// segment the number of copies sent before.
    std::uint32_t ack_number_ = 0;
    std::uint16_t data_bytes_ = 0;
};

/// What a rule allows callers to expect of a service.
struct pass_service_weight
{
    service_name service_;
    std::uint32_t weight_ = 1;
};

/// One rule: where the flows to an address go.
struct pass_rule
{
    std::string name_;
    std::vector<pass_service_weight> services_;
    /// Callers may repeat these requests without harm.
    bool idempotent_ = true;
    /// 0 is the most important.
    std::uint8_t priority_ = 0;
    /// Answers within this time are worth their full credit.
    duration latency_target_{0};
    duration timeout_{0};
};

/// All rules of one version.
struct pass_rules
{
    pass_rules_version version_;
    std::map<endpoint, pass_rule> rules_;
    /// Flows idle for longer may be forgotten.
    duration idle_timeout_{0};
};

/// The service that `rule` sends `flow` to; the same on every balancer.
const service_name& service_for(const pass_rule& rule, const flow_key& flow);

/// What an upstream is doing by its own account.
enum class upstream_state : std::uint8_t
{
    /// Not heard of since the agent started.
    unknown,
    ready,
    draining,
    /// It said goodbye, or is known to be dead.
    gone,
};

/// `unknown`, `ready`, `draining` or `gone`.
const char* to_string(upstream_state state);

/// One report of an upstream about itself.
struct upstream_report
{
    instance_id instance_;
    service_name service_;
    endpoint address_;
    data_centre data_centre_;
    slot_count slots_{1};
    upstream_state state_ = upstream_state::unknown;
    /// How much longer it works slowly after its start.
    duration cold_remaining_{0};
    /// Grows with each report of one life.
    std::uint64_t sequence_ = 0;
    start_time_ms started_;
    /// `started_` on the agent's clock, as computed when the report arrived.
    instant started_monotonic_{};
};

} // namespace galenafork

#endif
