/// \file
/// Messages between the control thread and the traffic thread of an agent.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_MESSAGES_H
#define GALENAFORK_GALENA_AGENT_AGENT_MESSAGES_H

#include <galenafork/agent_core.h>

#include <variant>

namespace galenafork
{

/// Starts an incarnation that has joined the roster. Replaces the state of any
/// earlier one.
struct start_incarnation
{
    instance_incarnation self_;
    /// A roster that contains this member.
    roster initial_roster_;
    /// When the write that added this member to the roster was sent.
    instant join_requested_at_;
};

/// Control thread to traffic thread; a roster is one that was read from the
/// platform.
using traffic_message = std::variant<start_incarnation, roster>;

/// State of the agent, sent by the traffic thread periodically and after each
/// batch of messages from the control thread.
struct agent_status
{
    /// Incarnation that the traffic thread runs; a roster may renew it.
    incarnation incarnation_;
    epoch epoch_;
    bool holds_lease_ = false;
    /// The roster lets this agent open flows.
    bool serving_ = false;
    bool fenced_ = false;
    /// The roster lists this agent as draining, and the agent owns no flow and
    /// no journal entry.
    bool may_leave_ = false;
    /// This agent has the lowest instance id of the live members and therefore
    /// watches the roster in the platform.
    bool follows_platform_ = false;
    std::size_t flows_ = 0;
    /// Buckets whose effective home is this agent.
    std::size_t homes_ = 0;
    /// Those of `homes_` whose directory is complete.
    std::size_t open_homes_ = 0;
    std::size_t journal_entries_ = 0;
    /// Requests in flight at the upstream.
    std::uint32_t in_flight_ = 0;
};

/// Traffic thread to control thread.
using control_message =
    std::variant<fetch_roster, request_removal, rejoin_service, agent_status>;

} // namespace galenafork

#endif
