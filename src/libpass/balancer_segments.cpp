/// \file
/// A balancer's decisions about segments of open flows, and its search for the
/// owner of a flow.

#include <libpass/balancer_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::add_decision;
using pvt::rule_for;

// Returns whether the agent's upstream may have the flow: the agent has not
// gone, and its service, if known, is one of those that the rule selects from.
bool may_own(const pass_balancer_state& state, const agent_record& agent,
             const flow_key& flow, instant now)
{
    if (now - agent.last_status_at_ > gone_timeout(state, agent))
    {
        return false;
    }
    const pass_rule* rule = rule_for(state, flow);
    return !agent.has_status_ || rule == nullptr ||
           std::any_of(rule->services_.begin(), rule->services_.end(),
                       [&](const pass_service_weight& weight)
                       { return weight.service_ == agent.status_.service_; });
}

// Returns whether every agent that may have the flow has reported that it does
// not, which means that the flow's upstream has ended. A reset then lets
// callers with idempotent requests retry at once instead of waiting for their
// deadline.
bool is_unowned(const pass_balancer_state& state, const flow_key& key,
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

// Searches for the flow's owner: sends the segment to all agents that may have
// the flow, except `excluded`. Of these agents only the owner and those that
// may have to adopt the flow send the segment to their upstreams, so that other
// upstreams get no segments of flows that they do not have.
void locate(pass_balancer_state& state, const segment_header& s,
            byte_view bytes, host_address excluded, instant now,
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
    if (excluded != host_address())
    {
        flow.denied_by_.push_back(excluded);
    }
    std::vector<host_address> asked;
    for (const auto& [host, agent] : state.agents_)
    {
        if (host != excluded && may_own(state, agent, s.flow_, now))
        {
            asked.push_back(host);
        }
    }
    out.send_to_peers(asked,
                      locate_message{{bytes.data_, bytes.data_ + bytes.size_},
                                     state.settings_.host_});
    add_decision(out, "locating", "unknown_flow", s, excluded, true, state,
                 now);
}

} // namespace

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
    if (is_unowned(state, message.flow_, flow, now))
    {
        segment_header header;
        header.flow_ = message.flow_;
        add_decision(out, "reset", "no_agent_has_it", header, {}, true, state,
                     now);
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
    const bool has_new_owner = it != state.flows_.end() &&
                               it->second.owner_ != host_address() &&
                               it->second.owner_ != message.sender_;
    if (has_new_owner)
    {
        out.send_to_agent(it->second.owner_, bytes);
        return;
    }
    locate(state, s, bytes, message.sender_, now, out);
}

} // namespace galenafork
