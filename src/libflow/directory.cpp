#include "agent_pvt.h"

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

constexpr std::size_t flows_per_chunk = 24;
constexpr std::size_t entries_per_chunk = 4;

bool contains(const std::vector<instance_incarnation>& incarnations,
              const instance_incarnation& wanted)
{
    return std::find(incarnations.begin(), incarnations.end(), wanted) !=
           incarnations.end();
}

// True if this agent has a complete copy of the journal of `home` for `bucket`
// that covers every other expired member. A copy made before the home had
// received an expired owner's entries is not valid.
bool has_valid_copy(const agent_state& state, bucket_id bucket,
                    const instance_incarnation& home)
{
    const bucket_state& bucket_info = state.buckets_[bucket.value()];
    if (bucket_info.copied_home_ != home)
    {
        return false;
    }
    const auto& all_expired = state.view_.expired_members_.incarnations_;
    return std::all_of(all_expired.begin(), all_expired.end(),
                       [&](const instance_incarnation& expired)
                       {
                           return expired == home ||
                                  contains(bucket_info.copied_expired_members_,
                                           expired);
                       });
}

bool is_recorded_expired(const agent_state& state,
                         const instance_incarnation& candidate)
{
    return contains(state.view_.expired_members_.incarnations_, candidate);
}

void become_home(bucket_state& bucket_info)
{
    bucket_info.is_home_ = true;
    bucket_info.directory_complete_ = false;
    bucket_info.backup_synced_ = false;
    if (!bucket_info.predecessor_)
    {
        bucket_info.predecessor_ = bucket_info.last_home_;
    }
}

void stop_being_home(agent_state& state, bucket_id bucket)
{
    bucket_state& bucket_info = state.buckets_[bucket.value()];
    bucket_info.is_home_ = false;
    bucket_info.directory_complete_ = false;
    bucket_info.backup_synced_ = false;
    for (auto at = state.directory_.begin(); at != state.directory_.end();)
    {
        at = bucket_of(at->first) == bucket ? state.directory_.erase(at)
                                            : std::next(at);
    }
}

void apply_bucket_change(agent_state& state, bucket_id bucket)
{
    bucket_state& bucket_info = state.buckets_[bucket.value()];
    const member* home = effective_home_of(
        state.view_.roster_, state.view_.expired_members_, bucket);
    const bool is_home_now =
        home != nullptr && incarnation_of(*home) == state.self_;
    if (is_home_now && !bucket_info.is_home_)
    {
        become_home(bucket_info);
    }
    if (!is_home_now && bucket_info.is_home_)
    {
        stop_being_home(state, bucket);
    }
    if (home != nullptr)
    {
        bucket_info.last_home_ = incarnation_of(*home);
    }
    const member* backup = successor_of(
        state.view_.roster_, state.view_.expired_members_, bucket, 1);
    const bool keeps_copy =
        is_home_now ||
        (backup != nullptr && incarnation_of(*backup) == state.self_);
    if (!keeps_copy)
    {
        bucket_info.copied_home_.reset();
    }
    // Backups change with the view, so each transfer starts again.
    bucket_info.backup_synced_ = false;
}

void start_ownership_query(agent_state& state)
{
    pending_ownership_query query;
    query.query_id_ = state.next_id_++;
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        const bucket_state& bucket_info = state.buckets_[i];
        if (bucket_info.is_home_ && !bucket_info.directory_complete_)
        {
            query.buckets_.emplace_back(i);
        }
    }
    state.pending_ownership_query_.reset();
    if (!query.buckets_.empty())
    {
        state.pending_ownership_query_ = std::move(query);
    }
}

bool has_replied(const pending_ownership_query& query,
                 const instance_incarnation& peer)
{
    const auto found = query.received_chunks_.find(peer);
    return found != query.received_chunks_.end() &&
           std::all_of(found->second.begin(), found->second.end(),
                       [](bool received) { return received; });
}

bool all_peers_replied(const agent_state& state)
{
    const auto peers = live_peers(state.view_, state.self_);
    return std::all_of(peers.begin(), peers.end(),
                       [&](const member* m) {
                           return has_replied(*state.pending_ownership_query_,
                                              incarnation_of(*m));
                       });
}

bool has_complete_copy(const agent_state& state, bucket_id bucket,
                       const instance_incarnation& home)
{
    const auto& copies = state.pending_ownership_query_->complete_copies_;
    return has_valid_copy(state, bucket, home) ||
           std::any_of(copies.begin(), copies.end(),
                       [&](const complete_journal_copy& copy) {
                           return copy.bucket_ == bucket && copy.home_ == home;
                       });
}

// True if a member was lost within the quarantine time, so that callers may
// still retransmit requests that it handled.
bool has_recent_member_loss(const agent_state& state, instant now)
{
    return std::any_of(
        state.member_loss_times_.begin(), state.member_loss_times_.end(),
        [&](const auto& loss)
        { return now < loss.second + state.settings_.journal_.quarantine_; });
}

// True if the previous home may have been lost with journal entries that no
// other member holds. If the previous home is unknown, any recent loss counts.
bool may_miss_entries(const agent_state& state, bucket_id bucket, instant now)
{
    const auto& predecessor = state.buckets_[bucket.value()].predecessor_;
    if (!predecessor)
    {
        return has_recent_member_loss(state, now);
    }
    return is_recorded_expired(state, *predecessor) &&
           !has_complete_copy(state, bucket, *predecessor);
}

void open_buckets(agent_state& state, instant now)
{
    for (const bucket_id bucket : state.pending_ownership_query_->buckets_)
    {
        bucket_state& bucket_info = state.buckets_[bucket.value()];
        if (may_miss_entries(state, bucket, now))
        {
            bucket_info.journal_gap_until_ =
                now + state.settings_.journal_.quarantine_;
        }
        bucket_info.predecessor_.reset();
        bucket_info.directory_complete_ = true;
    }
    state.pending_ownership_query_.reset();
}

std::vector<flow_key> flows_in(const agent_state& state,
                               const std::vector<bucket_id>& buckets)
{
    std::array<bool, bucket_count> requested{};
    for (const bucket_id bucket : buckets)
    {
        requested[bucket.value()] = true;
    }
    std::vector<flow_key> flows;
    for (const auto& [flow, owned] : state.owned_flows_)
    {
        if (requested[bucket_of(flow).value()])
        {
            flows.push_back(flow);
        }
    }
    return flows;
}

// Adds to `reply` what the entries alone do not show: a complete copy of a
// home's journal, or a gap in this agent's journal of the bucket.
void add_journal_state(const agent_state& state, bucket_id bucket, instant now,
                       ownership_reply& reply)
{
    const bucket_state& bucket_info = state.buckets_[bucket.value()];
    if (bucket_info.copied_home_ &&
        has_valid_copy(state, bucket, *bucket_info.copied_home_))
    {
        reply.complete_copies_.push_back(
            complete_journal_copy{bucket, *bucket_info.copied_home_});
    }
    const bool misses_predecessor =
        bucket_info.predecessor_ &&
        is_recorded_expired(state, *bucket_info.predecessor_) &&
        !has_valid_copy(state, bucket, *bucket_info.predecessor_);
    if (misses_predecessor)
    {
        reply.gaps_.push_back(
            journal_gap{bucket, state.settings_.journal_.quarantine_});
    }
    else if (has_journal_gap(state, bucket, now))
    {
        reply.gaps_.push_back(
            journal_gap{bucket, *bucket_info.journal_gap_until_ - now});
    }
}

template <class T>
std::vector<T> slice(const std::vector<T>& all, std::size_t index,
                     std::size_t per_chunk)
{
    const std::size_t begin = std::min(all.size(), index * per_chunk);
    const std::size_t end = std::min(all.size(), begin + per_chunk);
    return std::vector<T>(all.begin() + static_cast<std::ptrdiff_t>(begin),
                          all.begin() + static_cast<std::ptrdiff_t>(end));
}

std::size_t chunk_count(std::size_t count, std::size_t per_chunk)
{
    return std::max<std::size_t>(1, (count + per_chunk - 1) / per_chunk);
}

chunk_position position_at(std::size_t index, std::size_t count)
{
    return chunk_position{static_cast<std::uint16_t>(index),
                          static_cast<std::uint16_t>(count)};
}

cached_ownership_reply make_ownership_reply(const agent_state& state,
                                            const ownership_query& query,
                                            instant now)
{
    const auto flows = flows_in(state, query.buckets_);
    const auto entries = entries_in_buckets(state.journal_, query.buckets_);
    const std::size_t count =
        std::max(chunk_count(flows.size(), flows_per_chunk),
                 chunk_count(entries.size(), entries_per_chunk));
    cached_ownership_reply cached{query.query_id_, {}};
    for (std::size_t i = 0; i < count; ++i)
    {
        ownership_reply reply;
        reply.query_id_ = query.query_id_;
        reply.position_ = position_at(i, count);
        reply.flows_ = slice(flows, i, flows_per_chunk);
        reply.entries_ = slice(entries, i, entries_per_chunk);
        cached.chunks_.push_back(std::move(reply));
    }
    for (const bucket_id bucket : query.buckets_)
    {
        add_journal_state(state, bucket, now, cached.chunks_.front());
    }
    return cached;
}

void record_flows(agent_state& state, const instance_incarnation& owner,
                  const std::vector<flow_key>& flows, instant now)
{
    for (const flow_key& flow : flows)
    {
        const bool is_own = state.owned_flows_.count(flow) != 0;
        if (!is_own && state.buckets_[bucket_of(flow).value()].is_home_)
        {
            state.directory_[flow] = directory_record{owner, now, 0};
        }
    }
}

void merge_journal_gaps(agent_state& state,
                        const std::vector<journal_gap>& gaps, instant now)
{
    for (const journal_gap& gap : gaps)
    {
        auto& until = state.buckets_[gap.bucket_.value()].journal_gap_until_;
        const instant end = now + gap.remaining_;
        until = until ? std::max(*until, end) : end;
    }
}

} // namespace

void apply_view_change(agent_state& state, instant now, agent_actions& out)
{
    apply_view(state.lease_, state.watch_, state.view_, now);
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        apply_bucket_change(state, bucket_id(i));
    }
    state.outgoing_syncs_.clear();
    start_ownership_query(state);
    send_ownership_query(state, now, out);
}

void send_ownership_query(agent_state& state, instant now, agent_actions& out)
{
    if (!state.pending_ownership_query_)
    {
        return;
    }
    if (all_peers_replied(state))
    {
        open_buckets(state, now);
        return;
    }
    pending_ownership_query& query = *state.pending_ownership_query_;
    if (now < query.last_sent_ + state.settings_.flow_.query_interval_)
    {
        return;
    }
    query.last_sent_ = now;
    const ownership_query message{query.query_id_, query.buckets_};
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        if (!has_replied(query, incarnation_of(*peer)))
        {
            send_to(state, *peer, message, out);
        }
    }
}

void reply_to_ownership_query(agent_state& state, const peer_header& from,
                              const ownership_query& query, instant now,
                              agent_actions& out)
{
    const member* requester = find_incarnation(state.view_, from.sender_);
    if (requester == nullptr ||
        state.view_.expired_members_.contains(*requester) ||
        from.epoch_ > state.view_.roster_.epoch_)
    {
        return;
    }
    cached_ownership_reply& cached = state.ownership_replies_[from.sender_];
    if (cached.chunks_.empty() || cached.query_id_ != query.query_id_)
    {
        cached = make_ownership_reply(state, query, now);
    }
    for (const ownership_reply& reply : cached.chunks_)
    {
        send_to(state, *requester, reply, out);
    }
}

void handle_ownership_reply(agent_state& state, const peer_header& from,
                            const ownership_reply& reply, instant now,
                            agent_actions& out)
{
    if (!state.pending_ownership_query_ ||
        state.pending_ownership_query_->query_id_ != reply.query_id_ ||
        !is_live(state.view_, from.sender_) ||
        from.epoch_ < state.view_.roster_.epoch_ ||
        reply.position_.index_ >= reply.position_.count_)
    {
        return;
    }
    auto& received =
        state.pending_ownership_query_->received_chunks_[from.sender_];
    received.resize(reply.position_.count_, false);
    received[reply.position_.index_] = true;
    record_flows(state, from.sender_, reply.flows_, now);
    for (const journal_entry& entry : reply.entries_)
    {
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    }
    auto& copies = state.pending_ownership_query_->complete_copies_;
    copies.insert(copies.end(), reply.complete_copies_.begin(),
                  reply.complete_copies_.end());
    merge_journal_gaps(state, reply.gaps_, now);
    if (all_peers_replied(state))
    {
        open_buckets(state, now);
        retry_held_packets(state, now, out);
    }
}

void send_journal_syncs(agent_state& state, instant now, agent_actions& out)
{
    std::map<instance_incarnation, std::vector<bucket_id>> new_syncs;
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        const bucket_state& bucket_info = state.buckets_[i];
        // A home that may miss entries itself must not be recorded as
        // completely copied.
        const bool is_complete = bucket_info.directory_complete_ &&
                                 !has_journal_gap(state, bucket_id(i), now);
        const member* backup =
            is_complete && !bucket_info.backup_synced_
                ? journal_backup(state.view_, state.self_, bucket_id(i))
                : nullptr;
        if (backup != nullptr &&
            state.outgoing_syncs_.count(incarnation_of(*backup)) == 0)
        {
            new_syncs[incarnation_of(*backup)].emplace_back(i);
        }
    }
    for (const auto& [backup, buckets] : new_syncs)
    {
        const auto entries = entries_in_buckets(state.journal_, buckets);
        const std::size_t count =
            chunk_count(entries.size(), entries_per_chunk);
        outgoing_sync sync{state.next_id_++, backup, {}, {}, {}};
        for (std::size_t i = 0; i < count; ++i)
        {
            sync.chunks_.push_back(
                journal_sync{sync.sync_id_, position_at(i, count), buckets,
                             slice(entries, i, entries_per_chunk),
                             state.view_.expired_members_.incarnations_});
        }
        sync.acked_chunks_.resize(count, false);
        state.outgoing_syncs_[backup] = std::move(sync);
    }
    for (auto& [backup_incarnation, sync] : state.outgoing_syncs_)
    {
        const member* backup =
            find_incarnation(state.view_, backup_incarnation);
        if (backup == nullptr ||
            now < sync.last_sent_ + state.settings_.journal_.resend_interval_)
        {
            continue;
        }
        sync.last_sent_ = now;
        for (std::size_t i = 0; i < sync.chunks_.size(); ++i)
        {
            if (!sync.acked_chunks_[i])
            {
                send_to(state, *backup, sync.chunks_[i], out);
            }
        }
    }
}

void handle_journal_sync(agent_state& state, const peer_header& from,
                         const journal_sync& sync, instant now,
                         agent_actions& out)
{
    const member* home = find_incarnation(state.view_, from.sender_);
    if (home == nullptr || state.view_.expired_members_.contains(*home) ||
        from.epoch_ != state.view_.roster_.epoch_ ||
        sync.position_.index_ >= sync.position_.count_)
    {
        return;
    }
    for (const journal_entry& entry : sync.entries_)
    {
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    }
    incoming_sync& incoming = state.incoming_syncs_[from.sender_];
    if (incoming.sync_id_ != sync.sync_id_)
    {
        incoming = incoming_sync{sync.sync_id_, {}};
    }
    incoming.received_chunks_.resize(sync.position_.count_, false);
    incoming.received_chunks_[sync.position_.index_] = true;
    const bool is_complete = std::all_of(
        incoming.received_chunks_.begin(), incoming.received_chunks_.end(),
        [](bool received) { return received; });
    for (const bucket_id bucket : sync.buckets_)
    {
        const member* backup =
            journal_backup(state.view_, from.sender_, bucket);
        const bool is_backup =
            backup != nullptr && incarnation_of(*backup) == state.self_ &&
            is_effective_home(state.view_, from.sender_, bucket);
        if (is_complete && is_backup)
        {
            bucket_state& bucket_info = state.buckets_[bucket.value()];
            bucket_info.copied_home_ = from.sender_;
            bucket_info.copied_expired_members_ = sync.expired_members_;
        }
    }
    send_to(state, *home,
            journal_sync_ack{sync.sync_id_, sync.position_.index_}, out);
}

void handle_journal_sync_ack(agent_state& state, const peer_header& from,
                             const journal_sync_ack& ack)
{
    const auto found = state.outgoing_syncs_.find(from.sender_);
    if (found == state.outgoing_syncs_.end() ||
        found->second.sync_id_ != ack.sync_id_ ||
        ack.index_ >= found->second.acked_chunks_.size())
    {
        return;
    }
    outgoing_sync& sync = found->second;
    sync.acked_chunks_[ack.index_] = true;
    const bool is_complete =
        std::all_of(sync.acked_chunks_.begin(), sync.acked_chunks_.end(),
                    [](bool acked) { return acked; });
    if (!is_complete)
    {
        return;
    }
    for (const bucket_id bucket : sync.chunks_.front().buckets_)
    {
        state.buckets_[bucket.value()].backup_synced_ = true;
    }
    state.outgoing_syncs_.erase(found);
}

} // namespace galenafork::pvt
