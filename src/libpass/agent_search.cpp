/// \file
/// An agent's response to a search for the owner of a flow: what it knows of
/// its upstream's flows, and when it has to ask the upstream.

#include <libpass/agent_pvt.h>

#include <algorithm>
#include <utility>

namespace galenafork
{

namespace
{

using pvt::acknowledges_upstream;
using pvt::add_decision;
using pvt::saw_all_flows;

// What an agent knows about its upstream and a flow.
enum class flow_knowledge
{
    /// The upstream has the flow, or had it until recently.
    owned,
    /// The upstream does not have the flow.
    denied,
    /// The upstream may have the flow from before the agent's start.
    undecided,
};

// Returns whether the flow was adopted and the upstream has neither sent nor
// returned a segment of it since.
bool is_unconfirmed(const agent_flow& flow)
{
    return flow.adopted_ && flow.phase_ == pass_phase::open &&
           flow.upstream_sent_at_ == instant();
}

// `flow` is the agent's state of the flow of `s`, or null.
flow_knowledge knowledge_of(const pass_agent_state& state,
                            const agent_flow* flow, const segment_header& s,
                            instant now)
{
    const flow_knowledge unseen = saw_all_flows(state, now)
                                      ? flow_knowledge::denied
                                      : flow_knowledge::undecided;
    if (flow == nullptr)
    {
        return unseen;
    }
    switch (flow->phase_)
    {
    case pass_phase::ended:
        return flow_knowledge::owned;
    case pass_phase::open:
        return is_unconfirmed(*flow) ? flow_knowledge::undecided
                                     : flow_knowledge::owned;
    case pass_phase::opening:
        return acknowledges_upstream(*flow, s) ? flow_knowledge::owned
                                               : flow_knowledge::denied;
    case pass_phase::unknown_to_upstream:
        return flow_knowledge::denied;
    case pass_phase::queued:
    case pass_phase::refused:
    case pass_phase::moved:
        break;
    }
    // The upstream did not get the opening segment from this agent, but may
    // have got an earlier transmission before the agent started.
    return unseen;
}

// Sends the segment to the upstream, whose response shows whether it has the
// flow. The peers of `question` get the agent's response then.
void ask_upstream(pass_agent_state& state, const segment_header& s,
                  byte_view bytes, const awaited_response& question,
                  instant now, pass_actions& out)
{
    const auto it = state.flows_.find(s.flow_);
    if (it != state.flows_.end() && is_unconfirmed(it->second))
    {
        pvt::track_caller(state, it->second, s, now);
        it->second.last_active_ = now;
        out.send_to_upstream(bytes);
    }
    else
    {
        pvt::adopt(state, s, bytes, host_address(), now, out);
    }
    state.flows_.at(s.flow_).awaited_ = question;
}

// Handles a segment that came back from the agent that the flow moved to: it is
// not there either, or no longer.
void handle_return_of_moved(pass_agent_state& state, agent_flow& flow,
                            const segment_header& s, byte_view bytes,
                            instant now, pass_actions& out)
{
    if (saw_all_flows(state, now))
    {
        pvt::set_phase(flow, pass_phase::unknown_to_upstream, now);
        return;
    }
    const host_address balancer = flow.place_.balancer_;
    pvt::adopt(state, s, bytes, balancer, now, out);
}

} // namespace

namespace pvt
{

bool saw_all_flows(const pass_agent_state& state, instant now)
{
    return state.saw_upstream_start_ ||
           now - state.started_at_ >= state.settings_.flow_lifetime_;
}

void adopt(pass_agent_state& state, const segment_header& s, byte_view bytes,
           host_address sender, instant now, pass_actions& out)
{
    const auto existing = state.flows_.find(s.flow_);
    if (existing != state.flows_.end())
    {
        set_occupies_slot(state, existing->second, false);
        remove_from_queue(state, s.flow_);
    }
    agent_flow flow;
    flow.adopted_ = true;
    flow.place_.balancer_ = sender;
    flow.attempt_started_at_ = now;
    set_phase(flow, pass_phase::open, now);
    agent_flow& adopted = state.flows_[s.flow_];
    adopted = std::move(flow);
    track_caller(state, adopted, s, now);
    out.send_to_upstream(bytes);
    add_decision(out, state, s.flow_, adopted, "adopted", "agent_restarted",
                 now, true);
}

} // namespace pvt

namespace
{

// Sends the summary of a relayed question to the balancer that asked it.
void finish_relay(const pass_agent_state& state, const flow_key& flow,
                  relayed_search& search, pass_actions& out)
{
    out.send_to_peer(search.searcher_,
                     search_result_message{flow, state.settings_.host_,
                                           std::move(search.denied_),
                                           std::move(search.undecided_)});
}

// Records the response of `member`, which may be this agent itself. Once all
// have responded, the balancer gets the summary.
void record_response(pass_agent_state& state, const flow_key& flow,
                     host_address member, bool undecided, pass_actions& out)
{
    const auto it = state.relayed_searches_.find(flow);
    if (it == state.relayed_searches_.end())
    {
        return;
    }
    relayed_search& search = it->second;
    auto& awaited = search.awaited_;
    const auto position = std::find(awaited.begin(), awaited.end(), member);
    if (position == awaited.end())
    {
        return;
    }
    awaited.erase(position);
    if (search.summary_sent_)
    {
        out.send_to_peer(
            search.searcher_,
            flow_owner_message{flow, host_address(), false, member, undecided});
        return;
    }
    (undecided ? search.undecided_ : search.denied_).push_back(member);
    if (awaited.empty())
    {
        finish_relay(state, flow, search, out);
        state.relayed_searches_.erase(it);
    }
}

// Asks the group on behalf of the balancer.
void relay_question(pass_agent_state& state, const locate_message& message,
                    const flow_key& flow, instant now, pass_actions& out)
{
    relayed_search& search = state.relayed_searches_[flow];
    search = relayed_search();
    search.searcher_ = message.sender_;
    search.expires_at_ = now + state.settings_.relay_timeout_;
    search.awaited_ = message.group_;
    search.awaited_.push_back(state.settings_.host_);
    locate_message question = message;
    question.group_.clear();
    question.relay_ = state.settings_.host_;
    out.send_to_peers(message.group_, std::move(question));
}

} // namespace

namespace pvt
{

void respond_to_search(pass_agent_state& state, const flow_key& flow,
                       host_address receiver, bool undecided, pass_actions& out)
{
    if (receiver == state.settings_.host_)
    {
        record_response(state, flow, receiver, undecided, out);
        return;
    }
    out.send_to_peer(receiver,
                     flow_owner_message{flow, host_address(), false,
                                        state.settings_.host_, undecided});
}

void respond_as_owner(pass_agent_state& state, const flow_key& flow,
                      const awaited_response& question, pass_actions& out)
{
    const flow_owner_message owner{flow, state.settings_.host_, false};
    out.send_to_peer(question.searcher_, owner);
    if (question.denial_receiver_ == state.settings_.host_)
    {
        state.relayed_searches_.erase(flow);
    }
    else if (question.denial_receiver_ != question.searcher_)
    {
        out.send_to_peer(question.denial_receiver_, owner);
    }
}

void end_expired_relays(pass_agent_state& state, instant now, pass_actions& out)
{
    for (auto it = state.relayed_searches_.begin();
         it != state.relayed_searches_.end();)
    {
        relayed_search& search = it->second;
        if (now >= search.expires_at_ + state.settings_.relay_linger_)
        {
            it = state.relayed_searches_.erase(it);
            continue;
        }
        if (now >= search.expires_at_ && !search.summary_sent_)
        {
            finish_relay(state, it->first, search, out);
            search.summary_sent_ = true;
        }
        ++it;
    }
}

} // namespace pvt

void handle_flow_owner(pass_agent_state& state,
                       const flow_owner_message& message, pass_actions& out)
{
    if (message.owner_ != host_address())
    {
        // The owner has told the balancer itself.
        state.relayed_searches_.erase(message.flow_);
        return;
    }
    record_response(state, message.flow_, message.sender_, message.undecided_,
                    out);
}

void handle_locate(pass_agent_state& state, const locate_message& message,
                   const segment_header& s, instant now, pass_actions& out)
{
    const byte_view bytes{message.packet_.data(), message.packet_.size()};
    awaited_response question{message.sender_, message.sender_};
    if (!message.group_.empty())
    {
        relay_question(state, message, s.flow_, now, out);
        question.denial_receiver_ = state.settings_.host_;
    }
    else if (message.relay_ != host_address())
    {
        question.denial_receiver_ = message.relay_;
    }
    const auto it = state.flows_.find(s.flow_);
    agent_flow* flow = it == state.flows_.end() ? nullptr : &it->second;
    if (flow != nullptr && flow->phase_ == pass_phase::moved &&
        !pvt::accept_late_answer(*flow, s, now))
    {
        if (flow->moved_to_ == message.sender_)
        {
            handle_return_of_moved(state, *flow, s, bytes, now, out);
            return;
        }
        // The segment is forwarded as well, because the sender may not have the
        // new owner among its agents yet.
        pvt::forward_to_new_agent(state, *flow, s, bytes, now, out);
        out.send_to_peer(message.sender_,
                         flow_owner_message{s.flow_, flow->moved_to_, false,
                                            state.settings_.host_});
        return;
    }
    switch (knowledge_of(state, flow, s, now))
    {
    case flow_knowledge::owned:
        if (flow->phase_ != pass_phase::ended)
        {
            pvt::track_caller(state, *flow, s, now);
        }
        flow->last_active_ = now;
        out.send_to_upstream(bytes);
        pvt::respond_as_owner(state, s.flow_, question, out);
        add_decision(out, state, s.flow_, *flow, "located", "", now, true,
                     message.sender_);
        return;
    case flow_knowledge::denied:
        pvt::respond_to_search(state, s.flow_, question.denial_receiver_, false,
                               out);
        return;
    case flow_knowledge::undecided:
        break;
    }
    if (!message.tentative_)
    {
        ask_upstream(state, s, bytes, question, now, out);
    }
    // A relay waits for the upstream's response. A balancer that asks directly
    // learns that the upstream is being asked.
    const bool relayed = question.denial_receiver_ != message.sender_;
    if (message.tentative_ || !relayed)
    {
        pvt::respond_to_search(state, s.flow_, question.denial_receiver_, true,
                               out);
    }
}

} // namespace galenafork
