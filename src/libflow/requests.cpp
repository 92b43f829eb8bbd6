#include "agent_pvt.h"

namespace galenafork
{

namespace pvt
{

namespace
{

void refuse_request(const forwarded_packet& packet, run_state run,
                    refusal reason, agent_actions& out)
{
    out.push_back(refuse_packet{packet, verdict{run, reason}, true});
}

void send_recorded_request(agent_state& state, const forwarded_packet& packet,
                           const request_key& key, agent_actions& out)
{
    state.journal_.entries_.at(key).sent_to_upstream_ = true;
    ++state.owned_flows_[packet.flow_].in_flight_;
    out.push_back(send_to_upstream{packet, request_info{key, false},
                                   state.settings_.flow_.request_time_});
}

void send_record(const agent_state& state, const member& backup,
                 pending_record& pending, instant now, agent_actions& out)
{
    pending.last_sent_ = now;
    send_to(state, backup, journal_record{pending.entry_}, out);
}

bool is_sole_member(const agent_state& state)
{
    return state.view_.roster_.members_.size() == 1;
}

// Performs what had to wait until the entry was recorded: sends a started
// request to the upstream, or a refusal to the caller.
void complete_record(agent_state& state, const pending_record& record,
                     agent_actions& out)
{
    switch (record.entry_.state_)
    {
    case journal_entry_state::started:
        send_recorded_request(state, record.packet_, record.entry_.key_, out);
        break;
    case journal_entry_state::refused:
        refuse_request(record.packet_, run_state::did_not_run, record.reason_,
                       out);
        break;
    case journal_entry_state::finished:
        break;
    }
}

void start_record(agent_state& state, pending_record pending, instant now,
                  agent_actions& out)
{
    const request_key key = pending.entry_.key_;
    // The only member needs no backup: a home after it finds no complete copy
    // of its journal and answers `may_have_run` for the quarantine time.
    if (is_sole_member(state))
    {
        complete_record(state, pending, out);
        return;
    }
    pending.deadline_ = now + state.settings_.journal_.record_timeout_;
    pending.last_sent_ = now;
    const member* backup =
        journal_backup(state.view_, state.self_, bucket_of(key.flow_));
    if (backup != nullptr)
    {
        send_record(state, *backup, pending, now, out);
    }
    state.pending_records_[key] = std::move(pending);
}

void answer_from_entry(const forwarded_packet& packet,
                       const stored_entry& stored, agent_actions& out)
{
    switch (stored.entry_.state_)
    {
    case journal_entry_state::finished:
        out.push_back(send_stored_answer{packet.flow_, packet.fabric_,
                                         stored.entry_.answer_});
        break;
    case journal_entry_state::refused:
        refuse_request(packet, run_state::did_not_run, refusal::duplicate, out);
        break;
    case journal_entry_state::started:
        refuse_request(packet, run_state::may_have_run, refusal::owner_lost,
                       out);
        break;
    }
}

} // namespace

bool has_journal_gap(const agent_state& state, bucket_id bucket, instant now)
{
    const auto& until = state.buckets_[bucket.value()].journal_gap_until_;
    return until && now < *until;
}

void handle_non_idempotent_request(agent_state& state,
                                   const forwarded_packet& packet,
                                   const request_info& request, instant now,
                                   agent_actions& out)
{
    const stored_entry* stored = find_entry(state.journal_, request.key_);
    const bool is_own =
        stored != nullptr && stored->entry_.owner_ == state.self_;
    const bool is_started =
        stored != nullptr &&
        stored->entry_.state_ == journal_entry_state::started;
    if (stored != nullptr && !(is_own && is_started))
    {
        answer_from_entry(packet, *stored, out);
        return;
    }
    const bool in_progress =
        stored != nullptr && (stored->sent_to_upstream_ ||
                              state.pending_records_.count(request.key_) != 0);
    if (in_progress)
    {
        return;
    }
    const bucket_id bucket = bucket_of(packet.flow_);
    if (stored == nullptr && has_journal_gap(state, bucket, now))
    {
        refuse_request(packet, run_state::may_have_run, refusal::owner_lost,
                       out);
        return;
    }
    const journal_entry entry{
        request.key_, state.self_, journal_entry_state::started, {}};
    merge_entry(state.journal_, entry, state.settings_.journal_, now);
    start_record(state, pending_record{packet, entry, refusal::none, now, now},
                 now, out);
}

void record_refusal(agent_state& state, const forwarded_packet& packet,
                    const request_info& request, refusal reason, instant now,
                    agent_actions& out)
{
    const journal_entry entry{
        request.key_, state.self_, journal_entry_state::refused, {}};
    const stored_entry& stored =
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    if (stored.entry_.owner_ != state.self_ ||
        stored.entry_.state_ != journal_entry_state::refused)
    {
        answer_from_entry(packet, stored, out);
        return;
    }
    start_record(state, pending_record{packet, entry, reason, now, now}, now,
                 out);
}

void handle_journal_record(agent_state& state, const peer_header& from,
                           const journal_record& record, instant now,
                           agent_actions& out)
{
    const bucket_id bucket = bucket_of(record.entry_.key_.flow_);
    const member* sender = find_incarnation(state.view_, from.sender_);
    const member* backup = journal_backup(state.view_, from.sender_, bucket);
    // Owner and backup agree on their roles only under the same epoch.
    if (from.epoch_ != state.view_.roster_.epoch_ ||
        !is_live(state.view_, from.sender_) || backup == nullptr ||
        incarnation_of(*backup) != state.self_ ||
        record.entry_.owner_ != from.sender_)
    {
        return;
    }
    const bucket_state& bucket_info = state.buckets_[bucket.value()];
    if (bucket_info.is_home_ && !bucket_info.directory_complete_)
    {
        return;
    }
    journal_entry entry = record.entry_;
    const bool is_stored =
        find_entry(state.journal_, record.entry_.key_) != nullptr;
    if (bucket_info.is_home_ && !is_stored &&
        has_journal_gap(state, bucket, now))
    {
        // The missing entries may include one of an earlier owner for this
        // request, so the ack claims that the request was already started.
        entry.owner_ = state.self_;
        entry.state_ = journal_entry_state::started;
    }
    else
    {
        entry =
            merge_entry(state.journal_, entry, state.settings_.journal_, now)
                .entry_;
    }
    send_to(state, *sender, journal_ack{entry}, out);
}

void handle_journal_ack(agent_state& state, const peer_header& from,
                        const journal_ack& ack, instant now, agent_actions& out)
{
    const auto found = state.pending_records_.find(ack.entry_.key_);
    if (found == state.pending_records_.end())
    {
        return;
    }
    pending_record& pending = found->second;
    const member* backup = journal_backup(state.view_, state.self_,
                                          bucket_of(ack.entry_.key_.flow_));
    if (backup == nullptr || incarnation_of(*backup) != from.sender_)
    {
        return;
    }
    if (ack.entry_.owner_ != state.self_)
    {
        stored_entry& stored = state.journal_.entries_.at(ack.entry_.key_);
        stored.entry_ = ack.entry_;
        answer_from_entry(pending.packet_, stored, out);
        state.pending_records_.erase(found);
        return;
    }
    // A late ack of the entry's earlier state does not confirm the present one.
    if (ack.entry_.state_ != pending.entry_.state_)
    {
        return;
    }
    const bool has_lease =
        holds_lease(state.lease_, state.view_, state.settings_.lease_, now);
    if (pending.entry_.state_ != journal_entry_state::finished && !has_lease)
    {
        return;
    }
    const pending_record acked = std::move(pending);
    state.pending_records_.erase(found);
    complete_record(state, acked, out);
}

void resend_pending_records(agent_state& state, instant now, agent_actions& out)
{
    const journal_settings& settings = state.settings_.journal_;
    for (auto at = state.pending_records_.begin();
         at != state.pending_records_.end();)
    {
        pending_record& pending = at->second;
        if (now >= pending.deadline_)
        {
            at = state.pending_records_.erase(at);
            continue;
        }
        const member* backup = journal_backup(
            state.view_, state.self_, bucket_of(pending.entry_.key_.flow_));
        const bool due = now >= pending.last_sent_ + settings.resend_interval_;
        if (due && backup != nullptr)
        {
            send_record(state, *backup, pending, now, out);
        }
        ++at;
    }
}

} // namespace pvt

agent_actions on_upstream_answer(agent_state& state, const flow_key& flow,
                                 const std::optional<request_key>& key,
                                 const byte_buffer& answer, instant now)
{
    agent_actions out;
    const auto owned = state.owned_flows_.find(flow);
    if (owned != state.owned_flows_.end() && owned->second.in_flight_ > 0)
    {
        --owned->second.in_flight_;
        owned->second.last_packet_ = now;
    }
    if (!key)
    {
        return out;
    }
    const journal_entry entry{*key, state.self_, journal_entry_state::finished,
                              answer};
    const stored_entry& stored =
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    if (stored.entry_.state_ == journal_entry_state::finished)
    {
        pvt::start_record(state,
                          pending_record{{}, entry, refusal::none, now, now},
                          now, out);
    }
    return out;
}

agent_actions on_request_shed(agent_state& state,
                              const forwarded_packet& packet,
                              const std::optional<request_info>& request,
                              refusal reason, instant now)
{
    agent_actions out;
    const auto owned = state.owned_flows_.find(packet.flow_);
    if (request && owned != state.owned_flows_.end() &&
        owned->second.in_flight_ > 0)
    {
        --owned->second.in_flight_;
    }
    if (request && !request->idempotent_)
    {
        pvt::record_refusal(state, packet, *request, reason, now, out);
        return out;
    }
    out.push_back(refuse_packet{packet, verdict{run_state::did_not_run, reason},
                                request.has_value()});
    return out;
}

} // namespace galenafork
