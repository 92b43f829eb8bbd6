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

// Returns whether the agent need not be asked, because its upstream can't have
// any flow.
bool is_ruled_out(const pass_balancer_state& state, const agent_record& agent,
                  instant now)
{
    return now - agent.last_status_at_ > gone_timeout(state, agent);
}

// Agents that have not denied the flow.
struct remaining_agents
{
    /// Those in the scope of the search: they were asked and have not
    /// responded.
    std::vector<host_address> in_scope_;
    std::vector<host_address> out_of_scope_;
    std::uint32_t ruled_out_ = 0;
};

remaining_agents find_remaining(const pass_balancer_state& state,
                                const flow_key& flow,
                                const owner_search& search, instant now)
{
    remaining_agents result;
    for (const auto& [host, agent] : state.agents_)
    {
        if (contains(search.denied_by_, host))
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
        static_cast<std::uint32_t>(search.denied_by_.size()), ruled_out};
}

// Sends the segment to `agents`. Of these only the owner and those that may
// have to adopt the flow send it to their upstreams, so that other upstreams
// get no segments of flows that they do not have.
void ask(const pass_balancer_state& state, const flow_key& flow,
         const owner_search& search, const std::vector<host_address>& agents,
         const char* reason, std::uint32_t ruled_out, instant now,
         pass_actions& out)
{
    out.send_to_peers(agents,
                      locate_message{search.packet_, state.settings_.host_});
    add_search_decision(state, flow, search, "locating", reason, agents.size(),
                        ruled_out, now, out);
}

// Widens the search once all agents in its scope have denied the flow, and
// resets the flow once every agent has. A reset lets callers with idempotent
// requests retry at once instead of waiting for their deadline.
void advance_search(pass_balancer_state& state, const flow_key& key,
                    owner_search& search, instant now, pass_actions& out)
{
    const remaining_agents remaining = find_remaining(state, key, search, now);
    if (!remaining.in_scope_.empty())
    {
        return;
    }
    if (!remaining.out_of_scope_.empty())
    {
        search.scope_ = search_scope::all_agents;
        ask(state, key, search, remaining.out_of_scope_, "other_services",
            remaining.ruled_out_, now, out);
        return;
    }
    if (!state.members_complete_)
    {
        return;
    }
    add_search_decision(state, key, search, "reset", "no_agent_has_it", 0,
                        remaining.ruled_out_, now, out);
    out.send_reset(key, search.caller_expected_sequence_);
    state.flows_[key].finished_ = true;
    state.searches_.erase(key);
}

} // namespace

namespace pvt
{

void start_search(pass_balancer_state& state, const segment_header& s,
                  byte_view bytes, host_address returned_by, instant now,
                  pass_actions& out)
{
    const auto earlier = state.searches_.find(s.flow_);
    const bool is_repeated = earlier != state.searches_.end();
    if (is_repeated &&
        now - earlier->second.started_at_ < state.settings_.search_interval_)
    {
        return;
    }
    balancer_flow& flow = state.flows_[s.flow_];
    flow.last_active_ = now;
    flow.owner_ = host_address();
    owner_search search;
    search.started_at_ = now;
    // A search that found no owner is repeated at all agents: the owner may be
    // out of the scope of the first one while an agent in it does not respond.
    search.scope_ = is_repeated ? search_scope::all_agents
                                : search_scope::expected_services;
    search.packet_.assign(bytes.data_, bytes.data_ + bytes.size_);
    search.returned_by_ = returned_by;
    search.caller_expected_sequence_ = s.ack_number_;
    if (returned_by != host_address())
    {
        search.denied_by_.push_back(returned_by);
    }
    const remaining_agents remaining =
        find_remaining(state, s.flow_, search, now);
    ask(state, s.flow_, search, remaining.in_scope_,
        is_repeated ? "unknown_flow_again" : "unknown_flow",
        remaining.ruled_out_, now, out);
    state.searches_[s.flow_] = std::move(search);
}

void expire_searches(pass_balancer_state& state, instant now)
{
    for (auto it = state.searches_.begin(); it != state.searches_.end();)
    {
        it = now - it->second.started_at_ > state.settings_.search_timeout_
                 ? state.searches_.erase(it)
                 : std::next(it);
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
    search->second.denied_by_.push_back(message.sender_);
    advance_search(state, message.flow_, search->second, now, out);
}

} // namespace galenafork
