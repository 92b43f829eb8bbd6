/// \file
/// Segments of flows that an agent has, and of flows that it does not know.

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::enter;
using pvt::note;
using pvt::set_occupies_slot;

// Sequence numbers wrap: `a` lies after `b` if the distance is short.
bool is_after(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

// More than an upstream sends on one flow; numbers further apart belong to
// another upstream's handshake.
constexpr std::uint32_t flow_span = 1U << 26U;

bool acknowledges_us(const agent_flow& flow, const segment_header& s)
{
    return !flow.upstream_sequence_ ||
           s.ack_number_ - *flow.upstream_sequence_ < flow_span;
}

void end_if_finished(pass_agent_state& state, agent_flow& flow, instant now)
{
    if (flow.caller_finished_ && flow.upstream_finished_)
    {
        set_occupies_slot(state, flow, false);
        flow.request_running_ = false;
        enter(flow, pass_phase::ended, now);
    }
}

void track_caller(pass_agent_state& state, agent_flow& flow,
                  const segment_header& s, instant now)
{
    if (flow.phase_ == pass_phase::opening)
    {
        pvt::smooth(state.handshake_time_,
                    std::min(std::chrono::duration_cast<duration>(
                                 now - flow.offered_at_),
                             state.settings_.handshake_timeout_));
        enter(flow, pass_phase::open, now);
        set_occupies_slot(state, flow, true);
    }
    flow.caller_expected_sequence_ = s.ack_number_;
    const std::uint32_t end = s.sequence_ + s.data_bytes_;
    if (s.data_bytes_ > 0 && (flow.adopted_ || is_after(end, flow.data_end_)))
    {
        flow.data_end_ = end;
        if (!flow.request_running_)
        {
            flow.request_running_ = true;
            flow.request_started_ = now;
            set_occupies_slot(state, flow, true);
        }
    }
    flow.caller_finished_ |= s.finishes_;
    if (s.resets_)
    {
        set_occupies_slot(state, flow, false);
        flow.request_running_ = false;
        enter(flow, pass_phase::ended, now);
    }
    end_if_finished(state, flow, now);
}

// The segment goes back to the balancer, which asks the other agents.
void hand_back(byte_view bytes, host_address balancer,
               const pass_agent_state& state, pass_actions& out)
{
    if (balancer == host_address())
    {
        return;
    }
    out.send_to_peer(balancer,
                     locate_message{{bytes.data_, bytes.data_ + bytes.size_},
                                    state.settings_.host_});
}

// An opening segment visits few agents; a segment that follows it further
// runs in a circle of outdated entries.
constexpr std::uint8_t max_hops = 8;

// Sends a segment after the flow's opening segment.
void send_after(const pass_agent_state& state, agent_flow& flow,
                const segment_header& s, byte_view bytes, instant now,
                pass_actions& out)
{
    flow.last_active_ = now;
    if (s.hops_ >= max_hops)
    {
        note(out, state, s.flow_, flow, "dropped", "too_many_hops", now, true,
             flow.moved_to_);
        return;
    }
    out.send_to_agent(flow.moved_to_, bytes,
                      static_cast<std::uint8_t>(s.hops_ + 1));
}

// A flow that the upstream opened before this agent started: it is passed to
// the upstream, which hands it back if it is not its own.
void adopt(pass_agent_state& state, const segment_header& s, byte_view bytes,
           host_address balancer, instant now, pass_actions& out)
{
    agent_flow flow;
    flow.adopted_ = true;
    flow.place_.balancer_ = balancer;
    flow.first_copy_at_ = now;
    enter(flow, pass_phase::open, now);
    agent_flow& kept = state.flows_[s.flow_];
    kept = std::move(flow);
    track_caller(state, kept, s, now);
    out.send_to_upstream(bytes);
    note(out, state, s.flow_, kept, "adopted", "agent_restarted", now, true);
}

bool may_adopt(const pass_agent_state& state, instant now)
{
    const upstream_report& upstream = state.upstream_;
    const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(
        state.settings_.adoption_margin_);
    const bool older =
        upstream.state_ == upstream_state::unknown ||
        upstream.started_.value() + static_cast<std::uint64_t>(margin.count()) <
            state.settings_.process_started_.value();
    return older && now - state.started_ < state.settings_.adoption_window_ &&
           upstream.state_ != upstream_state::gone;
}

// The agent is as old as its upstream, so that no flow can have been opened
// without it.
bool knows_all_flows(const pass_agent_state& state)
{
    const upstream_report& upstream = state.upstream_;
    const auto margin = std::chrono::duration_cast<std::chrono::milliseconds>(
        state.settings_.same_start_margin_);
    return upstream.state_ != upstream_state::unknown &&
           state.settings_.process_started_.value() <=
               upstream.started_.value() +
                   static_cast<std::uint64_t>(margin.count());
}

void take_bounced_opening(pass_agent_state& state, const segment_header& s,
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
    note(out, state, s.flow_, flow, "bounced", "upstream_refused", now, true);
    if (!pvt::send_past_upstream(state, s.flow_, flow, "bounced", now, out))
    {
        pvt::refuse(state, s.flow_, flow, "bounced", now, out);
    }
}

void take_bounced(pass_agent_state& state, const segment_header& s,
                  byte_view bytes, instant now, pass_actions& out)
{
    if (s.opens_)
    {
        take_bounced_opening(state, s, now, out);
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
        // The upstream answered on this flow and no longer knows it: its
        // process ended since.
        note(out, state, s.flow_, flow, "reset", "upstream_lost_flow", now,
             true);
        out.send_reset(s.flow_, flow.caller_expected_sequence_);
        enter(flow, pass_phase::ended, now);
        return;
    }
    const host_address balancer = flow.place_.balancer_;
    note(out, state, s.flow_, flow, "handed_back", "not_at_upstream", now, true,
         balancer);
    enter(flow, pass_phase::unknown_to_upstream, now);
    if (flow.adopted_ && flow.place_.earlier_agent_ != host_address())
    {
        out.send_to_peer(flow.place_.earlier_agent_,
                         flow_owner_message{s.flow_, host_address(), false,
                                            state.settings_.host_});
        return;
    }
    hand_back(bytes, balancer, state, out);
}

void track_upstream(pass_agent_state& state, agent_flow& flow,
                    const segment_header& s, instant now)
{
    flow.last_active_ = now;
    flow.upstream_sent_at_ = now;
    if (s.opens_)
    {
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
            pvt::smooth(state.service_time_,
                        std::chrono::duration_cast<duration>(
                            now - flow.request_started_));
        }
    }
    flow.upstream_finished_ |= s.finishes_;
    if (s.resets_)
    {
        flow.request_running_ = false;
        set_occupies_slot(state, flow, false);
        enter(flow, pass_phase::ended, now);
    }
    end_if_finished(state, flow, now);
}

} // namespace

void handle_caller_segment(pass_agent_state& state, const segment_header& s,
                           byte_view bytes, host_address balancer, instant now,
                           pass_actions& out)
{
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end())
    {
        if (may_adopt(state, now))
        {
            adopt(state, s, bytes, balancer, now, out);
            return;
        }
        hand_back(bytes, balancer, state, out);
        return;
    }
    agent_flow& flow = it->second;
    if (flow.phase_ == pass_phase::unknown_to_upstream)
    {
        hand_back(bytes, balancer, state, out);
        return;
    }
    flow.last_active_ = now;
    if (flow.phase_ == pass_phase::moved)
    {
        send_after(state, flow, s, bytes, now, out);
        return;
    }
    if (flow.phase_ == pass_phase::queued ||
        flow.phase_ == pass_phase::refused ||
        (flow.phase_ == pass_phase::opening && !acknowledges_us(flow, s)))
    {
        // The caller goes on with another upstream's handshake.
        set_occupies_slot(state, flow, false);
        pvt::drop_from_held(state, s.flow_);
        const host_address earlier = flow.place_.earlier_agent_;
        note(out, state, s.flow_, flow, "passed_on", "opened_elsewhere", now,
             true, earlier);
        if (earlier != host_address())
        {
            flow.moved_to_ = earlier;
            enter(flow, pass_phase::moved, now);
            out.send_to_agent(earlier, bytes);
            out.send_to_peer(balancer,
                             flow_owner_message{s.flow_, earlier, false});
        }
        else
        {
            state.flows_.erase(it);
            hand_back(bytes, balancer, state, out);
        }
        pvt::release_held(state, now, out);
        return;
    }
    if (flow.adopted_)
    {
        flow.place_.balancer_ = balancer;
    }
    if (flow.phase_ != pass_phase::ended)
    {
        track_caller(state, flow, s, now);
    }
    out.send_to_upstream(bytes);
    pvt::release_held(state, now, out);
}

void handle_locate(pass_agent_state& state, const locate_message& message,
                   const segment_header& s, instant now, pass_actions& out)
{
    const byte_view bytes{message.packet_.data(), message.packet_.size()};
    const auto it = state.flows_.find(s.flow_);
    const bool ours = it != state.flows_.end() &&
                      (it->second.phase_ == pass_phase::open ||
                       it->second.phase_ == pass_phase::ended ||
                       (it->second.phase_ == pass_phase::opening &&
                        acknowledges_us(it->second, s)));
    if (ours)
    {
        if (it->second.phase_ != pass_phase::ended)
        {
            track_caller(state, it->second, s, now);
        }
        it->second.last_active_ = now;
        out.send_to_upstream(bytes);
        out.send_to_peer(
            message.balancer_,
            flow_owner_message{s.flow_, state.settings_.host_, false});
        note(out, state, s.flow_, it->second, "located", "", now, true,
             message.balancer_);
        return;
    }
    if (it != state.flows_.end() && it->second.phase_ == pass_phase::moved)
    {
        if (it->second.moved_to_ == message.balancer_)
        {
            // The agent that it moved to asks: it is not there either.
            enter(it->second, pass_phase::unknown_to_upstream, now);
            return;
        }
        // The new owner may be one that the balancer does not know yet.
        send_after(state, it->second, s, bytes, now, out);
        out.send_to_peer(
            message.balancer_,
            flow_owner_message{s.flow_, it->second.moved_to_, false});
        return;
    }
    if ((it == state.flows_.end() && knows_all_flows(state)) ||
        (it != state.flows_.end() &&
         it->second.phase_ == pass_phase::unknown_to_upstream))
    {
        out.send_to_peer(message.balancer_,
                         flow_owner_message{s.flow_, host_address(), false,
                                            state.settings_.host_});
        return;
    }
    if (it == state.flows_.end() && may_adopt(state, now))
    {
        // Not answered until the upstream has: it may hand it back.
        adopt(state, s, bytes, host_address(), now, out);
        state.flows_.at(s.flow_).place_.earlier_agent_ = message.balancer_;
    }
}

void handle_upstream_segment(pass_agent_state& state, const segment_header& s,
                             byte_view bytes, instant now, pass_actions& out)
{
    state.unanswered_openings_ = 0;
    if (s.bounced_)
    {
        take_bounced(state, s, bytes, now, out);
        pvt::release_held(state, now, out);
        return;
    }
    if (state.upstream_suspect_)
    {
        state.upstream_suspect_ = false;
        state.status_changed_ = true;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it != state.flows_.end())
    {
        agent_flow& flow = it->second;
        if (flow.adopted_ && flow.place_.earlier_agent_ != host_address())
        {
            // The upstream answers on a flow that a balancer asked for.
            out.send_to_peer(
                flow.place_.earlier_agent_,
                flow_owner_message{s.flow_, state.settings_.host_, false});
            flow.place_.balancer_ = flow.place_.earlier_agent_;
            flow.place_.earlier_agent_ = host_address();
        }
        track_upstream(state, flow, s, now);
    }
    out.send_to_caller(s.flow_, bytes);
    pvt::release_held(state, now, out);
}

} // namespace galenafork
