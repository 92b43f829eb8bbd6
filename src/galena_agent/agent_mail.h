/// \file
/// What the control thread and the traffic thread of an agent tell each other.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_MAIL_H
#define GALENAFORK_GALENA_AGENT_AGENT_MAIL_H

#include <galenafork/agent_core.h>

#include <variant>

namespace galenafork
{

/// Control to traffic: this incarnation has joined; begin.
struct begin_life
{
    instance_incarnation self_;
    roster first_;
    /// When the joining write was sent.
    instant joined_;
};

/// Control to traffic: a roster was read.
using traffic_mail = std::variant<begin_life, roster>;

/// Traffic to control: how the agent stands, about once a second and whenever
/// it may leave.
struct agent_report
{
    /// Of this life; a roster may renew the incarnation.
    incarnation incarnation_;
    epoch epoch_;
    bool holds_lease_ = false;
    /// The roster lets this agent open flows.
    bool serving_ = false;
    bool fenced_ = false;
    /// The traffic thread knows that this agent drains, and no flow and no
    /// request of its own is left.
    bool may_leave_ = false;
    /// First among the live members: the one that watches the platform.
    bool is_first_ = false;
    std::size_t flows_ = 0;
    std::size_t homes_ = 0;
    std::size_t open_homes_ = 0;
    std::size_t journal_entries_ = 0;
    std::uint32_t in_flight_ = 0;
};

/// Traffic to control.
using control_mail =
    std::variant<fetch_roster, request_removal, rejoin_service, agent_report>;

} // namespace galenafork

#endif
