/// \file
/// Messages between the balancers and agents of passthrough flows, one a
/// datagram. Segments of open flows travel bare.

#ifndef GALENAFORK_PASS_MESSAGES_H
#define GALENAFORK_PASS_MESSAGES_H

#include <galenafork/error.h>
#include <galenafork/pass_types.h>

#include <tl/expected.hpp>
#include <variant>

namespace galenafork
{

/// How loaded an agent was when it passed an opening segment on.
struct agent_visit
{
    host_address host_;
    /// Requests that its upstream runs or that wait there, over its slots.
    double backlog_ = 0;
};

/// An opening segment on its way to the agent that takes it. An agent without
/// a free slot passes it on to the next candidate.
struct place_message
{
    std::vector<std::uint8_t> packet_;
    service_name service_;
    /// Version of the rules that chose the service.
    pass_rules_version version_;
    host_address balancer_;
    /// Agents not yet asked, best first.
    std::vector<host_address> candidates_;
    std::vector<agent_visit> visits_;
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
    /// All candidates are full: the receiver holds the segment or refuses it.
    bool candidates_exhausted_ = false;
    /// Time since the first copy came to the balancer.
    duration age_{0};
    /// The rule's latency target.
    duration latency_target_{0};
    /// The agent that an earlier copy went to; zero for none.
    host_address earlier_agent_;
};

/// An agent tells the balancer that a flow is not where the balancer sent it.
struct flow_owner_message
{
    flow_key flow_;
    host_address owner_;
    /// The opening segment waits there for a slot.
    bool queued_ = false;
    /// Who says so.
    host_address sender_ = {};
};

/// A balancer that does not know a flow's owner asks agents: the owner passes
/// the segment on to its upstream and answers with `flow_owner_message`.
struct locate_message
{
    std::vector<std::uint8_t> packet_;
    host_address balancer_;
};

/// What an agent tells of its upstream; sent to each balancer that says hello.
struct status_message
{
    host_address host_;
    instance_id instance_;
    service_name service_;
    data_centre data_centre_;
    start_time_ms started_;
    upstream_state state_ = upstream_state::unknown;
    /// The agent takes opening segments.
    bool accepting_ = false;
    slot_count slots_{1};
    std::uint32_t in_flight_ = 0;
    std::uint32_t queued_ = 0;
    duration cold_remaining_{0};
    /// Smoothed time of a request at the upstream; zero if not known.
    duration service_time_{0};
};

/// A balancer says that it lives: to agents, which then send their status, and
/// to its peers.
struct hello_message
{
    host_address host_;
    pass_rules_version version_;
    /// Agents that it knows, for their rate of reports.
    std::uint32_t agents_ = 0;
    bool leaving_ = false;
};

using pass_message =
    std::variant<place_message, flow_owner_message, locate_message,
                 status_message, hello_message>;

/// The datagram for `message`.
std::vector<std::uint8_t> encode(const pass_message& message);

/// Reads a datagram, which must be aligned to 8 bytes. Fails with
/// `bad_message`.
tl::expected<pass_message, error> decode_pass_message(byte_view bytes);

} // namespace galenafork

#endif
