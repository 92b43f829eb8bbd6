#include "service_fixture.h"

namespace galenafork::testing
{

namespace
{

constexpr std::uint32_t permille = 1000;

const instance_id balancer_id("balancer");

instant after(instant t, duration d)
{
    return t + d;
}

} // namespace

flow_key make_flow(int n)
{
    flow_key flow;
    flow.caller_.address_ = make_v4(10, 1, static_cast<std::uint8_t>(n / 250),
                                    static_cast<std::uint8_t>(n % 250));
    flow.caller_.port_ = 4000;
    flow.service_address_ = *parse_endpoint("10.9.0.1:5683");
    return flow;
}

request_info make_post(const flow_key& flow, std::uint16_t id)
{
    request_key key{flow, id, {static_cast<std::uint8_t>(id)}};
    return request_info{key, false};
}

service_fixture::service_fixture(int members, network_faults faults)
    : faults_(faults), random_state_(faults.seed_)
{
    platform_roster_ = make_roster(members);
    for (const member& m : platform_roster_.members_)
    {
        agents_.emplace(m.instance_,
                        make_agent({}, incarnation_of(m), platform_roster_,
                                   now_, next_random()));
    }
    run_for(std::chrono::milliseconds(500));
}

std::uint64_t service_fixture::next_random()
{
    random_state_ = random_state_ * 6364136223846793005U + 1442695040888963407U;
    return random_state_ >> 33U;
}

void service_fixture::run_for(duration span)
{
    const instant end = now_ + span;
    while (now_ < end)
    {
        now_ += tick_interval_;
        deliver_due_rosters();
        deliver_due();
        tick_agents();
    }
}

void service_fixture::deliver_due()
{
    while (!network_.empty() && network_.begin()->first <= now_)
    {
        const event next = std::move(network_.begin()->second);
        network_.erase(network_.begin());
        if (killed_.count(next.to_) != 0)
        {
            continue;
        }
        if (paused_.count(next.to_) != 0)
        {
            network_.emplace(now_ + tick_interval_, next);
            continue;
        }
        agent_state& agent = agents_.at(next.to_);
        const auto* packet = std::get_if<forwarded_packet>(&next.message_);
        const auto* message = std::get_if<peer_message>(&next.message_);
        if (packet != nullptr)
        {
            perform_actions(next.to_,
                            on_packet(agent, *packet, next.request_, now_));
        }
        if (message != nullptr)
        {
            perform_actions(next.to_, on_peer_message(agent, *message, now_));
        }
    }
}

void service_fixture::tick_agents()
{
    for (auto& [id, agent] : agents_)
    {
        if (killed_.count(id) == 0 && paused_.count(id) == 0)
        {
            perform_actions(id, on_tick(agent, now_));
        }
    }
}

void service_fixture::deliver_due_rosters()
{
    for (auto at = roster_due_at_.begin(); at != roster_due_at_.end();)
    {
        const instance_id id = at->first;
        const bool due = at->second <= now_ && paused_.count(id) == 0;
        if (!due)
        {
            ++at;
            continue;
        }
        at = roster_due_at_.erase(at);
        if (killed_.count(id) == 0)
        {
            perform_actions(id,
                            on_roster(agents_.at(id), platform_roster_, now_));
        }
    }
}

void service_fixture::send(const flow_key& flow,
                           std::optional<request_info> request,
                           const roster& balancer_roster)
{
    const member* home = effective_home_of(
        balancer_roster, balancer_expired_members_, bucket_of(flow));
    if (home == nullptr)
    {
        ++dropped_packets_;
        return;
    }
    forwarded_packet packet;
    packet.service_ = balancer_roster.service_;
    packet.target_ = incarnation_of(*home);
    packet.epoch_ = balancer_roster.epoch_;
    packet.flow_ = flow;
    if (request)
    {
        packet.payload_ = {
            static_cast<std::uint8_t>(request->key_.message_id_)};
    }
    packet.balancer_ = *parse_endpoint("127.0.0.1:1");
    packet.fabric_ = *parse_endpoint("127.0.0.1:2");
    send_datagram(balancer_id, home->packet_endpoint_, packet, request);
}

void service_fixture::send(const flow_key& flow,
                           std::optional<request_info> request)
{
    send(flow, std::move(request), platform_roster_);
}

void service_fixture::send_datagram(const instance_id& from, const endpoint& to,
                                    datagram message,
                                    const std::optional<request_info>& request)
{
    for (const auto& [id, agent] : agents_)
    {
        const int number = std::stoi(id.value().substr(7));
        if (make_member(number).packet_endpoint_ != to)
        {
            continue;
        }
        const bool is_cut = cut_links_.count({from, id}) != 0;
        const bool is_lost = next_random() % permille < faults_.lost_permille_;
        if (is_cut || (is_lost && from != balancer_id))
        {
            return;
        }
        const bool is_delayed =
            next_random() % permille < faults_.delayed_permille_;
        const instant arrives_at =
            after(now_, faults_.delay_ +
                            (is_delayed ? faults_.extra_delay_ : duration{}));
        if (next_random() % permille < faults_.duplicated_permille_)
        {
            network_.emplace(after(arrives_at, faults_.extra_delay_),
                             event{id, arrives_at, message, request});
        }
        network_.emplace(arrives_at,
                         event{id, arrives_at, std::move(message), request});
        return;
    }
}

void service_fixture::change(roster_change_kind kind,
                             const instance_id& instance, duration delay)
{
    const member* m = find_member(platform_roster_, instance);
    if (m == nullptr)
    {
        return;
    }
    const auto next = apply(platform_roster_, roster_change{kind, *m, {}});
    if (!next)
    {
        return;
    }
    platform_roster_ = *next;
    for (const auto& [id, agent] : agents_)
    {
        roster_due_at_[id] = now_ + delay;
    }
}

void service_fixture::join(int n)
{
    const member m = make_member(n);
    platform_roster_ = *apply(platform_roster_, join_change(m));
    agents_.emplace(m.instance_,
                    make_agent({}, incarnation_of(m), platform_roster_, now_,
                               next_random()));
    for (const auto& [id, agent] : agents_)
    {
        roster_due_at_[id] =
            now_ + std::chrono::milliseconds(next_random() % 100);
    }
}

void service_fixture::kill(const instance_id& instance)
{
    killed_.insert(instance);
}

void service_fixture::pause(const instance_id& instance)
{
    paused_.insert(instance);
}

void service_fixture::resume(const instance_id& instance)
{
    paused_.erase(instance);
}

void service_fixture::cut(const instance_id& a, const instance_id& b)
{
    cut_links_.insert({a, b});
    cut_links_.insert({b, a});
}

std::vector<instance_id> service_fixture::owners_of(const flow_key& flow) const
{
    std::vector<instance_id> owners;
    for (const auto& [id, agent] : agents_)
    {
        const bool is_active = killed_.count(id) == 0 && !agent.fenced_;
        if (is_active && agent.owned_flows_.count(flow) != 0)
        {
            owners.push_back(id);
        }
    }
    return owners;
}

void service_fixture::perform_actions(const instance_id& from,
                                      const agent_actions& actions)
{
    for (const agent_action& action : actions)
    {
        if (const auto* peer = std::get_if<send_peer_message>(&action))
        {
            send_datagram(from, peer->to_, peer->message_, {});
        }
        else if (const auto* packet = std::get_if<forward_to_agent>(&action))
        {
            ++forwarded_packets_;
            const auto& payload = packet->packet_.payload_;
            std::optional<request_info> request;
            if (!payload.empty())
            {
                request = make_post(packet->packet_.flow_, payload.front());
            }
            send_datagram(from, packet->to_, packet->packet_, request);
        }
        else if (const auto* notice = std::get_if<send_stale_notice>(&action))
        {
            const auto& expired = notice->notice_.expired_members_;
            auto& merged = balancer_expired_members_.incarnations_;
            merged.insert(merged.end(), expired.begin(), expired.end());
        }
        else if (const auto* run = std::get_if<send_to_upstream>(&action))
        {
            served_by_[run->packet_.flow_].push_back(from);
            const auto& request = run->request_;
            if (request && !request->idempotent_)
            {
                runs_.push_back(upstream_run{from, request->key_});
                if (upstream_answers_)
                {
                    ++answer_counts_[request->key_];
                    perform_actions(from, on_upstream_answer(agents_.at(from),
                                                             run->packet_.flow_,
                                                             request->key_, {1},
                                                             now_));
                }
            }
        }
        else if (const auto* refused = std::get_if<refuse_packet>(&action))
        {
            const auto& bytes = refused->packet_.payload_;
            if (refused->notify_caller_ && !bytes.empty())
            {
                const auto r = make_post(refused->packet_.flow_, bytes.front());
                refusals_[r.key_].push_back(refused->verdict_);
            }
            dropped_packets_ += refused->notify_caller_ ? 0 : 1;
        }
        else if (const auto* stored = std::get_if<send_stored_answer>(&action))
        {
            ++stored_answers_[request_key{stored->flow_, 0, {}}];
        }
        else if (const auto* removal = std::get_if<request_removal>(&action))
        {
            const member* m =
                find_member(platform_roster_, removal->lost_member_.instance_);
            if (platform_up_ && m != nullptr &&
                incarnation_of(*m) == removal->lost_member_)
            {
                change(roster_change_kind::remove, m->instance_);
            }
        }
        else if (std::get_if<fetch_roster>(&action) != nullptr)
        {
            roster_due_at_.emplace(from, now_ + std::chrono::milliseconds(2));
        }
    }
}

} // namespace galenafork::testing
