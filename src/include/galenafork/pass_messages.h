/// \file
/// Messages between the balancers and agents of passthrough flows, one per
/// datagram. Segments of open flows are sent without a message around them.

#ifndef GALENAFORK_PASS_MESSAGES_H
#define GALENAFORK_PASS_MESSAGES_H

#include <galenafork/error.h>
#include <galenafork/pass_types.h>

#include <tl/expected.hpp>
#include <variant>

namespace galenafork
{

/// Load of an agent at the time when it forwarded an opening segment.
struct agent_visit
{
    host_address host_;
    /// Requests in flight and queued opening segments per slot.
    double backlog_ = 0;
};

/// An opening segment on its way to an agent that can offer it to its upstream.
/// An agent without a free slot forwards it to the next candidate.
struct place_message
{
    std::vector<std::uint8_t> packet_;
    service_name service_;
    /// Version of the rules that chose the service.
    pass_rules_version version_;
    host_address balancer_;
    /// Agents that have not been tried yet, best first.
    std::vector<host_address> candidates_;
    /// Agents that could not offer the segment, with their load.
    std::vector<agent_visit> visits_;
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
    /// All candidates have been tried: the receiver offers, queues or refuses
    /// the segment and does not forward it.
    bool candidates_exhausted_ = false;
    /// Time since the first transmission of the segment reached a balancer.
    duration age_{0};
    /// The rule's latency target.
    duration latency_target_{0};
    /// The agent that an earlier transmission was sent to, if the balancer has
    /// chosen another agent since; zero for none.
    host_address earlier_agent_;
};

/// Report of a flow's owner from an agent to a balancer. Sent because the flow
/// is not where the balancer sent it, or as the answer to a `locate_message`.
struct flow_owner_message
{
    flow_key flow_;
    /// Zero if the sender does not have the flow.
    host_address owner_;
    /// The opening segment is queued at the owner.
    bool queued_ = false;
    /// Set only if `owner_` is zero.
    host_address sender_ = {};
};

/// A segment of a flow whose owner the sender does not know. A balancer sends
/// it to agents to find the owner, which sends the segment to its upstream and
/// answers with a `flow_owner_message`. An agent uses the same message to
/// return a segment of a flow that it does not have.
struct locate_message
{
    std::vector<std::uint8_t> packet_;
    /// The sender: the searching balancer or the returning agent.
    host_address balancer_;
};

/// Status of an agent and its upstream; sent to each balancer from which the
/// agent receives hello messages.
struct status_message
{
    host_address host_;
    instance_id instance_;
    service_name service_;
    data_centre data_centre_;
    start_time_ms started_;
    upstream_state state_ = upstream_state::unknown;
    /// The agent accepts opening segments.
    bool accepting_ = false;
    slot_count slots_{1};
    /// Requests in flight at the upstream.
    std::uint32_t in_flight_ = 0;
    /// Queued opening segments.
    std::uint32_t queued_ = 0;
    duration cold_remaining_{0};
    /// Smoothed service time of a request at the upstream; zero if unknown.
    duration service_time_{0};
};

/// Announces that a balancer is running: to agents, which then send it their
/// status, and to its peers.
struct hello_message
{
    host_address host_;
    pass_rules_version version_;
    /// Number of agents known to the balancer, from which agents derive the
    /// interval of their status messages.
    std::uint32_t agents_ = 0;
    bool leaving_ = false;
};

using pass_message =
    std::variant<place_message, flow_owner_message, locate_message,
                 status_message, hello_message>;

/// Returns the datagram for `message`.
std::vector<std::uint8_t> encode(const pass_message& message);

/// Parses a datagram, which must be aligned to 8 bytes. Fails with
/// `bad_message` if it is not a valid message.
tl::expected<pass_message, error> decode_pass_message(byte_view bytes);

} // namespace galenafork

#endif
