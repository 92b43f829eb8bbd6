/// \file
/// A balancer's search for the owner of a flow that it does not know, and its
/// conclusion that no agent has the flow.

#include <libpass/balancer_pvt.h>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>

namespace galenafork
{

namespace
{

using pvt::contains;
using pvt::is_near;

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
    // Before the first status, `last_status_at_` is when it was first listed.
    const duration timeout = agent.has_status_
                                 ? gone_timeout(state, agent)
                                 : state.settings_.unheard_agent_timeout_;
    return now - agent.last_status_at_ <= timeout;
}

// Returns whether the agent has said that its upstream's process is gone and
// has ended itself, or has been silent since: its instance is then mostly taken
// away. While it responds, another upstream may start beside it.
bool has_ended(const pass_balancer_state& state, const agent_record& agent,
               instant now)
{
    return agent.has_status_ && agent.status_.ended_ &&
           (agent.status_.state_ == upstream_state::gone ||
            now - agent.last_status_at_ > state.settings_.ended_agent_silence_);
}

// Returns whether the agent's upstream can't have the flow although the agent
// does not respond. Silence alone does not show this: the upstream may live and
// the agent come back. The upstream must have deregistered before, its process
// must have ended, or the agent, through which all of its flows pass, must have
// been silent for longer than a flow lives.
bool is_ruled_out(const pass_balancer_state& state, const agent_record& agent,
                  instant now)
{
    const bool deregistered =
        agent.has_status_ && agent.status_.state_ == upstream_state::gone;
    return has_ended(state, agent, now) ||
           (deregistered && !is_probably_running(state, agent, now)) ||
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
    /// Those in the scope of the search.
    std::vector<host_address> in_scope_;
    /// Those of `in_scope_` that are worth a question. An agent that was listed
    /// some time ago and has never sent a status is only probed: it may be gone
    /// for long, and a question to each such entry would multiply the messages
    /// of all searches after a start.
    std::vector<host_address> to_ask_;
    std::vector<host_address> out_of_scope_;
    /// Those of `in_scope_` that are probably running.
    std::uint32_t awaited_ = 0;
    std::uint32_t ruled_out_ = 0;
};

bool is_in_scope(const pass_balancer_state& state, const flow_key& flow,
                 search_scope scope, const agent_record& agent)
{
    switch (scope)
    {
    case search_scope::near_agents:
        return is_near(state, agent) && is_expected(state, agent, flow);
    case search_scope::expected_services:
        return is_expected(state, agent, flow);
    case search_scope::all_agents:
        break;
    }
    return true;
}

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
        const bool in_scope = is_in_scope(state, flow, search.scope_, agent);
        (in_scope ? result.in_scope_ : result.out_of_scope_).push_back(host);
        const bool running = is_probably_running(state, agent, now);
        result.awaited_ += in_scope && running ? 1 : 0;
        if (in_scope && (running || agent.has_status_))
        {
            result.to_ask_.push_back(host);
        }
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

// Returns a number by which the agents of a flow are ordered. It differs from
// flow to flow, so that no agent is the relay of all searches.
std::size_t rank_of(const flow_key& flow, host_address host, unsigned round)
{
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15ULL;
    const std::uint64_t seed =
        std::hash<flow_key>()(flow) + host.value() + round * 7919ULL;
    const std::uint64_t mixed = (seed ^ (seed >> 31U)) * multiplier;
    return mixed ^ (mixed >> 29U);
}

// Returns the agent of `group` that is to ask the others, or none if no agent
// has sent a status lately.
std::optional<host_address> choose_relay(const pass_balancer_state& state,
                                         const flow_key& flow, unsigned round,
                                         const std::vector<host_address>& group,
                                         instant now)
{
    std::optional<host_address> best;
    for (const host_address host : group)
    {
        const agent_record& agent = state.agents_.at(host);
        const bool recent =
            agent.has_status_ &&
            now - agent.last_status_at_ <
                pvt::probe_interval(state) + state.settings_.agent_timeout_;
        if (recent &&
            (!best || rank_of(flow, host, round) < rank_of(flow, *best, round)))
        {
            best = host;
        }
    }
    return best;
}

// Sends a question to the agents of one data centre: through a relay if there
// are many of them.
void ask_group(const pass_balancer_state& state, const flow_key& flow,
               const owner_search& search,
               const std::vector<host_address>& group, bool tentative,
               instant now, pass_actions& out)
{
    locate_message question{search.packet_, state.settings_.host_, tentative};
    const auto relay =
        group.size() < state.settings_.min_relay_group_
            ? std::nullopt
            : choose_relay(state, flow, search.rounds_, group, now);
    if (!relay)
    {
        out.send_to_peers(group, std::move(question));
        return;
    }
    question.group_ = group;
    pvt::remove_from(question.group_, *relay);
    out.send_to_peer(*relay, std::move(question));
}

// Sends the segment to `agents`. In a tentative question only the owner passes
// it to its upstream. From the third round on, the last few agents are asked
// directly.
void ask(const pass_balancer_state& state, const flow_key& flow,
         owner_search& search, const std::vector<host_address>& agents,
         bool tentative, const char* reason, std::uint32_t ruled_out,
         instant now, pass_actions& out)
{
    search.asked_at_ = now;
    constexpr unsigned max_relayed_rounds = 2;
    const bool directly = search.unanswered_rounds_ >= max_relayed_rounds &&
                          agents.size() <= state.settings_.max_single_stage_;
    std::map<data_centre, std::vector<host_address>> groups;
    std::vector<host_address> direct;
    for (const host_address host : agents)
    {
        const auto agent = state.agents_.find(host);
        if (agent != state.agents_.end() && agent->second.has_status_ &&
            !directly)
        {
            groups[agent->second.status_.data_centre_].push_back(host);
        }
        else
        {
            direct.push_back(host);
        }
    }
    for (const auto& entry : groups)
    {
        ask_group(state, flow, search, entry.second, tentative, now, out);
    }
    out.send_to_peers(direct, locate_message{search.packet_,
                                             state.settings_.host_, tentative});
    add_search_decision(state, flow, search, "locating", reason, agents.size(),
                        ruled_out, now, out);
}

// Has the next undecided agents ask their upstreams, those of the own data
// centre first. The batches grow: the owner is mostly in the first ones, and
// where no upstream has the flow, as after a loss of power, the caller does not
// wait for one batch per pair of agents.
void ask_upstreams(const pass_balancer_state& state, const flow_key& flow,
                   owner_search& search, std::uint32_t ruled_out, instant now,
                   pass_actions& out)
{
    std::stable_partition(search.undecided_.begin(), search.undecided_.end(),
                          [&](const undecided_agent& agent)
                          {
                              const auto it = state.agents_.find(agent.host_);
                              return it != state.agents_.end() &&
                                     is_near(state, it->second);
                          });
    constexpr std::size_t growth = 4;
    const std::size_t batch = std::max(state.settings_.first_asking_batch_,
                                       growth * search.last_batch_);
    search.last_batch_ = batch;
    const std::size_t count = std::min(search.undecided_.size(), batch);
    search.asked_upstreams_ += count;
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
    while (!remaining.out_of_scope_.empty())
    {
        const bool was_near = search.scope_ == search_scope::near_agents;
        search.scope_ = was_near ? search_scope::expected_services
                                 : search_scope::all_agents;
        remaining = find_remaining(state, key, search, now);
        search.awaited_ = remaining.awaited_;
        ask(state, key, search, remaining.to_ask_, true,
            was_near ? "other_data_centres" : "other_services",
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
    search.waits_for_silent_ = !remaining.in_scope_.empty();
    search.waits_for_list_ = !knows_all_agents(state, now);
    if (search.waits_for_silent_ || search.waits_for_list_)
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
void record_response(owner_search& search, host_address sender,
                     bool is_undecided_response, instant now)
{
    if (contains(search.denied_by_, sender))
    {
        return;
    }
    const auto undecided = find_undecided(search, sender);
    const bool is_first = undecided == search.undecided_.end() &&
                          !contains(search.told_to_ask_, sender) &&
                          !contains(search.asking_upstream_, sender);
    search.unanswered_rounds_ = 0;
    if (is_first && search.awaited_ > 0)
    {
        --search.awaited_;
    }
    if (!is_undecided_response)
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
    search.waits_for_silent_ = !remaining.in_scope_.empty();
    ++search.rounds_;
    search.awaited_ = remaining.awaited_;
    ask(state, key, search, remaining.to_ask_, true, "unknown_flow_again",
        remaining.ruled_out_, now, out);
    if (remaining.in_scope_.empty() && search.told_to_ask_.empty() &&
        search.asking_upstream_.empty())
    {
        // All have responded, but their list was not read lately then.
        advance_search(state, key, search, now, out);
        return;
    }
    const bool all_confirmed = search.told_to_ask_.empty();
    search.told_to_ask_.insert(search.told_to_ask_.end(),
                               search.asking_upstream_.begin(),
                               search.asking_upstream_.end());
    search.asking_upstream_.clear();
    if (remaining.awaited_ == 0 && all_confirmed && !search.undecided_.empty())
    {
        ask_upstreams(state, key, search, remaining.ruled_out_, now, out);
    }
    else if (!search.told_to_ask_.empty())
    {
        ask(state, key, search, search.told_to_ask_, false, "undecided_agents",
            remaining.ruled_out_, now, out);
    }
}

// Returns the agents that a search asks first.
search_scope first_scope(const pass_balancer_state& state, const flow_key& flow)
{
    std::size_t near = 0;
    std::size_t expected = 0;
    for (const auto& entry : state.agents_)
    {
        if (is_expected(state, entry.second, flow))
        {
            ++expected;
            near += is_near(state, entry.second) ? 1 : 0;
        }
    }
    return near > 0 && expected > state.settings_.max_single_stage_
               ? search_scope::near_agents
               : search_scope::expected_services;
}

// Returns whether the search starts a round by itself, because some agents have
// not responded or the agents were not known yet.
bool is_round_due(const pass_balancer_state& state, const owner_search& search,
                  instant now)
{
    const bool unanswered = search.awaited_ > 0 ||
                            !search.told_to_ask_.empty() ||
                            search.waits_for_silent_ || search.waits_for_list_;
    constexpr unsigned max_doublings = 2;
    const duration interval =
        std::min(state.settings_.search_interval_ *
                     (1U << std::min(search.unanswered_rounds_, max_doublings)),
                 state.settings_.max_round_interval_);
    return unanswered && now - search.asked_at_ >= interval;
}

// Ends the search. If upstreams of other flows got the segment, the owner gets
// it again with the next tick, after all of them: callers may pause after it,
// and a flow whose last segments all went to others would count as misdirected.
void finish_search(pass_balancer_state& state, const flow_key& flow,
                   host_address owner)
{
    constexpr std::size_t max_strangers = 2;
    const auto search = state.searches_.find(flow);
    if (search == state.searches_.end())
    {
        return;
    }
    if (search->second.asked_upstreams_ > max_strangers)
    {
        search->second.owner_ = owner;
        return;
    }
    state.searches_.erase(search);
}

// Sends the segment of a finished search to its owner once more.
void confirm_owner(pass_balancer_state& state, owner_search& search,
                   pass_actions& out)
{
    if (search.owner_ == host_address())
    {
        return;
    }
    state.confirmed_packets_.push_back(std::move(search.packet_));
    const std::vector<std::uint8_t>& packet = state.confirmed_packets_.back();
    out.send_to_agent(search.owner_, {packet.data(), packet.size()});
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
    if (search.owner_ != host_address())
    {
        // The agent that had confirmed the flow does not have it any more.
        search = owner_search();
    }
    const bool is_first_round = search.asked_at_ == instant();
    balancer_flow& flow = state.flows_[s.flow_];
    flow.last_active_ = now;
    flow.owner_ = host_address();
    search.packet_.assign(bytes.data_, bytes.data_ + bytes.size_);
    search.caller_sent_at_ = now;
    search.returned_by_ = returned_by;
    search.caller_expected_sequence_ = s.ack_number_;
    if (!is_first_round)
    {
        repeat_search(state, s.flow_, search, now, out);
        return;
    }
    search.scope_ = first_scope(state, s.flow_);
    const remaining_agents remaining =
        find_remaining(state, s.flow_, search, now);
    search.awaited_ = remaining.awaited_;
    ask(state, s.flow_, search, remaining.to_ask_, true, "unknown_flow",
        remaining.ruled_out_, now, out);
    advance_search(state, s.flow_, search, now, out);
}

void handle_search_tick(pass_balancer_state& state, instant now,
                        pass_actions& out)
{
    state.confirmed_packets_.clear();
    // A round may end its search, so the rounds are started after the loop.
    std::vector<flow_key> due;
    for (auto it = state.searches_.begin(); it != state.searches_.end();)
    {
        owner_search& search = it->second;
        const auto since_asked = now - search.asked_at_;
        if (now - search.caller_sent_at_ > state.settings_.search_timeout_ ||
            search.owner_ != host_address())
        {
            confirm_owner(state, search, out);
            it = state.searches_.erase(it);
            continue;
        }
        if (is_round_due(state, search, now))
        {
            due.push_back(it->first);
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
    for (const flow_key& key : due)
    {
        owner_search& search = state.searches_.at(key);
        ++search.unanswered_rounds_;
        repeat_search(state, key, search, now, out);
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
        finish_search(state, message.flow_, message.owner_);
        return;
    }
    const auto search = state.searches_.find(message.flow_);
    if (search == state.searches_.end() || flow.owner_ != host_address() ||
        flow.finished_)
    {
        return;
    }
    record_response(search->second, message.sender_, message.undecided_, now);
    advance_search(state, message.flow_, search->second, now, out);
}

void handle_search_result(pass_balancer_state& state,
                          const search_result_message& message, instant now,
                          pass_actions& out)
{
    const auto flow = state.flows_.find(message.flow_);
    const auto search = state.searches_.find(message.flow_);
    if (flow == state.flows_.end() || search == state.searches_.end() ||
        flow->second.owner_ != host_address() || flow->second.finished_)
    {
        return;
    }
    for (const host_address host : message.denied_)
    {
        record_response(search->second, host, false, now);
    }
    for (const host_address host : message.undecided_)
    {
        record_response(search->second, host, true, now);
    }
    advance_search(state, message.flow_, search->second, now, out);
}

} // namespace galenafork
