/// \file
/// Segments of open flows, and the search for owners of unknown ones.

#include <libpass/balancer_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::note;
using pvt::rule_for;

// The agent's upstream may hold the flow.
bool may_own(const pass_balancer_state& state, const agent_record& agent,
             const flow_key& flow, instant now)
{
    if (now - agent.last_heard_ > state.settings_.agent_gone_timeout_)
    {
        return false;
    }
    const pass_rule* rule = rule_for(state, flow);
    return !agent.has_status_ || rule == nullptr ||
           std::any_of(rule->services_.begin(), rule->services_.end(),
                       [&](const pass_service_weight& share)
                       { return share.service_ == agent.status_.service_; });
}

// Every agent that may have the flow has said that it does not: its upstream
// ended. Callers that may repeat do so at once instead of waiting for their
// deadline.
bool is_lost(const pass_balancer_state& state, const flow_key& key,
             const balancer_flow& flow, instant now)
{
    return state.members_complete_ &&
           std::all_of(
               state.agents_.begin(), state.agents_.end(),
               [&](const auto& entry)
               {
                   const bool denied =
                       std::find(flow.denied_by_.begin(), flow.denied_by_.end(),
                                 entry.first) != flow.denied_by_.end();
                   return denied || !may_own(state, entry.second, key, now);
               });
}

// Only the owner among the asked agents passes the segment on, so a question
// puts nothing before strangers.
void locate(pass_balancer_state& state, const segment_header& s,
            byte_view bytes, host_address except, instant now,
            pass_actions& out)
{
    balancer_flow& flow = state.flows_[s.flow_];
    if (flow.locate_sent_at_ != instant() &&
        now - flow.locate_sent_at_ < state.settings_.locate_interval_)
    {
        return;
    }
    flow.locate_sent_at_ = now;
    flow.last_active_ = now;
    flow.owner_ = host_address();
    flow.caller_expected_sequence_ = s.ack_number_;
    flow.denied_by_.clear();
    if (except != host_address())
    {
        flow.denied_by_.push_back(except);
    }
    std::vector<host_address> asked;
    for (const auto& [host, agent] : state.agents_)
    {
        if (host != except && may_own(state, agent, s.flow_, now))
        {
            asked.push_back(host);
        }
    }
    out.send_to_peers(asked,
                      locate_message{{bytes.data_, bytes.data_ + bytes.size_},
                                     state.settings_.host_});
    note(out, "locating", "unknown_flow", s, except, true, state, now);
}

} // namespace

void handle_caller_segment(pass_balancer_state& state, const segment_header& s,
                           byte_view bytes, instant now, pass_actions& out)
{
    if (s.opens_)
    {
        pvt::take_opening(state, s, bytes, now, out);
        return;
    }
    const auto it = state.flows_.find(s.flow_);
    if (it == state.flows_.end() || it->second.owner_ == host_address())
    {
        locate(state, s, bytes, {}, now, out);
        return;
    }
    balancer_flow& flow = it->second;
    flow.last_active_ = now;
    flow.finished_ |= s.finishes_ || s.resets_;
    out.send_to_agent(flow.owner_, bytes);
}

void handle_flow_owner(pass_balancer_state& state,
                       const flow_owner_message& message, instant now,
                       pass_actions& out)
{
    const auto it = state.flows_.find(message.flow_);
    if (it == state.flows_.end())
    {
        return;
    }
    balancer_flow& flow = it->second;
    if (message.owner_ != host_address())
    {
        flow.owner_ = message.owner_;
        flow.queued_ = message.queued_;
        flow.last_active_ = now;
        return;
    }
    if (flow.owner_ != host_address() || flow.finished_)
    {
        return;
    }
    flow.denied_by_.push_back(message.sender_);
    if (is_lost(state, message.flow_, flow, now))
    {
        segment_header about;
        about.flow_ = message.flow_;
        note(out, "reset", "no_agent_has_it", about, {}, true, state, now);
        out.send_reset(message.flow_, flow.caller_expected_sequence_);
        flow.finished_ = true;
    }
}

void handle_returned_segment(pass_balancer_state& state,
                             const locate_message& message,
                             const segment_header& s, instant now,
                             pass_actions& out)
{
    const byte_view bytes{message.packet_.data(), message.packet_.size()};
    const auto it = state.flows_.find(s.flow_);
    const bool moved_on = it != state.flows_.end() &&
                          it->second.owner_ != host_address() &&
                          it->second.owner_ != message.balancer_;
    if (moved_on)
    {
        out.send_to_agent(it->second.owner_, bytes);
        return;
    }
    locate(state, s, bytes, message.balancer_, now, out);
}

} // namespace galenafork
