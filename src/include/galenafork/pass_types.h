/// \file
/// Types for passthrough flows: connections whose content only the caller and
/// the upstream interpret. Balancers and agents forward segments unchanged and
/// decide by their headers only. An upstream answers callers directly through
/// its agent, so balancers see only the segments that callers send.

#ifndef GALENAFORK_PASS_TYPES_H
#define GALENAFORK_PASS_TYPES_H

#include <galenafork/endpoint.h>
#include <galenafork/flow.h>
#include <galenafork/ids.h>
#include <galenafork/object_version.h>
#include <galenafork/time.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace galenafork
{

/// IPv4 address of an instance that runs a balancer or an agent. Ports are the
/// same on all instances, so the address identifies a peer.
using host_address = strong_type<struct host_address_tag, std::uint32_t>;

/// Number of a version of the rules, assigned by the operator. It increases,
/// but not always by one.
using pass_rules_version =
    strong_type<struct pass_rules_version_tag, std::uint64_t>;

/// Start of a process in milliseconds of Unix time, by the clock of its
/// instance. Distinguishes the incarnations of an upstream.
using start_time_ms = strong_type<struct start_time_ms_tag, std::uint64_t>;

/// Returns the IPv4 address of `e`.
host_address host_of(const endpoint& e);

/// Returns the endpoint of `host` at `port`.
endpoint at_port(host_address host, std::uint16_t port);

/// Returns the address in dotted notation.
std::string to_string(host_address host);

/// View of the bytes of one datagram; valid as long as their buffer.
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
    /// The upstream did not accept the segment and returned it to its agent.
    bool bounced_ = false;
    /// Number of times that an agent has forwarded the segment to another.
    std::uint8_t hops_ = 0;
    std::uint32_t sequence_ = 0;
    /// Next sequence number that the sender expects. On a caller's opening
    /// segment: its retransmission count, zero on the first transmission.
    std::uint32_t ack_number_ = 0;
    std::uint16_t data_bytes_ = 0;
};

/// One of the services of a rule, and the weight of its portion of the flows.
struct pass_service_weight
{
    service_name service_;
    std::uint32_t weight_ = 1;
};

/// One rule: which services get the flows to an address.
struct pass_rule
{
    std::string name_;
    std::vector<pass_service_weight> services_;
    /// Callers can safely retry these requests.
    bool idempotent_ = true;
    /// 0 is the most important.
    std::uint8_t priority_ = 0;
    /// An answer within this time is in time; a later one is worth less.
    duration latency_target_{0};
    duration timeout_{0};
};

/// All rules of one version.
struct pass_rules
{
    pass_rules_version version_;
    std::map<endpoint, pass_rule> rules_;
    /// Flows that are idle for longer may be removed.
    duration idle_timeout_{0};
    /// Requests a second that a cold upstream of a service can take. Services
    /// without a limit have no entry.
    std::map<service_name, double> cold_rates_;
    /// Number of services whose limit is malformed and was ignored.
    std::size_t ignored_cold_rates_ = 0;
};

/// Returns the service that `rule` selects for `flow`; every balancer selects
/// the same one.
const service_name& service_for(const pass_rule& rule, const flow_key& flow);

/// Data centres whose upstreams get no new flows until the operator takes the
/// evacuation back.
struct evacuation_state
{
    /// Era and version of the store when the list was read. A later pair
    /// replaces an earlier one.
    store_era era_;
    object_version revision_ = no_object_version;
    std::vector<data_centre> data_centres_;
};

/// State of an upstream.
enum class upstream_state : std::uint8_t
{
    /// No report has arrived since the agent started.
    unknown,
    ready,
    draining,
    /// The upstream has deregistered.
    gone,
};

/// Returns `unknown`, `ready`, `draining` or `gone`.
const char* to_string(upstream_state state);

/// Result of a check whether a process listens at the upstream's address.
enum class upstream_presence : std::uint8_t
{
    /// The connection was refused: no process listens there.
    absent,
    /// The connection was accepted. The process may still be too slow to
    /// answer.
    present,
    /// The connection timed out or failed in another way.
    unknown,
};

/// Returns `absent`, `present` or `unknown`.
const char* to_string(upstream_presence presence);

/// One report of an upstream about itself.
struct upstream_report
{
    instance_id instance_;
    service_name service_;
    endpoint address_;
    data_centre data_centre_;
    slot_count slots_{1};
    upstream_state state_ = upstream_state::unknown;
    /// Remaining time in which the upstream is slow after its start.
    duration cold_remaining_{0};
    /// Increases with each report of one incarnation.
    std::uint64_t sequence_ = 0;
    start_time_ms started_;
    /// Start of the upstream's process on the agent's monotonic clock, computed
    /// when the report arrived.
    instant started_monotonic_{};
};

} // namespace galenafork

#endif
