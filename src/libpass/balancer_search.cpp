/// \file
/// A balancer's search for the owner of a flow that it does not know, and its
/// conclusion that no agent has the flow.

#include <libpass/balancer_pvt.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using pvt::contains;

// Returns whether the agent's upstream is one that the flow is usually at: its
// service is one of those that the active rule selects from, or is unknown,
// because the agent has restarted and has no report yet.
bool is_expected(const pass_balancer_state& state, const agent_record& agent,
                 const flow_key& flow)
{
    const pass_rule* rule = pvt::rule_for(state, flow);
    return !agent.has_status_ || agent.status_.service_ == service_name() ||
           rule == nullptr ||
           std::any_of(rule->services_.begin(), rule->services_.end(),
                       [&](const pass_service_weight& weight)
                       { return weight.service_ == agent.status_.service_; });
}

bool is_probably_running(const pass_balancer_state& state,
                         const agent_record& agent, instant now)
{
    return now - agent.last_status_at_ <= gone_timeout(state, agent);
}

// Returns whether the agent's upstream can't have the flow although the agent
// does not respond. Silence alone does not show this: the upstream may live and
// the agent come back. The upstream must have deregistered before, or the
// agent, through which all of its flows pass, must have been silent for longer
// than a flow lives.
bool is_ruled_out(const pass_balancer_state& state, const agent_record& agent,
                  instant now)
{
    const bool deregistered =
        agent.has_status_ && agent.status_.state_ == upstream_state::gone;
    return (deregistered && !is_probably_running(state, agent, now)) ||
           now - agent.last_status_at_ > state.settings_.flow_lifetime_;
}

bool knows_all_agents(const pass_balancer_state& state, instant now)
{
    return state.members_read_at_ && now - *state.members_read_at_ <=
                                         state.settings_.max_member_list_age_;
}

auto find_undecided(const owner_search& search, host_address host)
{
    return std::find_if(search.undecided_.begin(), search.undecided_.end(),
                        [&](const undecided_agent& agent)
                        { return agent.host_ == host; });
}

bool is_undecided(const owner_search& search, host_address host)
{
    return find_undecided(search, host) != search.undecided_.end();
}

// Agents that have not responded and may have the flow.
struct remaining_agents
{
    /// Those in the scope of the search, which were asked.
    std::vector<host_address> in_scope_;
    std::vector<host_address> out_of_scope_;
    /// Those of `in_scope_` that are probably running.
    std::uint32_t awaited_ = 0;
    std::uint32_t ruled_out_ = 0;
};

remaining_agents find_remaining(const pass_balancer_state& state,
                                const flow_key& flow,
                                const owner_search& search, instant now)
{
    remaining_agents result;
    for (const auto& [host, agent] : state.agents_)
    {
        if (contains(search.denied_by_, host) || is_undecided(search, host) ||
            contains(search.told_to_ask_, host) ||
            contains(search.asking_upstream_, host))
        {
            continue;
        }
        if (is_ruled_out(state, agent, now))
        {
            ++result.ruled_out_;
            continue;
        }
        const bool in_scope = search.scope_ == search_scope::all_agents ||
                              is_expected(state, agent, flow);
        (in_scope ? result.in_scope_ : result.out_of_scope_).push_back(host);
        const bool awaited = in_scope && is_probably_running(state, agent, now);
        result.awaited_ += awaited ? 1 : 0;
    }
    return result;
}

void add_search_decision(const pass_balancer_state& state, const flow_key& flow,
                         const owner_search& search, const char* event,
                         const char* reason, std::size_t asked,
                         std::uint32_t ruled_out, instant now,
                         pass_actions& out)
{
    segment_header header;
    header.flow_ = flow;
    pvt::add_decision(out, event, reason, header, search.returned_by_, true,
                      state, now);
    out.decisions_.back().search_ = search_counts{
        static_cast<std::uint32_t>(asked),
        static_cast<std::uint32_t>(search.denied_by_.size()),
        static_cast<std::uint32_t>(search.undecided_.size()), ruled_out};
}

// Sends the segment to `agents`. In a tentative question only the owner passes
// it to its upstream.
void ask(const pass_balancer_state& state, const flow_key& flow,
         owner_search& search, const std::vector<host_address>& agents,
         bool tentative, const char* reason, std::uint32_t ruled_out,
         instant now, pass_actions& out)
{
    search.asked_at_ = now;
    out.send_to_peers(agents, locate_message{search.packet_,
                                             state.settings_.host_, tentative});
    add_search_decision(state, flow, search, "locating", reason, agents.size(),
                        ruled_out, now, out);
}

// Has the next undecided agents ask their upstreams, those of the expected
// services first, which were the first to respond. Few do so at a time: once
// the owner's upstream has the segment, few others get it.
void ask_upstreams(const pass_balancer_state& state, const flow_key& flow,
                   owner_search& search, std::uint32_t ruled_out, instant now,
                   pass_actions& out)
{
    const std::size_t count = std::min(search.undecided_.size(),
                                       state.settings_.max_asking_upstream_);
    const auto last =
        search.undecided_.begin() + static_cast<std::ptrdiff_t>(count);
    std::transform(search.undecided_.begin(), last,
                   std::back_inserter(search.told_to_ask_),
                   [](const undecided_agent& agent) { return agent.host_; });
    search.undecided_.erase(search.undecided_.begin(), last);
    ask(state, flow, search, search.told_to_ask_, false, "undecided_agents",
        ruled_out, now, out);
}

// Takes the next step once all agents that were asked and are probably running
// have responded: asks those of other services, then has the undecided ones ask
// their upstreams, and resets the flow once every agent has denied it.
// Upstreams get no segment before all running agents have responded, so that
// those of other flows do not get segments while the owner's agent is
// restarting. A reset lets callers with idempotent requests retry at once
// instead of waiting for their deadline.
void advance_search(pass_balancer_state& state, const flow_key& key,
                    owner_search& search, instant now, pass_actions& out)
{
    if (search.awaited_ > 0)
    {
        return;
    }
    remaining_agents remaining = find_remaining(state, key, search, now);
    search.awaited_ = remaining.awaited_;
    if (search.awaited_ > 0)
    {
        return;
    }
    if (!remaining.out_of_scope_.empty())
    {
        search.scope_ = search_scope::all_agents;
        remaining = find_remaining(state, key, search, now);
        search.awaited_ = remaining.awaited_;
        ask(state, key, search, remaining.in_scope_, true, "other_services",
            remaining.ruled_out_, now, out);
        if (search.awaited_ > 0)
        {
            return;
        }
    }
    if (!search.told_to_ask_.empty() || !search.asking_upstream_.empty())
    {
        return;
    }
    if (!search.undecided_.empty())
    {
        ask_upstreams(state, key, search, remaining.ruled_out_, now, out);
        return;
    }
    if (!remaining.in_scope_.empty() || !knows_all_agents(state, now))
    {
        return;
    }
    add_search_decision(state, key, search, "reset", "no_agent_has_it", 0,
                        remaining.ruled_out_, now, out);
    out.send_reset(key, search.caller_expected_sequence_);
    state.flows_[key].finished_ = true;
    state.searches_.erase(key);
}

// A response to an earlier question may arrive after a later one.
void record_response(owner_search& search, const flow_owner_message& response,
                     instant now)
{
    const host_address sender = response.sender_;
    if (contains(search.denied_by_, sender))
    {
        return;
    }
    const auto undecided = find_undecided(search, sender);
    const bool is_first = undecided == search.undecided_.end() &&
                          !contains(search.told_to_ask_, sender) &&
                          !contains(search.asking_upstream_, sender);
    if (is_first && search.awaited_ > 0)
    {
        --search.awaited_;
    }
    if (!response.undecided_)
    {
        if (undecided != search.undecided_.end())
        {
            search.undecided_.erase(undecided);
        }
        pvt::remove_from(search.told_to_ask_, sender);
        pvt::remove_from(search.asking_upstream_, sender);
        search.denied_by_.push_back(sender);
    }
    else if (contains(search.told_to_ask_, sender))
    {
        pvt::remove_from(search.told_to_ask_, sender);
        search.asking_upstream_.push_back(sender);
    }
    else if (is_first)
    {
        search.undecided_.push_back({sender, now});
    }
}

// Asks the agents that have not responded again. An agent that was told to ask
// its upstream and did not confirm it may be the owner's, so that no others are
// told before it responds.
void repeat_search(pass_balancer_state& state, const flow_key& key,
                   owner_search& search, instant now, pass_actions& out)
{
    // The owner may be out of the scope while an agent in it does not respond.
    search.scope_ = search_scope::all_agents;
    auto& undecided = search.undecided_;
    undecided.erase(
        std::remove_if(undecided.begin(), undecided.end(),
                       [&](const undecided_agent& agent) {
                           return now - agent.responded_at_ >
                                  state.settings_.undecided_validity_;
                       }),
        undecided.end());
    const remaining_agents remaining = find_remaining(state, key, search, now);
    search.awaited_ = remaining.awaited_;
    ask(state, key, search, remaining.in_scope_, true, "unknown_flow_again",
        remaining.ruled_out_, now, out);
    const bool all_confirmed = search.told_to_ask_.empty();
    search.told_to_ask_.insert(search.told_to_ask_.end(),
                               search.asking_upstream_.begin(),
                               search.asking_upstream_.end());
    search.asking_upstream_.clear();
    if (remaining.awaited_ == 0 && all_confirmed)
    {
        ask_upstreams(state, key, search, remaining.ruled_out_, now, out);
    }
    else if (!search.told_to_ask_.empty())
    {
        ask(state, key, search, search.told_to_ask_, false, "undecided_agents",
            remaining.ruled_out_, now, out);
    }
}

} // namespace

namespace pvt
{

void search_owner(pass_balancer_state& state, const segment_header& s,
                  byte_view bytes, host_address returned_by, instant now,
                  pass_actions& out)
{
    const auto [it, is_new] = state.searches_.try_emplace(s.flow_);
    owner_search& search = it->second;
    if (!is_new && now - search.asked_at_ < state.settings_.search_interval_)
    {
        return;
    }
    balancer_flow& flow = state.flows_[s.flow_];
    flow.last_active_ = now;
    flow.owner_ = host_address();
    search.packet_.assign(bytes.data_, bytes.data_ + bytes.size_);
    search.returned_by_ = returned_by;
    search.caller_expected_sequence_ = s.ack_number_;
    if (!is_new)
    {
        repeat_search(state, s.flow_, search, now, out);
        return;
    }
    const remaining_agents remaining =
        find_remaining(state, s.flow_, search, now);
    search.awaited_ = remaining.awaited_;
    ask(state, s.flow_, search, remaining.in_scope_, true, "unknown_flow",
        remaining.ruled_out_, now, out);
    advance_search(state, s.flow_, search, now, out);
}

void handle_search_tick(pass_balancer_state& state, instant now,
                        pass_actions& out)
{
    for (auto it = state.searches_.begin(); it != state.searches_.end();)
    {
        owner_search& search = it->second;
        const auto since_asked = now - search.asked_at_;
        if (since_asked > state.settings_.search_timeout_)
        {
            it = state.searches_.erase(it);
            continue;
        }
        // An upstream that has ended returns no segment.
        if (search.told_to_ask_.empty() && !search.asking_upstream_.empty() &&
            !search.undecided_.empty() &&
            since_asked > state.settings_.upstream_response_time_)
        {
            const remaining_agents remaining =
                find_remaining(state, it->first, search, now);
            ask_upstreams(state, it->first, search, remaining.ruled_out_, now,
                          out);
        }
        ++it;
    }
}

} // namespace pvt

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
        const bool direct = message.sender_ == host_address() ||
                            message.sender_ == message.owner_;
        if (!direct && flow.owner_ != host_address() &&
            flow.owner_ != message.sender_)
        {
            // The owner has responded itself; the sender's record is outdated.
            return;
        }
        flow.owner_ = message.owner_;
        flow.queued_ = message.queued_;
        flow.last_active_ = now;
        state.searches_.erase(message.flow_);
        return;
    }
    const auto search = state.searches_.find(message.flow_);
    if (search == state.searches_.end() || flow.owner_ != host_address() ||
        flow.finished_)
    {
        return;
    }
    record_response(search->second, message, now);
    advance_search(state, message.flow_, search->second, now, out);
}

} // namespace galenafork
