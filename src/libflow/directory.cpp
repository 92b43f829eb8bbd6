#include "agent_pvt.h"

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

constexpr std::size_t flows_per_chunk = 24;
constexpr std::size_t entries_per_chunk = 4;

bool contains(const std::vector<instance_incarnation>& lives,
              const instance_incarnation& life)
{
    return std::find(lives.begin(), lives.end(), life) != lives.end();
}

// The mark of `home` holds if it covers every other member known to be lost:
// a home that had not yet copied a lost owner's entries leaves none.
bool has_valid_mark(const agent_state& state, bucket_id bucket,
                    const instance_incarnation& home)
{
    const bucket_state& part = state.buckets_[bucket.value()];
    if (part.copied_home_ != home)
    {
        return false;
    }
    const auto& lost = state.view_.expired_members_.incarnations_;
    return std::all_of(lost.begin(), lost.end(),
                       [&](const instance_incarnation& life) {
                           return life == home ||
                                  contains(part.copied_expired_members_, life);
                       });
}

bool was_lost(const agent_state& state, const instance_incarnation& life)
{
    return contains(state.view_.expired_members_.incarnations_, life);
}

void enter_home(bucket_state& part)
{
    part.is_home_ = true;
    part.directory_complete_ = false;
    part.backup_synced_ = false;
    if (!part.predecessor_)
    {
        part.predecessor_ = part.last_home_;
    }
}

void leave_home(agent_state& state, bucket_id bucket)
{
    bucket_state& part = state.buckets_[bucket.value()];
    part.is_home_ = false;
    part.directory_complete_ = false;
    part.backup_synced_ = false;
    for (auto at = state.directory_.begin(); at != state.directory_.end();)
    {
        at = bucket_of(at->first) == bucket ? state.directory_.erase(at)
                                            : std::next(at);
    }
}

void settle_bucket(agent_state& state, bucket_id bucket)
{
    bucket_state& part = state.buckets_[bucket.value()];
    const member* home = effective_home_of(
        state.view_.roster_, state.view_.expired_members_, bucket);
    const bool home_now =
        home != nullptr && incarnation_of(*home) == state.self_;
    if (home_now && !part.is_home_)
    {
        enter_home(part);
    }
    if (!home_now && part.is_home_)
    {
        leave_home(state, bucket);
    }
    if (home != nullptr)
    {
        part.last_home_ = incarnation_of(*home);
    }
    const member* partner = successor_of(
        state.view_.roster_, state.view_.expired_members_, bucket, 1);
    const bool keeps_mark =
        home_now ||
        (partner != nullptr && incarnation_of(*partner) == state.self_);
    if (!keeps_mark)
    {
        part.copied_home_.reset();
    }
    // Partners change with the view; each transfer starts anew.
    part.backup_synced_ = false;
}

void start_query(agent_state& state)
{
    pending_ownership_query round;
    round.query_id_ = state.next_id_++;
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        const bucket_state& part = state.buckets_[i];
        if (part.is_home_ && !part.directory_complete_)
        {
            round.buckets_.emplace_back(i);
        }
    }
    state.pending_ownership_query_.reset();
    if (!round.buckets_.empty())
    {
        state.pending_ownership_query_ = std::move(round);
    }
}

bool is_answered(const pending_ownership_query& round,
                 const instance_incarnation& peer)
{
    const auto found = round.received_chunks_.find(peer);
    return found != round.received_chunks_.end() &&
           std::all_of(found->second.begin(), found->second.end(),
                       [](bool received) { return received; });
}

bool all_answered(const agent_state& state)
{
    const auto peers = live_peers(state.view_, state.self_);
    return std::all_of(peers.begin(), peers.end(),
                       [&](const member* m) {
                           return is_answered(*state.pending_ownership_query_,
                                              incarnation_of(*m));
                       });
}

bool is_marked(const agent_state& state, bucket_id bucket,
               const instance_incarnation& home)
{
    const auto& marks = state.pending_ownership_query_->complete_copies_;
    return has_valid_mark(state, bucket, home) ||
           std::any_of(marks.begin(), marks.end(),
                       [&](const complete_journal_copy& mark) {
                           return mark.bucket_ == bucket && mark.home_ == home;
                       });
}

// A member was lost so lately that repeats of its requests may still come.
bool lost_lately(const agent_state& state, instant now)
{
    return std::any_of(
        state.member_loss_times_.begin(), state.member_loss_times_.end(),
        [&](const auto& loss)
        { return now < loss.second + state.settings_.journal_.quarantine_; });
}

// True if a home before this one may have been lost with entries that nobody
// else holds. With the home before unknown any late loss counts.
bool may_lack_entries(const agent_state& state, bucket_id bucket, instant now)
{
    const auto& before = state.buckets_[bucket.value()].predecessor_;
    if (!before)
    {
        return lost_lately(state, now);
    }
    return was_lost(state, *before) && !is_marked(state, bucket, *before);
}

void open_buckets(agent_state& state, instant now)
{
    for (const bucket_id bucket : state.pending_ownership_query_->buckets_)
    {
        bucket_state& part = state.buckets_[bucket.value()];
        if (may_lack_entries(state, bucket, now))
        {
            part.journal_gap_until_ =
                now + state.settings_.journal_.quarantine_;
        }
        part.predecessor_.reset();
        part.directory_complete_ = true;
    }
    state.pending_ownership_query_.reset();
}

std::vector<flow_key> flows_in(const agent_state& state,
                               const std::vector<bucket_id>& buckets)
{
    std::array<bool, bucket_count> asked{};
    for (const bucket_id bucket : buckets)
    {
        asked[bucket.value()] = true;
    }
    std::vector<flow_key> flows;
    for (const auto& [flow, owned] : state.owned_flows_)
    {
        if (asked[bucket_of(flow).value()])
        {
            flows.push_back(flow);
        }
    }
    return flows;
}

// What is said about the bucket's journal beyond its entries.
void describe_bucket(const agent_state& state, bucket_id bucket, instant now,
                     ownership_reply& reply)
{
    const bucket_state& part = state.buckets_[bucket.value()];
    if (part.copied_home_ && has_valid_mark(state, bucket, *part.copied_home_))
    {
        reply.complete_copies_.push_back(
            complete_journal_copy{bucket, *part.copied_home_});
    }
    const bool unsettled = part.predecessor_ &&
                           was_lost(state, *part.predecessor_) &&
                           !has_valid_mark(state, bucket, *part.predecessor_);
    if (unsettled)
    {
        reply.gaps_.push_back(
            journal_gap{bucket, state.settings_.journal_.quarantine_});
    }
    else if (has_gap(state, bucket, now))
    {
        reply.gaps_.push_back(
            journal_gap{bucket, *part.journal_gap_until_ - now});
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

std::size_t chunks_for(std::size_t count, std::size_t per_chunk)
{
    return std::max<std::size_t>(1, (count + per_chunk - 1) / per_chunk);
}

chunk_position position_at(std::size_t index, std::size_t count)
{
    return chunk_position{static_cast<std::uint16_t>(index),
                          static_cast<std::uint16_t>(count)};
}

cached_ownership_reply make_answer(const agent_state& state,
                                   const ownership_query& query, instant now)
{
    const auto flows = flows_in(state, query.buckets_);
    const auto entries = entries_in_buckets(state.journal_, query.buckets_);
    const std::size_t count =
        std::max(chunks_for(flows.size(), flows_per_chunk),
                 chunks_for(entries.size(), entries_per_chunk));
    cached_ownership_reply answer{query.query_id_, {}};
    for (std::size_t i = 0; i < count; ++i)
    {
        ownership_reply reply;
        reply.query_id_ = query.query_id_;
        reply.position_ = position_at(i, count);
        reply.flows_ = slice(flows, i, flows_per_chunk);
        reply.entries_ = slice(entries, i, entries_per_chunk);
        answer.chunks_.push_back(std::move(reply));
    }
    for (const bucket_id bucket : query.buckets_)
    {
        describe_bucket(state, bucket, now, answer.chunks_.front());
    }
    return answer;
}

void take_flows(agent_state& state, const instance_incarnation& owner,
                const std::vector<flow_key>& flows, instant now)
{
    for (const flow_key& flow : flows)
    {
        const bool mine = state.owned_flows_.count(flow) != 0;
        if (!mine && state.buckets_[bucket_of(flow).value()].is_home_)
        {
            state.directory_[flow] = directory_record{owner, now, 0};
        }
    }
}

void take_gaps(agent_state& state, const std::vector<journal_gap>& gaps,
               instant now)
{
    for (const journal_gap& gap : gaps)
    {
        auto& until = state.buckets_[gap.bucket_.value()].journal_gap_until_;
        const instant end = now + gap.remaining_;
        until = until ? std::max(*until, end) : end;
    }
}

} // namespace

void settle_view(agent_state& state, instant now, agent_actions& out)
{
    apply_view(state.lease_, state.watch_, state.view_, now);
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        settle_bucket(state, bucket_id(i));
    }
    state.outgoing_syncs_.clear();
    start_query(state);
    drive_query(state, now, out);
}

void drive_query(agent_state& state, instant now, agent_actions& out)
{
    if (!state.pending_ownership_query_)
    {
        return;
    }
    if (all_answered(state))
    {
        open_buckets(state, now);
        return;
    }
    pending_ownership_query& round = *state.pending_ownership_query_;
    if (now < round.last_sent_ + state.settings_.flow_.query_interval_)
    {
        return;
    }
    round.last_sent_ = now;
    const ownership_query query{round.query_id_, round.buckets_};
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        if (!is_answered(round, incarnation_of(*peer)))
        {
            send_to(state, *peer, query, out);
        }
    }
}

void answer_query(agent_state& state, const peer_header& from,
                  const ownership_query& query, instant now, agent_actions& out)
{
    const member* asker = find_incarnation(state.view_, from.sender_);
    if (asker == nullptr || state.view_.expired_members_.contains(*asker) ||
        from.epoch_ > state.view_.roster_.epoch_)
    {
        return;
    }
    cached_ownership_reply& answer = state.ownership_replies_[from.sender_];
    if (answer.chunks_.empty() || answer.query_id_ != query.query_id_)
    {
        answer = make_answer(state, query, now);
    }
    for (const ownership_reply& reply : answer.chunks_)
    {
        send_to(state, *asker, reply, out);
    }
}

void take_reply(agent_state& state, const peer_header& from,
                const ownership_reply& reply, instant now, agent_actions& out)
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
    take_flows(state, from.sender_, reply.flows_, now);
    for (const journal_entry& entry : reply.entries_)
    {
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    }
    auto& marks = state.pending_ownership_query_->complete_copies_;
    marks.insert(marks.end(), reply.complete_copies_.begin(),
                 reply.complete_copies_.end());
    take_gaps(state, reply.gaps_, now);
    if (all_answered(state))
    {
        open_buckets(state, now);
        retry_held(state, now, out);
    }
}

void drive_syncs(agent_state& state, instant now, agent_actions& out)
{
    std::map<instance_incarnation, std::vector<bucket_id>> wanted;
    for (std::uint16_t i = 0; i < bucket_count; ++i)
    {
        const bucket_state& part = state.buckets_[i];
        // A home that may lack entries itself leaves no mark.
        const bool whole =
            part.directory_complete_ && !has_gap(state, bucket_id(i), now);
        const member* partner =
            whole && !part.backup_synced_
                ? journal_backup(state.view_, state.self_, bucket_id(i))
                : nullptr;
        if (partner != nullptr &&
            state.outgoing_syncs_.count(incarnation_of(*partner)) == 0)
        {
            wanted[incarnation_of(*partner)].emplace_back(i);
        }
    }
    for (const auto& [partner, buckets] : wanted)
    {
        const auto entries = entries_in_buckets(state.journal_, buckets);
        const std::size_t count = chunks_for(entries.size(), entries_per_chunk);
        outgoing_sync round{state.next_id_++, partner, {}, {}, {}};
        for (std::size_t i = 0; i < count; ++i)
        {
            round.chunks_.push_back(
                journal_sync{round.sync_id_, position_at(i, count), buckets,
                             slice(entries, i, entries_per_chunk),
                             state.view_.expired_members_.incarnations_});
        }
        round.acked_chunks_.resize(count, false);
        state.outgoing_syncs_[partner] = std::move(round);
    }
    for (auto& [life, round] : state.outgoing_syncs_)
    {
        const member* partner = find_incarnation(state.view_, life);
        if (partner == nullptr ||
            now < round.last_sent_ + state.settings_.journal_.resend_interval_)
        {
            continue;
        }
        round.last_sent_ = now;
        for (std::size_t i = 0; i < round.chunks_.size(); ++i)
        {
            if (!round.acked_chunks_[i])
            {
                send_to(state, *partner, round.chunks_[i], out);
            }
        }
    }
}

void take_sync(agent_state& state, const peer_header& from,
               const journal_sync& sync, instant now, agent_actions& out)
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
    incoming_sync& arrival = state.incoming_syncs_[from.sender_];
    if (arrival.sync_id_ != sync.sync_id_)
    {
        arrival = incoming_sync{sync.sync_id_, {}};
    }
    arrival.received_chunks_.resize(sync.position_.count_, false);
    arrival.received_chunks_[sync.position_.index_] = true;
    const bool whole = std::all_of(arrival.received_chunks_.begin(),
                                   arrival.received_chunks_.end(),
                                   [](bool received) { return received; });
    for (const bucket_id bucket : sync.buckets_)
    {
        const member* partner =
            journal_backup(state.view_, from.sender_, bucket);
        const bool mine = partner != nullptr &&
                          incarnation_of(*partner) == state.self_ &&
                          is_effective_home(state.view_, from.sender_, bucket);
        if (whole && mine)
        {
            bucket_state& part = state.buckets_[bucket.value()];
            part.copied_home_ = from.sender_;
            part.copied_expired_members_ = sync.expired_members_;
        }
    }
    send_to(state, *home,
            journal_sync_ack{sync.sync_id_, sync.position_.index_}, out);
}

void take_sync_ack(agent_state& state, const peer_header& from,
                   const journal_sync_ack& ack)
{
    const auto found = state.outgoing_syncs_.find(from.sender_);
    if (found == state.outgoing_syncs_.end() ||
        found->second.sync_id_ != ack.sync_id_ ||
        ack.index_ >= found->second.acked_chunks_.size())
    {
        return;
    }
    outgoing_sync& round = found->second;
    round.acked_chunks_[ack.index_] = true;
    const bool whole =
        std::all_of(round.acked_chunks_.begin(), round.acked_chunks_.end(),
                    [](bool acked) { return acked; });
    if (!whole)
    {
        return;
    }
    for (const bucket_id bucket : round.chunks_.front().buckets_)
    {
        state.buckets_[bucket.value()].backup_synced_ = true;
    }
    state.outgoing_syncs_.erase(found);
}

} // namespace galenafork::pvt
