/// \file
/// An agent's decisions about the segments of flows from callers and from its
/// upstream.

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::add_decision;
using pvt::max_sequence_distance;
using pvt::return_to_sender;
using pvt::set_occupies_slot;
using pvt::set_phase;
using pvt::track_caller;

// Returns whether `a` comes after `b`. Sequence numbers wrap around, so the
// shorter distance counts.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

void end_if_finished(pass_agent_state& state, agent_flow& flow, instant now)
{
    if (flow.caller_finished_ && flow.upstream_finished_)
    {
        set_occupies_slot(state, flow, false);
        flow.request_running_ = false;
        set_phase(flow, pass_phase::ended, now);
    }
}

} // namespace

namespace pvt
{

bool acknowledges_upstream(const agent_flow& flow, const segment_header& s)
{
    if (flow.place_.hedgeable_)
    {
        // Two upstreams may have answered. Their sequence numbers can be near
        // each other, so only the first segment after this one's answer counts.
        return flow.upstream_sequence_ &&
               s.ack_number_ == *flow.upstream_sequence_ + 1;
    }
    return !flow.upstream_sequence_ ||
           s.ack_number_ - *flow.upstream_sequence_ < max_sequence_distance;
}

bool accept_late_answer(agent_flow& flow, const segment_header& s, instant now)
{
    const bool accepted = flow.phase_ == pass_phase::moved &&
                          flow.upstream_sequence_ &&
                          acknowledges_upstream(flow, s);
    if (accepted)
    {
        set_phase(flow, pass_phase::opening, now);
    }
    return accepted;
}

void track_caller(pass_agent_state& state, agent_flow& flow,
                  const segment_header& s, instant now)
{
    if (flow.phase_ == pass_phase::opening)
    {
        pvt::update_average(state.handshake_time_,
                            std::min(std::chrono::duration_cast<duration>(
                                         now - flow.offered_at_),
                                     state.settings_.handshake_timeout_));
        set_phase(flow, pass_phase::open, now);
        set_occupies_slot(state, flow, true);
    }
    flow.caller_expected_sequence_ = s.ack_number_;
    if (s.data_bytes_ > 0)
    {
        await_upstream(state, now);
    }
    const std::uint32_t end = s.sequence_ + s.data_bytes_;
    // The first data of an adopted flow may be a repeat of a request that has
    // been answered, or belong to another upstream. It takes no slot, as
    // nothing would release it.
    const bool is_first_of_adopted = flow.adopted_ && !flow.has_data_end_;
    if (s.data_bytes_ > 0 &&
        (is_first_of_adopted || is_after(end, flow.data_end_)))
    {
        flow.data_end_ = end;
        flow.has_data_end_ = true;
        if (!flow.request_running_)
        {
            flow.request_running_ = true;
            flow.request_started_ = now;
        }
        if (!is_first_of_adopted)
        {
            set_occupies_slot(state, flow, true);
        }
    }
    flow.caller_finished_ |= s.finishes_;
    if (s.resets_)
    {
        set_occupies_slot(state, flow, false);
        flow.request_running_ = false;
        set_phase(flow, pass_phase::ended, now);
    }
    end_if_finished(state, flow, now);
}

void return_to_sender(byte_view bytes, host_address sender,
                      const pass_agent_state& state, pass_actions& out)
{
    if (sender == host_address())
    {
        return;
    }
    out.send_to_peer(sender,
                     locate_message{{bytes.data_, bytes.data_ + bytes.size_},
                                    state.settings_.host_,
                                    true});
}

void forward_to_new_agent(const pass_agent_state& state, agent_flow& flow,
                          const segment_header& s, byte_view bytes, instant now,
                          pass_actions& out)
{
    flow.last_active_ = now;
    if (s.hops_ >= max_hops)
    {
        add_decision(out, state, s.flow_, flow, "dropped", "too_many_hops", now,
                     true, flow.moved_to_);
        return;
    }
    out.send_to_agent(flow.moved_to_, bytes,
                      static_cast<std::uint8_t>(s.hops_ + 1));
}

} // namespace pvt

namespace
{

void handle_returned_opening(pass_agent_state& state, const segment_header& s,
                             instant now, pass_actions& out)
{
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end() || it->second.phase_ != pass_phase::opening ||
        it->second.opening_sequence_ != s.sequence_)
    {
        return;
    }
    agent_flow& flow = it->second;
    set_occupies_slot(state, flow, false);
    add_decision(out, state, s.flow_, flow, "bounced", "upstream_refused", now,
                 true);
    if (!pvt::reroute_opening(state, s.flow_, flow, "bounced", now, out))
    {
        pvt::refuse(state, s.flow_, flow, "bounced", now, out);
    }
}

void handle_returned_by_upstream(pass_agent_state& state,
                                 const segment_header& s, byte_view bytes,
                                 instant now, pass_actions& out)
{
    if (s.opens_)
    {
        handle_returned_opening(state, s, now, out);
        return;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end())
    {
        return;
    }
    agent_flow& flow = it->second;
    set_occupies_slot(state, flow, false);
    if (flow.upstream_answered_ && !flow.adopted_)
    {
        // The upstream has answered on this flow before and no longer has it,
        // so its process has ended since.
        add_decision(out, state, s.flow_, flow, "reset", "upstream_lost_flow",
                     now, true);
        out.send_reset(s.flow_, flow.caller_expected_sequence_);
        set_phase(flow, pass_phase::ended, now);
        return;
    }
    const host_address balancer = flow.place_.balancer_;
    add_decision(out, state, s.flow_, flow, "handed_back",
                 "unknown_to_upstream", now, true, balancer);
    set_phase(flow, pass_phase::unknown_to_upstream, now);
    if (flow.awaited_)
    {
        const host_address receiver = flow.awaited_->denial_receiver_;
        flow.awaited_.reset();
        pvt::respond_to_search(state, s.flow_, receiver, false, out);
        return;
    }
    return_to_sender(bytes, balancer, state, out);
}

// Returns whether the upstream sent the segment on an earlier flow with the
// same addresses and ports. Callers use ports again, and an upstream may send
// data of an old flow, late or once more, after the agent has a new one.
bool is_of_earlier_flow(const agent_flow& flow, const segment_header& s)
{
    if (s.opens_ || s.resets_ || flow.adopted_)
    {
        return false;
    }
    switch (flow.phase_)
    {
    case pass_phase::queued:
    case pass_phase::refused:
        return true;
    case pass_phase::opening:
    case pass_phase::open:
        return !flow.upstream_sequence_ ||
               s.sequence_ - *flow.upstream_sequence_ > max_sequence_distance;
    case pass_phase::ended:
    case pass_phase::moved:
    case pass_phase::unknown_to_upstream:
        break;
    }
    return false;
}

void track_upstream(pass_agent_state& state, agent_flow& flow,
                    const segment_header& s, instant now)
{
    flow.last_active_ = now;
    flow.upstream_sent_at_ = now;
    if (s.opens_)
    {
        if (flow.phase_ == pass_phase::ended && !flow.upstream_sequence_)
        {
            // The answer is late, but the caller may accept it.
            set_phase(flow, pass_phase::opening, now);
        }
        flow.upstream_sequence_ = s.sequence_;
        return;
    }
    flow.upstream_answered_ |= flow.phase_ == pass_phase::open;
    if (s.data_bytes_ > 0 && flow.request_running_)
    {
        flow.request_running_ = false;
        set_occupies_slot(state, flow, false);
        if (!flow.adopted_)
        {
            pvt::update_average(state.service_time_,
                                std::chrono::duration_cast<duration>(
                                    now - flow.request_started_));
        }
    }
    flow.upstream_finished_ |= s.finishes_;
    if (s.resets_)
    {
        flow.request_running_ = false;
        set_occupies_slot(state, flow, false);
        set_phase(flow, pass_phase::ended, now);
    }
    end_if_finished(state, flow, now);
}

// Returns whether the caller continues a flow that has ended with its upstream,
// while no other upstream is running that could return the segment.
bool is_reset_due(const pass_agent_state& state, const agent_flow& flow,
                  const segment_header& s)
{
    return state.check_.absent_ && flow.phase_ == pass_phase::ended &&
           flow.upstream_ended_ && !s.resets_ &&
           pvt::acknowledges_upstream(flow, s);
}

// Returns whether the caller continues the handshake with another upstream.
bool is_opened_elsewhere(const agent_flow& flow, const segment_header& s)
{
    switch (flow.phase_)
    {
    case pass_phase::queued:
    case pass_phase::refused:
        return true;
    case pass_phase::opening:
        return !pvt::acknowledges_upstream(flow, s);
    case pass_phase::ended:
        // A hedge that the upstream has left unanswered.
        return flow.place_.hedged_ && !flow.upstream_sequence_;
    case pass_phase::open:
    case pass_phase::moved:
    case pass_phase::unknown_to_upstream:
        break;
    }
    return false;
}

// Handles a segment of a flow that the caller has opened elsewhere: forwards it
// to the agent of the first transmission, or returns it if there is none.
void give_up_opening(pass_agent_state& state, const segment_header& s,
                     byte_view bytes, host_address sender, instant now,
                     pass_actions& out)
{
    const auto it = state.flows_.find(s.flow_);
    agent_flow& flow = it->second;
    set_occupies_slot(state, flow, false);
    pvt::remove_from_queue(state, s.flow_);
    const host_address earlier = flow.place_.earlier_agent_;
    add_decision(out, state, s.flow_, flow, "passed_on", "opened_elsewhere",
                 now, true, earlier);
    if (earlier != host_address())
    {
        flow.moved_to_ = earlier;
        set_phase(flow, pass_phase::moved, now);
        out.send_to_agent(earlier, bytes);
        out.send_to_peer(sender, flow_owner_message{s.flow_, earlier, false,
                                                    state.settings_.host_});
    }
    else
    {
        state.flows_.erase(it);
        return_to_sender(bytes, sender, state, out);
    }
    pvt::offer_queued(state, now, out);
}

} // namespace

void handle_caller_segment(pass_agent_state& state, const segment_header& s,
                           byte_view bytes, host_address sender, instant now,
                           pass_actions& out)
{
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end())
    {
        if (!pvt::saw_all_flows(state, now))
        {
            pvt::adopt(state, s, bytes, sender, now, out);
            return;
        }
        return_to_sender(bytes, sender, state, out);
        return;
    }
    agent_flow& flow = it->second;
    if (flow.phase_ == pass_phase::unknown_to_upstream)
    {
        return_to_sender(bytes, sender, state, out);
        return;
    }
    flow.last_active_ = now;
    if (flow.phase_ == pass_phase::moved &&
        !pvt::accept_late_answer(flow, s, now))
    {
        pvt::forward_to_new_agent(state, flow, s, bytes, now, out);
        return;
    }
    if (is_opened_elsewhere(flow, s))
    {
        give_up_opening(state, s, bytes, sender, now, out);
        return;
    }
    if (is_reset_due(state, flow, s))
    {
        out.send_reset(s.flow_, s.ack_number_);
        add_decision(out, state, s.flow_, flow, "reset", "upstream_absent", now,
                     true);
        return;
    }
    if (flow.adopted_)
    {
        flow.place_.balancer_ = sender;
    }
    if (flow.phase_ != pass_phase::ended)
    {
        track_caller(state, flow, s, now);
    }
    out.send_to_upstream(bytes);
    pvt::offer_queued(state, now, out);
}

void handle_upstream_segment(pass_agent_state& state, const segment_header& s,
                             byte_view bytes, instant now, pass_actions& out)
{
    state.unanswered_openings_ = 0;
    state.check_.unanswered_since_.reset();
    if (s.bounced_)
    {
        handle_returned_by_upstream(state, s, bytes, now, out);
        pvt::offer_queued(state, now, out);
        return;
    }
    if (state.upstream_suspected_)
    {
        state.upstream_suspected_ = false;
        state.status_changed_ = true;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it != state.flows_.end())
    {
        agent_flow& flow = it->second;
        if (is_of_earlier_flow(flow, s))
        {
            add_decision(out, state, s.flow_, flow, "dropped",
                         "earlier_flow_of_same_address", now, true);
            return;
        }
        if (flow.awaited_)
        {
            // The upstream has the flow.
            pvt::respond_as_owner(state, s.flow_, *flow.awaited_, out);
            flow.place_.balancer_ = flow.awaited_->searcher_;
            flow.awaited_.reset();
        }
        track_upstream(state, flow, s, now);
    }
    out.send_to_caller(s.flow_, bytes);
    pvt::offer_queued(state, now, out);
}

} // namespace galenafork
