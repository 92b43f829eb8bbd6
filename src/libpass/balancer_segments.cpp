/// \file
/// A balancer's decisions about segments of open flows.

#include <libpass/balancer_pvt.h>

namespace galenafork
{

void handle_caller_segment(pass_balancer_state& state, const segment_header& s,
                           byte_view bytes, instant now, pass_actions& out)
{
    if (s.opens_)
    {
        pvt::handle_opening(state, s, bytes, now, out);
        return;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end() || it->second.owner_ == host_address())
    {
        pvt::search_owner(state, s, bytes, {}, now, out);
        return;
    }
    balancer_flow& flow = it->second;
    flow.last_active_ = now;
    flow.finished_ |= s.finishes_ || s.resets_;
    if (pvt::is_hedging(state))
    {
        flow.owner_ = note_continuation(
            state.hedging_, state.settings_.hedging_, s, flow.owner_, now);
    }
    out.send_to_agent(flow.owner_, bytes);
}

void handle_returned_segment(pass_balancer_state& state,
                             const locate_message& message,
                             const segment_header& s, instant now,
                             pass_actions& out)
{
    const byte_view bytes{message.packet_.data(), message.packet_.size()};
    const auto it = state.flows_.find(s.flow_);
    const bool has_new_owner = it != state.flows_.end() &&
                               it->second.owner_ != host_address() &&
                               it->second.owner_ != message.sender_;
    if (has_new_owner)
    {
        out.send_to_agent(it->second.owner_, bytes);
        return;
    }
    const host_address other =
        it != state.flows_.end() && it->second.owner_ == message.sender_
            ? agent_after_return(state.hedging_, s.flow_, message.sender_)
            : host_address();
    if (other != host_address())
    {
        it->second.owner_ = other;
        out.send_to_agent(other, bytes);
        return;
    }
    pvt::search_owner(state, s, bytes, message.sender_, now, out);
}

} // namespace galenafork
