#include "agent_pvt.h"

#include <algorithm>

namespace galenafork
{

namespace pvt
{

namespace
{

// With up to max_full_mesh_peers peers, each heartbeat goes to all of them.
// With more, it goes to the watchers and to rotating_peers_per_round others in
// turn, which keeps a node's control traffic within 17 KB/s.
constexpr std::size_t max_full_mesh_peers = 6;
constexpr std::size_t rotating_peers_per_round = 2;

constexpr duration sweep_interval = std::chrono::seconds(1);
constexpr duration removal_request_interval = std::chrono::seconds(1);
// Members request a removal one after another, so that usually a single write
// to the platform is enough.
constexpr duration removal_request_stagger = std::chrono::milliseconds(400);

void fence(agent_state& state, agent_actions& out)
{
    if (!state.fenced_)
    {
        state.fenced_ = true;
        out.push_back(rejoin_service{});
    }
}

void notify_all_balancers(agent_state& state, instant now, agent_actions& out)
{
    std::vector<endpoint> all;
    for (const auto& [balancer, notified_at] : state.balancers_)
    {
        all.push_back(balancer);
    }
    for (const endpoint& balancer : all)
    {
        notify_balancer(state, balancer, refusal::none, now, out);
    }
}

std::vector<const member*> heartbeat_targets(const agent_state& state)
{
    auto peers = live_peers(state.view_, state.self_);
    // A member without a lease may need the acks of all live peers to regain
    // it.
    if (peers.size() <= max_full_mesh_peers || state.lease_.missing_since_)
    {
        return peers;
    }
    const member* self = find_incarnation(state.view_, state.self_);
    std::vector<const member*> targets;
    for (const instance_id& watcher : self->watchers_)
    {
        if (const member* m = find_member(state.view_.roster_, watcher))
        {
            targets.push_back(m);
        }
    }
    for (std::size_t i = 0; i < rotating_peers_per_round; ++i)
    {
        const std::size_t turn =
            state.lease_.next_sequence_ * rotating_peers_per_round + i;
        targets.push_back(peers[turn % peers.size()]);
    }
    return targets;
}

void send_heartbeats(agent_state& state, instant now, agent_actions& out)
{
    const duration interval = state.settings_.lease_.heartbeat_interval_;
    if (state.last_heartbeat_ && now < *state.last_heartbeat_ + interval)
    {
        return;
    }
    state.last_heartbeat_ = now;
    const auto targets = heartbeat_targets(state);
    const std::uint64_t sequence = register_heartbeat(state.lease_, now);
    for (const member* peer : targets)
    {
        send_to(state, *peer, heartbeat{sequence, state.load_}, out);
    }
}

void send_expiry_promises(agent_state& state, instant now, agent_actions& out)
{
    const auto due = make_expiry_promises(
        state.lease_, state.watch_, state.view_, state.settings_.lease_, now);
    for (const expiry_promise& promise : due)
    {
        for (const member* peer : live_peers(state.view_, state.self_))
        {
            send_to(state, *peer, promise, out);
        }
    }
}

std::size_t rank_among_live_members(const agent_state& state)
{
    std::size_t rank = 0;
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        rank += peer->instance_ < state.self_.instance_ ? 1 : 0;
    }
    return rank;
}

void request_member_removal(agent_state& state,
                            const instance_incarnation& lost, instant now,
                            agent_actions& out)
{
    const auto requested = state.removal_request_times_.find(lost);
    if (requested != state.removal_request_times_.end() &&
        now < requested->second + removal_request_interval)
    {
        return;
    }
    state.removal_request_times_[lost] = now;
    out.push_back(request_removal{lost});
}

void request_member_removals(agent_state& state, instant now,
                             agent_actions& out)
{
    const auto wait = removal_request_stagger *
                      static_cast<int>(rank_among_live_members(state));
    for (const instance_incarnation& expired :
         state.view_.expired_members_.incarnations_)
    {
        const auto recorded = state.watch_.expiry_recorded_at_.find(expired);
        const bool due = recorded != state.watch_.expiry_recorded_at_.end() &&
                         now >= recorded->second + wait;
        if (due && find_incarnation(state.view_, expired) != nullptr)
        {
            request_member_removal(state, expired, now, out);
        }
    }
    for (const instance_incarnation& unreachable : find_unreachable(
             state.lease_, state.view_, state.settings_.lease_, now))
    {
        request_member_removal(state, unreachable, now, out);
    }
}

// Fetches the newest roster while the lease is missing: a roster that this
// member has not received may have removed it.
void request_newer_roster(agent_state& state, instant now, agent_actions& out)
{
    const auto& missing = state.lease_.missing_since_;
    const duration interval = state.settings_.lease_.lease_length_ / 2;
    if (!missing || now < *missing + interval ||
        (state.last_roster_fetch_ &&
         now < *state.last_roster_fetch_ + interval))
    {
        return;
    }
    state.last_roster_fetch_ = now;
    out.push_back(fetch_roster{epoch(state.view_.roster_.epoch_.value() + 1)});
}

void sweep_expired_state(agent_state& state, instant now, agent_actions& out)
{
    if (state.last_sweep_ && now < *state.last_sweep_ + sweep_interval)
    {
        return;
    }
    state.last_sweep_ = now;
    expire_entries(state.journal_, now);
    const duration idle = state.settings_.flow_.idle_timeout_;
    for (auto at = state.owned_flows_.begin(); at != state.owned_flows_.end();)
    {
        if (now < at->second.last_packet_ + idle)
        {
            ++at;
            continue;
        }
        out.push_back(close_flow{at->first});
        const member* home =
            effective_home_of(state.view_.roster_, state.view_.expired_members_,
                              bucket_of(at->first));
        if (home != nullptr && incarnation_of(*home) != state.self_)
        {
            send_to(state, *home,
                    flow_closed{at->first, at->second.placement_id_}, out);
        }
        at = state.owned_flows_.erase(at);
    }
    for (auto at = state.directory_.begin(); at != state.directory_.end();)
    {
        // The owner ends an idle flow first and reports it. The longer timeout
        // removes flows whose report was lost.
        const bool stale = now >= at->second.last_packet_ + 2 * idle;
        at = stale ? state.directory_.erase(at) : std::next(at);
    }
}

void record_peer_load(agent_state& state, const peer_header& from,
                      const load_report& load, instant now)
{
    state.peer_loads_[from.sender_.instance_] = peer_load{load, now, 0};
}

void handle_heartbeat(agent_state& state, const peer_header& from,
                      const heartbeat& received, instant now,
                      agent_actions& out)
{
    const member* sender =
        find_member(state.view_.roster_, from.sender_.instance_);
    if (sender == nullptr)
    {
        return;
    }
    if (!is_live(state.view_, from.sender_))
    {
        // The header of this message lists the expired members, by which the
        // sender can find out that it has expired.
        member expired = *sender;
        expired.incarnation_ = from.sender_.incarnation_;
        send_to(state, expired, heartbeat{0, {}}, out);
        return;
    }
    record_peer_load(state, from, received.load_, now);
    const bool grants =
        holds_lease(state.lease_, state.view_, state.settings_.lease_, now);
    if (has_promised_expiry(state.watch_, from.sender_))
    {
        send_to(state, *sender, expiry_promise{from.sender_}, out);
    }
    if (try_ack_heartbeat(state.watch_, state.view_, from.sender_, now))
    {
        send_to(state, *sender,
                heartbeat_ack{received.sequence_, state.load_, grants}, out);
    }
}

// Handles the body of a peer message, with one overload for each kind.
struct peer_message_handler
{
    agent_state& state_;
    const peer_header& from_;
    instant now_;
    agent_actions& out_;

    void operator()(const heartbeat& m) const
    {
        handle_heartbeat(state_, from_, m, now_, out_);
    }
    void operator()(const heartbeat_ack& m) const
    {
        record_peer_load(state_, from_, m.load_, now_);
        handle_heartbeat_ack(state_.lease_, state_.view_, from_.sender_,
                             from_.epoch_, m);
    }
    void operator()(const expiry_promise& m) const
    {
        // Ignores promises made under a newer roster until that roster has been
        // applied; the watcher sends its promise again.
        if (from_.epoch_ <= state_.view_.roster_.epoch_)
        {
            record_expiry_promise(state_.watch_, m.expired_member_,
                                  from_.sender_.instance_, from_.epoch_);
        }
    }
    void operator()(const ownership_query& m) const
    {
        reply_to_ownership_query(state_, from_, m, now_, out_);
    }
    void operator()(const ownership_reply& m) const
    {
        handle_ownership_reply(state_, from_, m, now_, out_);
    }
    void operator()(const flow_closed& m) const
    {
        const auto found = state_.directory_.find(m.flow_);
        if (found != state_.directory_.end() &&
            found->second.owner_ == from_.sender_ &&
            found->second.placement_id_ == m.placement_id_)
        {
            state_.directory_.erase(found);
        }
    }
    void operator()(const journal_record& m) const
    {
        handle_journal_record(state_, from_, m, now_, out_);
    }
    void operator()(const journal_ack& m) const
    {
        handle_journal_ack(state_, from_, m, now_, out_);
    }
    void operator()(const journal_sync& m) const
    {
        handle_journal_sync(state_, from_, m, now_, out_);
    }
    void operator()(const journal_sync_ack& m) const
    {
        handle_journal_sync_ack(state_, from_, m);
    }
};

bool has_left(const roster& r, const instance_incarnation& former_member)
{
    return std::find(r.recent_departures_.begin(), r.recent_departures_.end(),
                     former_member) != r.recent_departures_.end();
}

// Returns the serving and draining members that are absent from the new roster
// without having left; they are treated like expired ones.
std::vector<instance_incarnation> find_lost_members(const roster& before,
                                                    const member_view& after)
{
    std::vector<instance_incarnation> lost;
    for (const member& m : before.members_)
    {
        if (m.state_ != member_state::joining &&
            find_incarnation(after, incarnation_of(m)) == nullptr &&
            !has_left(after.roster_, incarnation_of(m)))
        {
            lost.push_back(incarnation_of(m));
        }
    }
    return lost;
}

void move_to_new_incarnation(agent_state& state,
                             const instance_incarnation& old)
{
    for (auto& [key, stored] : state.journal_.entries_)
    {
        if (stored.entry_.owner_ == old)
        {
            stored.entry_.owner_ = state.self_;
        }
    }
    state.pending_records_.clear();
    for (bucket_state& bucket : state.buckets_)
    {
        if (bucket.last_home_ == old)
        {
            bucket.last_home_ = state.self_;
        }
    }
}

// Discards what may be out of date after skipped epochs: in one of them a
// bucket may have had another home.
void invalidate_buckets(agent_state& state)
{
    for (bucket_state& bucket : state.buckets_)
    {
        bucket.directory_complete_ = false;
        bucket.copied_home_.reset();
        bucket.last_home_.reset();
    }
}

// True if the roster still contains this agent. Switches to the agent's next
// incarnation if the roster renewed it.
bool update_own_incarnation(agent_state& state, const roster& next)
{
    const member* self = find_member(next, state.self_.instance_);
    if (self == nullptr)
    {
        return false;
    }
    if (self->incarnation_ == state.self_.incarnation_)
    {
        return true;
    }
    if (self->incarnation_ != next_incarnation(state.self_.incarnation_))
    {
        return false;
    }
    const instance_incarnation old = state.self_;
    state.self_ = incarnation_of(*self);
    state.lease_.self_ = state.self_;
    state.lease_.active_watchers_.clear();
    move_to_new_incarnation(state, old);
    return true;
}

} // namespace

void record_member_losses(agent_state& state,
                          const std::vector<instance_incarnation>& lost,
                          instant now)
{
    for (const instance_incarnation& lost_member : lost)
    {
        const member* m = find_incarnation(state.view_, lost_member);
        const bool was_joining =
            m != nullptr && m->state_ == member_state::joining;
        if (!was_joining)
        {
            state.member_loss_times_.emplace(lost_member, now);
        }
    }
}

void apply_expired_members(agent_state& state,
                           const std::vector<instance_incarnation>& expired,
                           instant now, agent_actions& out)
{
    record_member_losses(state, newly_expired(state.view_, expired), now);
    if (!add_expired_members(state.view_, expired))
    {
        return;
    }
    if (!is_live(state.view_, state.self_))
    {
        fence(state, out);
        return;
    }
    apply_view_change(state, now, out);
    notify_all_balancers(state, now, out);
    retry_held_packets(state, now, out);
}

void send_to(const agent_state& state, const member& peer, peer_body body,
             agent_actions& out)
{
    const peer_header header{state.view_.roster_.service_, state.self_,
                             incarnation_of(peer), state.view_.roster_.epoch_,
                             state.view_.expired_members_.incarnations_};
    out.push_back(send_peer_message{peer_message{header, std::move(body)},
                                    peer.packet_endpoint_});
}

std::uint64_t next_random(agent_state& state)
{
    // SplitMix64.
    state.random_state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t x = state.random_state_;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

} // namespace pvt

agent_state make_agent(const agent_settings& settings,
                       const instance_incarnation& self,
                       const roster& initial_roster, instant join_requested_at,
                       std::uint64_t seed)
{
    agent_state state;
    state.settings_ = settings;
    state.self_ = self;
    state.lease_.self_ = self;
    state.lease_.join_requested_at_ = join_requested_at;
    state.view_.roster_ = initial_roster;
    state.random_state_ = seed;
    state.next_id_ = 1;
    agent_actions unsent;
    pvt::apply_view_change(state, join_requested_at, unsent);
    return state;
}

agent_actions on_roster(agent_state& state, const roster& next, instant now)
{
    agent_actions out;
    if (state.fenced_ || next.epoch_ <= state.view_.roster_.epoch_)
    {
        return out;
    }
    if (!pvt::update_own_incarnation(state, next))
    {
        pvt::fence(state, out);
        return out;
    }
    const roster before = std::move(state.view_.roster_);
    state.view_.roster_ = next;
    if (next.epoch_.value() != before.epoch_.value() + 1)
    {
        pvt::invalidate_buckets(state);
    }
    const auto lost = pvt::find_lost_members(before, state.view_);
    for (const instance_incarnation& lost_member : lost)
    {
        state.member_loss_times_.emplace(lost_member, now);
    }
    add_expired_members(state.view_, lost);
    pvt::apply_view_change(state, now, out);
    pvt::notify_all_balancers(state, now, out);
    pvt::retry_held_packets(state, now, out);
    return out;
}

agent_actions on_peer_message(agent_state& state, const peer_message& message,
                              instant now)
{
    agent_actions out;
    const peer_header& from = message.header_;
    const bool for_self = from.service_ == state.view_.roster_.service_ &&
                          from.target_ == state.self_;
    if (!for_self || state.fenced_)
    {
        return out;
    }
    if (from.epoch_ > state.view_.roster_.epoch_)
    {
        out.push_back(fetch_roster{from.epoch_});
    }
    pvt::apply_expired_members(state, from.expired_members_, now, out);
    if (!state.fenced_)
    {
        std::visit(pvt::peer_message_handler{state, from, now, out},
                   message.body_);
    }
    return out;
}

agent_actions on_tick(agent_state& state, instant now)
{
    agent_actions out;
    if (state.fenced_)
    {
        return out;
    }
    const lease_settings& lease = state.settings_.lease_;
    if (is_self_expired(state.lease_, state.watch_, state.view_))
    {
        pvt::fence(state, out);
        return out;
    }
    update_lease_state(state.lease_, state.watch_, state.view_, lease, now);
    pvt::send_heartbeats(state, now, out);
    pvt::send_expiry_promises(state, now, out);
    pvt::apply_expired_members(
        state, find_expired(state.watch_, state.view_, lease, now), now, out);
    pvt::request_newer_roster(state, now, out);
    pvt::request_member_removals(state, now, out);
    pvt::send_ownership_query(state, now, out);
    pvt::send_journal_syncs(state, now, out);
    pvt::resend_pending_records(state, now, out);
    pvt::retry_held_packets(state, now, out);
    pvt::sweep_expired_state(state, now, out);
    return out;
}

bool may_leave(const agent_state& state)
{
    const auto& entries = state.journal_.entries_;
    return state.owned_flows_.empty() &&
           std::none_of(entries.begin(), entries.end(),
                        [&](const auto& entry)
                        { return entry.second.entry_.owner_ == state.self_; });
}

} // namespace galenafork
