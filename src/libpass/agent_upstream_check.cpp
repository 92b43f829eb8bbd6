/// \file
/// An agent's decisions about whether the process of its upstream is running.
/// docs/design/flow-ownership.md says what counts as proof before a reset.

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

// Returns whether segments have been unanswered for so long that the upstream
// may have ended.
bool is_overdue(const pass_agent_state& state, instant now)
{
    const upstream_check_state& check = state.check_;
    return check.unanswered_since_ &&
           now - *check.unanswered_since_ >= state.settings_.check_after_ &&
           now - check.last_sent_at_ < state.settings_.check_idle_after_;
}

// Returns whether the upstream is about to end. It may have closed its
// listening socket before its open flows have ended.
bool is_draining(const pass_agent_state& state)
{
    return state.upstream_.state_ == upstream_state::draining;
}

// Returns the time of the last segment by which an upstream can have got the
// flow, or has shown that it has it. Data of a caller is none: an upstream that
// started after the flow was opened returns it. Callers retransmit after 200
// ms, often during a check, and their flows would outlast it by half a second.
instant last_evidence_time(const agent_flow& flow)
{
    const instant last = std::max(flow.offered_at_, flow.upstream_sent_at_);
    // While the flow is opening, the caller's segments are retransmissions of
    // its opening segment.
    return flow.phase_ == pass_phase::opening
               ? std::max(last, flow.last_active_)
               : last;
}

// Sends the opening segments that an upstream left unanswered until
// `checked_at` to other agents. The callers then need no further attempt.
void reroute_unanswered(pass_agent_state& state, instant checked_at,
                        instant now, pass_actions& out)
{
    for (auto& [key, flow] : state.flows_)
    {
        if (flow.phase_ == pass_phase::opening && !flow.upstream_sequence_ &&
            last_evidence_time(flow) < checked_at)
        {
            pvt::set_occupies_slot(state, flow, false);
            pvt::reroute_opening(state, key, flow, "upstream_absent", now, out);
        }
    }
}

// Removes from the unanswered segments those sent before the check, which no
// upstream will answer.
void forget_unanswered_before(upstream_check_state& check, instant checked_at)
{
    if (!check.unanswered_since_)
    {
        return;
    }
    if (check.last_sent_at_ < checked_at)
    {
        check.unanswered_since_.reset();
        return;
    }
    check.unanswered_since_ = std::max(*check.unanswered_since_, checked_at);
}

// Returns why a refused connection does not show that no upstream is running,
// or null if it does.
const char* doubt_about_refusal(const pass_agent_state& state)
{
    if (state.upstream_.state_ == upstream_state::unknown)
    {
        // The platform ends an instance's agent after its upstream.
        const bool proven = state.shutting_down_ ||
                            state.check_.refusals_without_report_ >=
                                state.settings_.refusals_without_report_;
        return proven && state.settings_.upstream_accepts_connections_
                   ? nullptr
                   : "no_report";
    }
    if (!state.check_.refusal_is_proof_)
    {
        return "never_accepted";
    }
    return is_draining(state) ? "upstream_draining" : nullptr;
}

duration age_of(instant since, instant now)
{
    return std::chrono::duration_cast<duration>(now - since);
}

} // namespace

namespace pvt
{

void await_upstream(pass_agent_state& state, instant now)
{
    upstream_check_state& check = state.check_;
    check.last_sent_at_ = now;
    if (!check.unanswered_since_)
    {
        check.unanswered_since_ = now;
    }
}

void note_report_for_checks(pass_agent_state& state, bool is_new_incarnation)
{
    if (is_new_incarnation)
    {
        // It may report before it listens.
        state.check_.refusal_is_proof_ = false;
        state.check_.unproven_requested_ = false;
    }
    else if (state.check_.absent_)
    {
        // Either the upstream runs although it refused a connection, or this
        // report was late. The next check shows it.
        state.check_.refusal_is_proof_ = false;
        state.saw_upstream_start_ = false;
    }
    state.check_.absent_ = false;
}

} // namespace pvt

const char* to_string(upstream_check_reason reason)
{
    switch (reason)
    {
    case upstream_check_reason::unanswered:
        return "unanswered";
    case upstream_check_reason::unproven:
        return "unproven";
    case upstream_check_reason::unreported:
        return "unreported";
    case upstream_check_reason::leaving:
        break;
    }
    return "leaving";
}

bool needs_upstream_check(const pass_agent_state& state, instant now)
{
    const upstream_check_state& check = state.check_;
    if (state.upstream_.state_ == upstream_state::unknown)
    {
        // Load pattern: after a loss of power some upstreams do not come back,
        // and all searches wait for what their agents know.
        return state.settings_.upstream_accepts_connections_ &&
               !check.absent_ &&
               (!check.requested_at_ ||
                now - *check.requested_at_ >= state.settings_.check_after_);
    }
    if (is_draining(state))
    {
        return false;
    }
    if (check.refusal_is_proof_)
    {
        return is_overdue(state, now) &&
               (!check.requested_at_ ||
                now - *check.requested_at_ >= state.settings_.check_interval_);
    }
    const duration interval = check.unproven_requested_
                                  ? state.settings_.unproven_check_interval_
                                  : state.settings_.check_interval_;
    return !check.requested_at_ ||
           (now - *check.requested_at_ >= interval &&
            state.last_report_at_ > *check.requested_at_);
}

std::optional<upstream_check_request>
request_upstream_check(pass_agent_state& state, instant now)
{
    if (!needs_upstream_check(state, now))
    {
        return std::nullopt;
    }
    upstream_check_state& check = state.check_;
    check.requested_at_ = now;
    if (state.upstream_.state_ == upstream_state::unknown)
    {
        return upstream_check_request{upstream_check_reason::unreported,
                                      age_of(state.started_at_, now)};
    }
    check.unproven_requested_ = !check.refusal_is_proof_;
    return upstream_check_request{
        check.refusal_is_proof_ ? upstream_check_reason::unanswered
                                : upstream_check_reason::unproven,
        check.unanswered_since_ ? age_of(*check.unanswered_since_, now)
                                : duration(0)};
}

void apply_upstream_check(pass_agent_state& state, upstream_presence presence,
                          instant checked_at, instant now, pass_actions& out)
{
    switch (presence)
    {
    case upstream_presence::present:
        state.check_.refusal_is_proof_ = true;
        state.check_.refusals_without_report_ = 0;
        return;
    case upstream_presence::unknown:
        state.check_.refusals_without_report_ = 0;
        return;
    case upstream_presence::absent:
        break;
    }
    if (state.upstream_.state_ == upstream_state::unknown)
    {
        ++state.check_.refusals_without_report_;
    }
    const char* doubt = doubt_about_refusal(state);
    if (doubt == nullptr)
    {
        note_upstream_absent(state, checked_at, now, out);
        return;
    }
    if (is_overdue(state, now) || state.shutting_down_)
    {
        pvt::add_upstream_decision(out, state, "upstream_check_ignored", doubt,
                                   age_of(checked_at, now));
    }
}

void note_upstream_absent(pass_agent_state& state, instant checked_at,
                          instant now, pass_actions& out)
{
    const bool was_absent = state.check_.absent_;
    state.check_.absent_ = true;
    // The agent has been running since the check, so it sees every flow that an
    // upstream opens after it.
    state.saw_upstream_start_ = true;
    if (!was_absent)
    {
        state.status_changed_ = true;
        pvt::add_upstream_decision(out, state, "upstream_absent",
                                   "connection_refused",
                                   age_of(checked_at, now));
    }
    if (state.shutting_down_ && state.upstream_.state_ != upstream_state::gone)
    {
        state.upstream_.state_ = upstream_state::gone;
        state.status_changed_ = true;
        pvt::add_upstream_decision(out, state, "upstream_state", "gone");
    }
    reroute_unanswered(state, checked_at, now, out);
    pvt::end_flows(state, checked_at, last_evidence_time, now, out);
    forget_unanswered_before(state.check_, checked_at);
    pvt::reroute_queued(state, now, out);
}

} // namespace galenafork
