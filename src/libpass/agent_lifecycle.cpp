/// \file
/// An agent's decisions about the lifecycle of its upstream (reports, timeouts,
/// restart, deregistration) and about its own shutdown.

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::add_decision;
using pvt::add_upstream_decision;
using pvt::set_occupies_slot;
using pvt::set_phase;

bool is_outdated(const upstream_report& current, const upstream_report& report)
{
    if (current.state_ == upstream_state::unknown)
    {
        return false;
    }
    if (report.started_ != current.started_)
    {
        return report.started_ < current.started_;
    }
    return report.instance_ == current.instance_ &&
           report.sequence_ <= current.sequence_;
}

bool is_new_incarnation(const upstream_report& current,
                        const upstream_report& report)
{
    return current.state_ != upstream_state::unknown &&
           (report.started_ != current.started_ ||
            report.instance_ != current.instance_);
}

// Returns when the upstream last got the opening segment or sent a segment of
// the flow. After a restart the new incarnation may have the flow from a
// retransmission of the opening segment.
instant last_upstream_activity(const agent_flow& flow)
{
    return std::max(flow.offered_at_, flow.upstream_sent_at_);
}

// Returns whether the upstream is known to have had the flow or to have got its
// opening segment. An adopted flow of which it has sent nothing may be at
// another upstream.
bool was_at_upstream(const agent_flow& flow)
{
    return flow.phase_ == pass_phase::opening ||
           flow.upstream_sent_at_ != instant();
}

duration retention_of(const pass_agent_settings& settings, pass_phase phase)
{
    switch (phase)
    {
    case pass_phase::ended:
    case pass_phase::refused:
        return settings.flow_linger_;
    case pass_phase::moved:
        return settings.moved_linger_;
    case pass_phase::unknown_to_upstream:
        return settings.unknown_flow_retention_;
    case pass_phase::queued:
    case pass_phase::opening:
    case pass_phase::open:
        break;
    }
    return settings.flow_lifetime_;
}

bool is_expired(const pass_agent_state& state, const agent_flow& flow,
                instant now)
{
    return now - flow.last_active_ > retention_of(state.settings_, flow.phase_);
}

// Handles the timeouts of a flow that is opening. Unanswered opening segments
// reveal a crash of the upstream; a report that shows its restart can arrive
// seconds later or never.
void check_opening(pass_agent_state& state, const flow_key& key,
                   agent_flow& flow, instant now, pass_actions& out)
{
    const duration waited =
        std::chrono::duration_cast<duration>(now - flow.phase_since_);
    if (!flow.upstream_sequence_ && waited > state.settings_.opening_timeout_)
    {
        set_occupies_slot(state, flow, false);
        ++state.unanswered_openings_;
        add_decision(out, state, key, flow, "opening_unanswered", "", now,
                     true);
        set_phase(flow, pass_phase::ended, now);
        if (!state.upstream_suspected_ &&
            state.unanswered_openings_ >=
                state.settings_.max_unanswered_openings_)
        {
            state.upstream_suspected_ = true;
            state.status_changed_ = true;
            add_upstream_decision(out, state, "upstream_suspect",
                                  "openings_unanswered");
        }
        pvt::reroute_opening(state, key, flow, "unanswered", now, out);
        return;
    }
    if (flow.upstream_sequence_ && waited > state.settings_.handshake_timeout_)
    {
        // The caller has accepted another upstream's answer or none, or its
        // next segment is delayed at a balancer.
        if (flow.occupies_slot_)
        {
            pvt::update_average(state.handshake_time_,
                                state.settings_.handshake_timeout_);
        }
        set_occupies_slot(state, flow, false);
    }
}

// Refuses queued segments whose caller is about to abandon its attempt.
void check_queue(pass_agent_state& state, instant now, pass_actions& out)
{
    const std::vector<flow_key> keys = state.queue_;
    for (const flow_key& key : keys)
    {
        agent_flow& flow = state.flows_.at(key);
        if (now - flow.attempt_started_at_ >
            state.settings_.caller_attempt_timeout_)
        {
            pvt::remove_from_queue(state, key);
            pvt::refuse(state, key, flow, "waited_too_long", now, out);
        }
    }
}

} // namespace

namespace pvt
{

void end_flows(pass_agent_state& state, instant since,
               activity_time last_activity, instant now, pass_actions& out)
{
    for (auto& [key, flow] : state.flows_)
    {
        const bool may_be_open = flow.phase_ == pass_phase::opening ||
                                 flow.phase_ == pass_phase::open;
        if (!may_be_open || last_activity(flow) >= since)
        {
            continue;
        }
        set_occupies_slot(state, flow, false);
        if (!was_at_upstream(flow))
        {
            set_phase(flow, pass_phase::unknown_to_upstream, now);
            continue;
        }
        out.send_reset(key, flow.caller_expected_sequence_);
        add_decision(out, state, key, flow, "reset", "upstream_ended", now,
                     true);
        flow.upstream_ended_ = flow.upstream_sequence_.has_value();
        set_phase(flow, pass_phase::ended, now);
    }
}

} // namespace pvt

pass_agent_state new_pass_agent(const pass_agent_settings& settings,
                                instant now)
{
    pass_agent_state state;
    state.settings_ = settings;
    state.started_at_ = now;
    state.service_time_ = settings.initial_service_time_;
    state.handshake_time_ = settings.round_trip_;
    return state;
}

bool accepts_new_flows(const pass_agent_state& state, instant now)
{
    return state.upstream_.state_ == upstream_state::ready &&
           !state.shutting_down_ && !state.upstream_suspected_ &&
           !pvt::is_evacuated(state) && !state.check_.absent_ &&
           now - state.last_report_at_ < state.settings_.report_timeout_;
}

report_outcome apply_report(pass_agent_state& state,
                            const upstream_report& report, instant now,
                            pass_actions& out)
{
    if (is_outdated(state.upstream_, report))
    {
        add_upstream_decision(out, state, "report_outdated", "");
        return report_outcome::outdated;
    }
    // An upstream that was absent before the first report has started since.
    const bool new_incarnation =
        is_new_incarnation(state.upstream_, report) ||
        (state.upstream_.state_ == upstream_state::unknown &&
         state.check_.absent_);
    if (new_incarnation)
    {
        add_upstream_decision(out, state, "upstream_new_life", "");
        pvt::end_flows(
            state, report.started_monotonic_ - state.settings_.restart_margin_,
            last_upstream_activity, now, out);
        // A report of the earlier incarnation can arrive late, at an agent that
        // started after the new one. An upstream that was absent started later
        // than the agent, whatever the clocks say.
        state.saw_upstream_start_ =
            report.started_monotonic_ >= state.started_at_ ||
            state.check_.absent_;
        state.upstream_suspected_ = false;
        state.unanswered_openings_ = 0;
        state.service_time_ = state.settings_.initial_service_time_;
    }
    // A report can't end an evacuation, so the status of an evacuated agent
    // does not change with each report.
    const bool changed =
        state.upstream_.state_ != report.state_ ||
        state.upstream_.started_ != report.started_ ||
        (!accepts_new_flows(state, now) && !pvt::is_evacuated(state));
    state.upstream_ = report;
    state.last_report_at_ = now;
    pvt::note_report_for_checks(state, new_incarnation);
    if (state.upstream_suspected_)
    {
        // The report shows that the upstream is running. The next opening
        // segments show whether it also answers.
        state.upstream_suspected_ = false;
        state.unanswered_openings_ = 0;
    }
    state.upstream_cold_until_ = now + report.cold_remaining_;
    if (changed)
    {
        state.status_changed_ = true;
        add_upstream_decision(out, state, "upstream_state",
                              to_string(report.state_));
    }
    if (!accepts_new_flows(state, now))
    {
        pvt::reroute_queued(state, now, out);
    }
    pvt::offer_queued(state, now, out);
    return report_outcome::applied;
}

void handle_deregistration(pass_agent_state& state, const instance_id& instance,
                           instant now, pass_actions& out)
{
    if (instance != state.upstream_.instance_)
    {
        return;
    }
    state.upstream_.state_ = upstream_state::gone;
    state.status_changed_ = true;
    add_upstream_decision(out, state, "upstream_state", "gone");
    pvt::reroute_queued(state, now, out);
}

void begin_shutdown(pass_agent_state& state, instant now, pass_actions& out)
{
    state.shutting_down_ = true;
    state.status_changed_ = true;
    add_upstream_decision(out, state, "leaving", "");
    pvt::reroute_queued(state, now, out);
}

bool is_idle(const pass_agent_state& state, instant now)
{
    return std::none_of(
        state.flows_.begin(), state.flows_.end(),
        [&](const auto& entry)
        {
            const agent_flow& flow = entry.second;
            const bool in_use = flow.phase_ == pass_phase::opening ||
                                flow.phase_ == pass_phase::open;
            return flow.phase_ == pass_phase::queued ||
                   (in_use && now - flow.last_active_ <=
                                  state.settings_.drain_idle_timeout_);
        });
}

void handle_tick(pass_agent_state& state, instant now, pass_actions& out)
{
    pvt::note_attention(state, now);
    for (auto it = state.flows_.begin(); it != state.flows_.end();)
    {
        agent_flow& flow = it->second;
        if (flow.phase_ == pass_phase::opening)
        {
            check_opening(state, it->first, flow, now, out);
        }
        if (flow.phase_ != pass_phase::queued && is_expired(state, flow, now))
        {
            set_occupies_slot(state, flow, false);
            it = state.flows_.erase(it);
            continue;
        }
        ++it;
    }
    check_queue(state, now, out);
    pvt::end_expired_relays(state, now, out);
    if (!state.queue_.empty() && !accepts_new_flows(state, now))
    {
        pvt::reroute_queued(state, now, out);
    }
    pvt::offer_queued(state, now, out);
}

} // namespace galenafork
