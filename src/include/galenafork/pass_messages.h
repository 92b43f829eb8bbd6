/// \file
/// Messages between the balancers and agents of passthrough flows, one per
/// datagram. Segments of open flows are sent without a message around them.

#ifndef GALENAFORK_PASS_MESSAGES_H
#define GALENAFORK_PASS_MESSAGES_H

#include <galenafork/error.h>
#include <galenafork/pass_types.h>

#include <optional>
#include <tl/expected.hpp>
#include <variant>

namespace galenafork
{

/// Load of an agent at the time when it could not offer an opening segment.
struct agent_visit
{
    host_address host_;
    /// Requests in flight and queued opening segments per slot; higher than any
    /// real value if the upstream did not accept the segment.
    double backlog_ = 0;
};

/// An opening segment on its way to an agent that can offer it to its upstream.
/// An agent without a free slot forwards it to the next candidate.
struct place_message
{
    /// The bytes of the segment.
    std::vector<std::uint8_t> packet_;
    service_name service_;
    /// Version of the rules by which the service was selected.
    pass_rules_version version_;
    host_address balancer_;
    /// Agents that have not been tried yet, best first.
    std::vector<host_address> candidates_;
    /// Agents that were full or whose upstream did not accept the segment, with
    /// their load.
    std::vector<agent_visit> visits_;
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
    /// All candidates have been tried: the receiver offers, queues or refuses
    /// the segment and does not forward it.
    bool candidates_exhausted_ = false;
    /// Time since the caller's attempt to open the flow started, as estimated
    /// by the balancer.
    duration age_{0};
    /// The rule's latency target.
    duration latency_target_{0};
    /// The agent that an earlier transmission was sent to, if that agent timed
    /// out and the balancer chose another one, or if this is a hedge; zero
    /// otherwise.
    host_address earlier_agent_;
    /// Number of agents that have forwarded this transmission to where they had
    /// forwarded an earlier one.
    std::uint8_t forwards_ = 0;
    /// Requests a second that a cold upstream of the service can take; zero for
    /// no limit.
    double cold_rate_ = 0;
    /// A hedge: the agent of the first transmission may still open the flow, so
    /// an agent without a free slot forwards or drops the segment, neither
    /// queues nor refuses it, and keeps no record of the flow.
    bool hedged_ = false;
    /// The balancer may send or have sent a hedge, so two upstreams may answer
    /// the opening segment.
    bool hedgeable_ = false;
};

/// The owner of a flow, sent by an agent to a balancer because the flow is not
/// where the balancer sent it, or as the response to a `locate_message`.
struct flow_owner_message
{
    flow_key flow_;
    /// The agent that has the flow; zero if the sender does not have it or is
    /// undecided.
    host_address owner_;
    /// The opening segment is queued at the owner.
    bool queued_ = false;
    /// Zero in messages of earlier versions with an owner.
    host_address sender_ = {};
    /// The sender's upstream may have the flow from before the sender's start.
    bool undecided_ = false;
    /// The owner got the opening segment as a hedge.
    bool hedged_ = false;
};

/// A segment whose flow has no known owner. A balancer sends the message to
/// agents to find the owner, which sends the segment to its upstream and
/// responds with a `flow_owner_message`. An agent uses the same message to
/// return a segment of a flow that it does not have.
struct locate_message
{
    /// The bytes of the segment.
    std::vector<std::uint8_t> packet_;
    /// The searching balancer or the returning agent.
    host_address sender_;
    /// Agents that are undecided say so and do not ask their upstreams.
    bool tentative_ = false;
    /// Other agents that the receiver, the relay, asks on behalf of the sender.
    std::vector<host_address> group_ = {};
    /// The relay, which collects denials. Zero if the sender gets them itself.
    host_address relay_ = {};
};

/// A relay's summary of the responses of its group, itself included. The owner
/// of the flow responds to the searching balancer itself.
struct search_result_message
{
    flow_key flow_;
    host_address sender_;
    /// Agents that do not have the flow.
    std::vector<host_address> denied_;
    /// Agents whose upstreams may have the flow.
    std::vector<host_address> undecided_;
};

/// Status of an agent and its upstream. Balancers that have subscribed get it
/// periodically, those that probe get it once, and all get it when the agent
/// starts or stops accepting flows.
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
    /// A check has shown that no upstream is running, and the agent's process
    /// is ending or has had no report since its start.
    bool ended_ = false;
    /// Load that the idle open flows are expected to bring, in units of the
    /// upstream's slots.
    double expected_load_ = 0;
};

/// Announces that a balancer is running: to agents, which then send it their
/// status, and to its peers.
struct hello_message
{
    host_address host_;
    pass_rules_version version_;
    /// Number of agents on the balancer's list.
    std::uint32_t agents_ = 0;
    bool leaving_ = false;
    /// Time between two statuses that the balancer asks for; zero in messages
    /// of earlier versions.
    duration status_interval_{0};
    /// The agent is to respond with one status. Without this flag the balancer
    /// subscribes to periodic statuses.
    bool probe_ = false;
    /// The evacuations that the sender knows; `no_object_version` if it knows
    /// none.
    evacuation_state evacuations_ = {};
    /// Time since the beginning of a read of the store that found no rules
    /// newer than `version_`. The read may have been one of another balancer.
    /// Unset if there was none, and in messages of earlier versions.
    std::optional<duration> rules_read_age_ = {};
    /// The same for a read of the evacuations that found none later than
    /// `evacuations_`.
    std::optional<duration> evacuations_read_age_ = {};
};

using pass_message =
    std::variant<place_message, flow_owner_message, locate_message,
                 status_message, hello_message, search_result_message>;

/// Returns the datagram for `message`.
std::vector<std::uint8_t> encode(const pass_message& message);

/// Parses a datagram, which must be aligned to 8 bytes. Fails with
/// `bad_message` if it is not a valid message.
tl::expected<pass_message, error> decode_pass_message(byte_view bytes);

} // namespace galenafork

#endif
