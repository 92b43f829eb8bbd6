#include "agent_pvt.h"

#include <algorithm>

namespace galenafork
{

namespace pvt
{

namespace
{

// Up to so many peers all get every heartbeat; with more only the watchers do
// and, in turn, so many others. Keeps a node's control traffic within 17 KB/s.
constexpr std::size_t all_pairs_limit = 6;
constexpr std::size_t others_per_round = 2;

constexpr duration sweep_interval = std::chrono::seconds(1);
constexpr duration removal_interval = std::chrono::seconds(1);
// Members ask for a removal one after another, so that mostly one write does.
constexpr duration removal_stagger = std::chrono::milliseconds(400);

void fence(agent_state& state, agent_actions& out)
{
    if (!state.fenced_)
    {
        state.fenced_ = true;
        out.push_back(rejoin_service{});
    }
}

void tell_all_balancers(agent_state& state, instant now, agent_actions& out)
{
    std::vector<endpoint> all;
    for (const auto& [balancer, noticed] : state.balancers_)
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
    // Without a lease only the acks of all bring it back.
    if (peers.size() <= all_pairs_limit || state.lease_.missing_since_)
    {
        return peers;
    }
    const member* self = find_incarnation(state.view_, state.self_);
    std::vector<const member*> chosen;
    for (const instance_id& watcher : self->watchers_)
    {
        if (const member* m = find_member(state.view_.roster_, watcher))
        {
            chosen.push_back(m);
        }
    }
    for (std::size_t i = 0; i < others_per_round; ++i)
    {
        const std::size_t turn =
            state.lease_.next_sequence_ * others_per_round + i;
        chosen.push_back(peers[turn % peers.size()]);
    }
    return chosen;
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

void send_promises(agent_state& state, instant now, agent_actions& out)
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

std::size_t rank_among_live(const agent_state& state)
{
    std::size_t rank = 0;
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        rank += peer->instance_ < state.self_.instance_ ? 1 : 0;
    }
    return rank;
}

void ask_removal(agent_state& state, const instance_incarnation& life,
                 instant now, agent_actions& out)
{
    const auto asked = state.removal_request_times_.find(life);
    if (asked != state.removal_request_times_.end() &&
        now < asked->second + removal_interval)
    {
        return;
    }
    state.removal_request_times_[life] = now;
    out.push_back(request_removal{life});
}

void ask_removals(agent_state& state, instant now, agent_actions& out)
{
    const auto wait =
        removal_stagger * static_cast<int>(rank_among_live(state));
    for (const instance_incarnation& life :
         state.view_.expired_members_.incarnations_)
    {
        const auto learned = state.watch_.expiry_learned_at_.find(life);
        const bool due = learned != state.watch_.expiry_learned_at_.end() &&
                         now >= learned->second + wait;
        if (due && find_incarnation(state.view_, life) != nullptr)
        {
            ask_removal(state, life, now, out);
        }
    }
    for (const instance_incarnation& life : find_unreachable(
             state.lease_, state.view_, state.settings_.lease_, now))
    {
        ask_removal(state, life, now, out);
    }
}

// A member that nobody acks may have been removed without hearing of it.
void ask_for_news(agent_state& state, instant now, agent_actions& out)
{
    const auto& missing = state.lease_.missing_since_;
    const duration patience = state.settings_.lease_.lease_length_ / 2;
    if (!missing || now < *missing + patience ||
        (state.last_roster_fetch_ &&
         now < *state.last_roster_fetch_ + patience))
    {
        return;
    }
    state.last_roster_fetch_ = now;
    out.push_back(fetch_roster{epoch(state.view_.roster_.epoch_.value() + 1)});
}

void sweep(agent_state& state, instant now, agent_actions& out)
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
        // The owner ends a flow first; this only drops what it forgot to say.
        const bool stale = now >= at->second.last_packet_ + 2 * idle;
        at = stale ? state.directory_.erase(at) : std::next(at);
    }
}

void take_load(agent_state& state, const peer_header& from,
               const load_report& load, instant now)
{
    state.peer_loads_[from.sender_.instance_] = peer_load{load, now, 0};
}

void take_heartbeat(agent_state& state, const peer_header& from,
                    const heartbeat& beat, instant now, agent_actions& out)
{
    const member* sender =
        find_member(state.view_.roster_, from.sender_.instance_);
    if (sender == nullptr)
    {
        return;
    }
    if (!is_live(state.view_, from.sender_))
    {
        // Let it know its fate; it takes its own lapse from the list.
        member past = *sender;
        past.incarnation_ = from.sender_.incarnation_;
        send_to(state, past, heartbeat{0, {}}, out);
        return;
    }
    take_load(state, from, beat.load_, now);
    const bool grants =
        holds_lease(state.lease_, state.view_, state.settings_.lease_, now);
    if (has_promised_expiry(state.watch_, from.sender_))
    {
        send_to(state, *sender, expiry_promise{from.sender_}, out);
    }
    if (try_ack_heartbeat(state.watch_, state.view_, from.sender_, now))
    {
        send_to(state, *sender,
                heartbeat_ack{beat.sequence_, state.load_, grants}, out);
    }
}

// One handler for each kind of message.
struct peer_handler
{
    agent_state& state_;
    const peer_header& from_;
    instant now_;
    agent_actions& out_;

    void operator()(const heartbeat& m) const
    {
        take_heartbeat(state_, from_, m, now_, out_);
    }
    void operator()(const heartbeat_ack& m) const
    {
        take_load(state_, from_, m.load_, now_);
        handle_heartbeat_ack(state_.lease_, state_.view_, from_.sender_,
                             from_.epoch_, m);
    }
    void operator()(const expiry_promise& m) const
    {
        // Promises made under a newer roster wait until it is here.
        if (from_.epoch_ <= state_.view_.roster_.epoch_)
        {
            record_expiry_promise(state_.watch_, m.expired_member_,
                                  from_.sender_.instance_, from_.epoch_);
        }
    }
    void operator()(const ownership_query& m) const
    {
        answer_query(state_, from_, m, now_, out_);
    }
    void operator()(const ownership_reply& m) const
    {
        take_reply(state_, from_, m, now_, out_);
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
        take_record(state_, from_, m, now_, out_);
    }
    void operator()(const journal_ack& m) const
    {
        take_record_ack(state_, from_, m, now_, out_);
    }
    void operator()(const journal_sync& m) const
    {
        take_sync(state_, from_, m, now_, out_);
    }
    void operator()(const journal_sync_ack& m) const
    {
        take_sync_ack(state_, from_, m);
    }
};

bool has_left(const roster& r, const instance_incarnation& life)
{
    return std::find(r.recent_departures_.begin(), r.recent_departures_.end(),
                     life) != r.recent_departures_.end();
}

// Members that vanished without having left are as lost as lapsed ones.
std::vector<instance_incarnation> lost_between(const roster& before,
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

void rename_own_entries(agent_state& state, const instance_incarnation& old)
{
    for (auto& [key, kept] : state.journal_.entries_)
    {
        if (kept.entry_.owner_ == old)
        {
            kept.entry_.owner_ = state.self_;
        }
    }
    state.pending_records_.clear();
    for (bucket_state& part : state.buckets_)
    {
        if (part.last_home_ == old)
        {
            part.last_home_ = state.self_;
        }
    }
}

// A member that skipped epochs may have lost a bucket in between: what it
// knows of its buckets may be old.
void distrust_buckets(agent_state& state)
{
    for (bucket_state& part : state.buckets_)
    {
        part.directory_complete_ = false;
        part.copied_home_.reset();
        part.last_home_.reset();
    }
}

// True if the roster still names this agent; takes over an incarnation that
// the roster renewed.
bool find_self(agent_state& state, const roster& next)
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
    rename_own_entries(state, old);
    return true;
}

} // namespace

void note_losses(agent_state& state,
                 const std::vector<instance_incarnation>& lives, instant now)
{
    for (const instance_incarnation& life : lives)
    {
        const member* m = find_incarnation(state.view_, life);
        const bool was_joining =
            m != nullptr && m->state_ == member_state::joining;
        if (!was_joining)
        {
            state.member_loss_times_.emplace(life, now);
        }
    }
}

void learn_lapsed(agent_state& state,
                  const std::vector<instance_incarnation>& lives, instant now,
                  agent_actions& out)
{
    note_losses(state, newly_expired(state.view_, lives), now);
    if (!merge_expired(state.view_, lives))
    {
        return;
    }
    if (!is_live(state.view_, state.self_))
    {
        fence(state, out);
        return;
    }
    settle_view(state, now, out);
    tell_all_balancers(state, now, out);
    retry_held(state, now, out);
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
                       const instance_incarnation& self, const roster& first,
                       instant joined, std::uint64_t seed)
{
    agent_state state;
    state.settings_ = settings;
    state.self_ = self;
    state.lease_.self_ = self;
    state.lease_.join_requested_at_ = joined;
    state.view_.roster_ = first;
    state.random_state_ = seed;
    state.next_id_ = 1;
    agent_actions unsent;
    pvt::settle_view(state, joined, unsent);
    return state;
}

agent_actions on_roster(agent_state& state, const roster& next, instant now)
{
    agent_actions out;
    if (state.fenced_ || next.epoch_ <= state.view_.roster_.epoch_)
    {
        return out;
    }
    if (!pvt::find_self(state, next))
    {
        pvt::fence(state, out);
        return out;
    }
    const roster before = std::move(state.view_.roster_);
    state.view_.roster_ = next;
    if (next.epoch_.value() != before.epoch_.value() + 1)
    {
        pvt::distrust_buckets(state);
    }
    const auto lost = pvt::lost_between(before, state.view_);
    for (const instance_incarnation& life : lost)
    {
        state.member_loss_times_.emplace(life, now);
    }
    merge_expired(state.view_, lost);
    pvt::settle_view(state, now, out);
    pvt::tell_all_balancers(state, now, out);
    pvt::retry_held(state, now, out);
    return out;
}

agent_actions on_peer_message(agent_state& state, const peer_message& message,
                              instant now)
{
    agent_actions out;
    const peer_header& from = message.header_;
    const bool for_me = from.service_ == state.view_.roster_.service_ &&
                        from.target_ == state.self_;
    if (!for_me || state.fenced_)
    {
        return out;
    }
    if (from.epoch_ > state.view_.roster_.epoch_)
    {
        out.push_back(fetch_roster{from.epoch_});
    }
    pvt::learn_lapsed(state, from.expired_members_, now, out);
    if (!state.fenced_)
    {
        std::visit(pvt::peer_handler{state, from, now, out}, message.body_);
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
    pvt::send_promises(state, now, out);
    pvt::learn_lapsed(
        state, find_expired(state.watch_, state.view_, lease, now), now, out);
    pvt::ask_for_news(state, now, out);
    pvt::ask_removals(state, now, out);
    pvt::drive_query(state, now, out);
    pvt::drive_syncs(state, now, out);
    pvt::drive_records(state, now, out);
    pvt::retry_held(state, now, out);
    pvt::sweep(state, now, out);
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
