#include "agent_pvt.h"

#include <algorithm>

namespace galenafork
{

namespace pvt
{

namespace
{

void drop_packet(const forwarded_packet& packet, refusal reason,
                 agent_actions& out)
{
    out.push_back(
        refuse_packet{packet, verdict{run_state::may_have_run, reason}, false});
}

void hold_packet(agent_state& state, received_packet received, instant now,
                 refusal reason, agent_actions& out)
{
    const bool full =
        state.held_packets_.size() >= state.settings_.flow_.max_held_packets_;
    if (full || now >= received.hold_deadline_)
    {
        drop_packet(received.packet_, full ? refusal::overloaded : reason, out);
        return;
    }
    state.held_packets_.push_back(std::move(received));
}

void forward_packet(const agent_state& state, forwarded_packet packet,
                    const member& to, packet_role role, agent_actions& out)
{
    if (packet.hops_ >= max_hops)
    {
        drop_packet(packet, refusal::too_many_hops, out);
        return;
    }
    packet.sender_ = state.self_;
    packet.target_ = incarnation_of(to);
    packet.epoch_ = state.view_.roster_.epoch_;
    packet.expired_members_ = state.view_.expired_members_.incarnations_;
    packet.role_ = role;
    ++packet.hops_;
    out.push_back(forward_to_agent{std::move(packet), to.packet_endpoint_});
}

// Returns the live member that the directory names as owner of `flow`, or null.
// Removes a record whose owner is not live.
const member* find_live_owner(agent_state& state, const flow_key& flow)
{
    const auto record = state.directory_.find(flow);
    if (record == state.directory_.end())
    {
        return nullptr;
    }
    if (!is_live(state.view_, record->second.owner_))
    {
        state.directory_.erase(record);
        return nullptr;
    }
    return find_incarnation(state.view_, record->second.owner_);
}

bool accepts_new_flows(const agent_state& state)
{
    const member* self = find_incarnation(state.view_, state.self_);
    return self != nullptr && self->state_ == member_state::serving;
}

// A placement counts only if it comes from the effective home at the present
// epoch: a late one from an earlier home would give the flow a second owner.
bool accepts_placement(const agent_state& state, const forwarded_packet& packet)
{
    return packet.role_ != packet_role::to_home &&
           packet.epoch_ == state.view_.roster_.epoch_ &&
           is_effective_home(state.view_, packet.sender_,
                             bucket_of(packet.flow_)) &&
           accepts_new_flows(state);
}

void open_own_flow(agent_state& state, received_packet received, instant now,
                   agent_actions& out)
{
    const forwarded_packet& packet = received.packet_;
    state.directory_.erase(packet.flow_);
    state.owned_flows_[packet.flow_] =
        owned_flow{now, packet.fabric_, packet.placement_id_, 0};
    serve_owned_flow(state, std::move(received), now, out);
}

void place_flow(agent_state& state, received_packet received, instant now,
                agent_actions& out)
{
    forwarded_packet& packet = received.packet_;
    instance_incarnation owner = state.self_;
    if (state.choose_owner_ != nullptr)
    {
        owner = state.choose_owner_(state, bucket_of(packet.flow_), now,
                                    next_random(state));
    }
    if (owner == state.self_)
    {
        open_own_flow(state, std::move(received), now, out);
        return;
    }
    packet.placement_id_ = state.next_id_++;
    state.directory_[packet.flow_] =
        directory_record{owner, now, packet.placement_id_};
    ++state.peer_loads_[owner.instance_].assigned_since_report_;
    forward_packet(state, std::move(packet),
                   *find_incarnation(state.view_, owner),
                   packet_role::open_flow, out);
}

void route_at_home(agent_state& state, received_packet received, instant now,
                   agent_actions& out)
{
    forwarded_packet& packet = received.packet_;
    if (const member* owner = find_live_owner(state, packet.flow_))
    {
        directory_record& record = state.directory_[packet.flow_];
        record.last_packet_ = now;
        packet.placement_id_ = record.placement_id_;
        forward_packet(state, std::move(packet), *owner, packet_role::to_owner,
                       out);
        return;
    }
    if (!state.buckets_[bucket_of(packet.flow_).value()].directory_complete_)
    {
        hold_packet(state, std::move(received), now,
                    refusal::directory_incomplete, out);
        return;
    }
    if (packet.established_only_)
    {
        drop_packet(packet, refusal::unknown_service, out);
        return;
    }
    if (!holds_lease(state.lease_, state.view_, state.settings_.lease_, now))
    {
        hold_packet(state, std::move(received), now, refusal::no_lease, out);
        return;
    }
    place_flow(state, std::move(received), now, out);
}

refusal check_envelope(const agent_state& state, const forwarded_packet& packet)
{
    if (packet.service_ != state.view_.roster_.service_)
    {
        return refusal::wrong_service;
    }
    if (packet.target_.instance_ != state.self_.instance_)
    {
        return refusal::wrong_instance;
    }
    const bool is_own_incarnation =
        packet.target_.incarnation_ == state.self_.incarnation_;
    return is_own_incarnation && !state.fenced_ ? refusal::none
                                                : refusal::stale_incarnation;
}

} // namespace

void serve_owned_flow(agent_state& state, received_packet received, instant now,
                      agent_actions& out)
{
    const forwarded_packet& packet = received.packet_;
    owned_flow& flow = state.owned_flows_[packet.flow_];
    flow.last_packet_ = now;
    flow.fabric_ = packet.fabric_;
    flow.placement_id_ = std::max(flow.placement_id_, packet.placement_id_);
    // An owner without a lease may have expired without having noticed, and the
    // flow may have another owner by now.
    if (!holds_lease(state.lease_, state.view_, state.settings_.lease_, now))
    {
        hold_packet(state, std::move(received), now, refusal::no_lease, out);
        return;
    }
    const auto& request = received.request_;
    if (request && !request->idempotent_)
    {
        handle_non_idempotent_request(state, packet, *request, now, out);
        return;
    }
    if (request)
    {
        ++flow.in_flight_;
    }
    out.push_back(send_to_upstream{std::move(received.packet_), request, {}});
}

void route_packet(agent_state& state, received_packet received, instant now,
                  agent_actions& out)
{
    forwarded_packet& packet = received.packet_;
    if (state.owned_flows_.count(packet.flow_) != 0)
    {
        serve_owned_flow(state, std::move(received), now, out);
        return;
    }
    if (packet.epoch_ > state.view_.roster_.epoch_)
    {
        hold_packet(state, std::move(received), now,
                    refusal::directory_incomplete, out);
        return;
    }
    if (accepts_placement(state, packet))
    {
        open_own_flow(state, std::move(received), now, out);
        return;
    }
    const bucket_id bucket = bucket_of(packet.flow_);
    const member* home = effective_home_of(
        state.view_.roster_, state.view_.expired_members_, bucket);
    if (home == nullptr)
    {
        hold_packet(state, std::move(received), now, refusal::no_home, out);
        return;
    }
    if (incarnation_of(*home) == state.self_)
    {
        route_at_home(state, std::move(received), now, out);
        return;
    }
    if (packet.role_ != packet_role::to_home &&
        incarnation_of(*home) == packet.sender_)
    {
        // The home's directory names this member as owner by mistake. The
        // message removes the record, so that the home chooses an owner again.
        send_to(state, *home, flow_closed{packet.flow_, packet.placement_id_},
                out);
    }
    if (packet.hops_ == 0)
    {
        notify_balancer(state, packet.balancer_, refusal::none, now, out);
    }
    forward_packet(state, std::move(packet), *home, packet_role::to_home, out);
}

void retry_held_packets(agent_state& state, instant now, agent_actions& out)
{
    std::deque<received_packet> held;
    held.swap(state.held_packets_);
    for (received_packet& received : held)
    {
        route_packet(state, std::move(received), now, out);
    }
}

void notify_balancer(agent_state& state, const endpoint& balancer,
                     refusal reason, instant now, agent_actions& out)
{
    const auto last_notice = state.balancers_.find(balancer);
    const bool too_soon =
        last_notice != state.balancers_.end() &&
        now < last_notice->second + state.settings_.flow_.notice_interval_;
    if (balancer.port_ == 0 || too_soon)
    {
        return;
    }
    state.balancers_[balancer] = now;
    stale_notice notice{
        state.view_.roster_.service_, state.view_.roster_.epoch_, {}, reason};
    for (const member& m : state.view_.roster_.members_)
    {
        if (state.view_.expired_members_.contains(m))
        {
            notice.expired_members_.push_back(incarnation_of(m));
        }
    }
    out.push_back(send_stale_notice{std::move(notice), balancer});
}

} // namespace pvt

agent_actions on_packet(agent_state& state, forwarded_packet packet,
                        std::optional<request_info> request, instant now)
{
    agent_actions out;
    const refusal mismatch = pvt::check_envelope(state, packet);
    if (mismatch != refusal::none)
    {
        pvt::notify_balancer(state, packet.balancer_, mismatch, now, out);
        pvt::drop_packet(packet, mismatch, out);
        return out;
    }
    if (packet.epoch_ > state.view_.roster_.epoch_)
    {
        out.push_back(fetch_roster{packet.epoch_});
    }
    if (packet.balancer_.port_ != 0)
    {
        // A time this early allows the first notice to be sent at once.
        state.balancers_.emplace(packet.balancer_,
                                 now - state.settings_.flow_.notice_interval_);
        if (packet.hops_ == 0 && packet.epoch_ < state.view_.roster_.epoch_)
        {
            pvt::notify_balancer(state, packet.balancer_, refusal::none, now,
                                 out);
        }
    }
    pvt::apply_expired_members(state, packet.expired_members_, now, out);
    if (state.fenced_)
    {
        pvt::drop_packet(packet, refusal::stale_incarnation, out);
        return out;
    }
    const instant deadline = now + state.settings_.flow_.hold_time_;
    pvt::route_packet(
        state, received_packet{std::move(packet), std::move(request), deadline},
        now, out);
    return out;
}

} // namespace galenafork
