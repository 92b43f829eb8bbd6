#include "agent_pvt.h"

namespace galenafork
{

namespace pvt
{

namespace
{

void answer_refused(const forwarded_packet& packet, run_state run,
                    refusal reason, agent_actions& out)
{
    out.push_back(refuse_packet{packet, verdict{run, reason}, true});
}

void deliver_guarded(agent_state& state, const forwarded_packet& packet,
                     const request_key& key, agent_actions& out)
{
    state.journal_.entries_.at(key).sent_to_upstream_ = true;
    ++state.owned_flows_[packet.flow_].in_flight_;
    out.push_back(send_to_upstream{packet, request_info{key, false},
                                   state.settings_.flow_.request_time_});
}

void send_record(const agent_state& state, const member& partner,
                 pending_record& pending, instant now, agent_actions& out)
{
    pending.last_sent_ = now;
    send_to(state, partner, journal_record{pending.entry_}, out);
}

bool is_sole_member(const agent_state& state)
{
    return state.view_.roster_.members_.size() == 1;
}

// Acts on an entry that the partner, or nobody but us, has to know.
void settle_record(agent_state& state, const pending_record& settled,
                   agent_actions& out)
{
    switch (settled.entry_.state_)
    {
    case journal_entry_state::started:
        deliver_guarded(state, settled.packet_, settled.entry_.key_, out);
        break;
    case journal_entry_state::refused:
        answer_refused(settled.packet_, run_state::did_not_run, settled.reason_,
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
    // Nobody else could run it: a later member finds no mark of this home and
    // answers `may_have_run` for a while.
    if (is_sole_member(state))
    {
        settle_record(state, pending, out);
        return;
    }
    pending.deadline_ = now + state.settings_.journal_.record_timeout_;
    pending.last_sent_ = now;
    const member* partner =
        journal_backup(state.view_, state.self_, bucket_of(key.flow_));
    if (partner != nullptr)
    {
        send_record(state, *partner, pending, now, out);
    }
    state.pending_records_[key] = std::move(pending);
}

void answer_known(const forwarded_packet& packet, const stored_entry& known,
                  agent_actions& out)
{
    switch (known.entry_.state_)
    {
    case journal_entry_state::finished:
        out.push_back(send_stored_answer{packet.flow_, packet.fabric_,
                                         known.entry_.answer_});
        break;
    case journal_entry_state::refused:
        answer_refused(packet, run_state::did_not_run, refusal::duplicate, out);
        break;
    case journal_entry_state::started:
        answer_refused(packet, run_state::may_have_run, refusal::owner_lost,
                       out);
        break;
    }
}

} // namespace

bool has_gap(const agent_state& state, bucket_id bucket, instant now)
{
    const auto& until = state.buckets_[bucket.value()].journal_gap_until_;
    return until && now < *until;
}

void guard_request(agent_state& state, const forwarded_packet& packet,
                   const request_info& request, instant now, agent_actions& out)
{
    const stored_entry* known = find_entry(state.journal_, request.key_);
    const bool own = known != nullptr && known->entry_.owner_ == state.self_;
    const bool started = known != nullptr &&
                         known->entry_.state_ == journal_entry_state::started;
    if (known != nullptr && !(own && started))
    {
        answer_known(packet, *known, out);
        return;
    }
    const bool in_progress =
        known != nullptr && (known->sent_to_upstream_ ||
                             state.pending_records_.count(request.key_) != 0);
    if (in_progress)
    {
        return;
    }
    const bucket_id bucket = bucket_of(packet.flow_);
    if (known == nullptr && has_gap(state, bucket, now))
    {
        answer_refused(packet, run_state::may_have_run, refusal::owner_lost,
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
    const stored_entry& kept =
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    if (kept.entry_.owner_ != state.self_ ||
        kept.entry_.state_ != journal_entry_state::refused)
    {
        answer_known(packet, kept, out);
        return;
    }
    start_record(state, pending_record{packet, entry, reason, now, now}, now,
                 out);
}

void take_record(agent_state& state, const peer_header& from,
                 const journal_record& record, instant now, agent_actions& out)
{
    const bucket_id bucket = bucket_of(record.entry_.key_.flow_);
    const member* sender = find_incarnation(state.view_, from.sender_);
    const member* partner = journal_backup(state.view_, from.sender_, bucket);
    // Only under the same epoch do owner and partner agree on who is who.
    if (from.epoch_ != state.view_.roster_.epoch_ ||
        !is_live(state.view_, from.sender_) || partner == nullptr ||
        incarnation_of(*partner) != state.self_ ||
        record.entry_.owner_ != from.sender_)
    {
        return;
    }
    const bucket_state& part = state.buckets_[bucket.value()];
    if (part.is_home_ && !part.directory_complete_)
    {
        return;
    }
    journal_entry held = record.entry_;
    const bool known =
        find_entry(state.journal_, record.entry_.key_) != nullptr;
    if (part.is_home_ && !known && has_gap(state, bucket, now))
    {
        // An earlier owner's entry may have been here; this home answers as
        // if it held one.
        held.owner_ = state.self_;
        held.state_ = journal_entry_state::started;
    }
    else
    {
        held = merge_entry(state.journal_, held, state.settings_.journal_, now)
                   .entry_;
    }
    send_to(state, *sender, journal_ack{held}, out);
}

void take_record_ack(agent_state& state, const peer_header& from,
                     const journal_ack& ack, instant now, agent_actions& out)
{
    const auto found = state.pending_records_.find(ack.entry_.key_);
    if (found == state.pending_records_.end())
    {
        return;
    }
    pending_record& pending = found->second;
    const member* partner = journal_backup(state.view_, state.self_,
                                           bucket_of(ack.entry_.key_.flow_));
    if (partner == nullptr || incarnation_of(*partner) != from.sender_)
    {
        return;
    }
    if (ack.entry_.owner_ != state.self_)
    {
        stored_entry& kept = state.journal_.entries_.at(ack.entry_.key_);
        kept.entry_ = ack.entry_;
        answer_known(pending.packet_, kept, out);
        state.pending_records_.erase(found);
        return;
    }
    // A late ack of an earlier state of this entry proves nothing.
    if (ack.entry_.state_ != pending.entry_.state_)
    {
        return;
    }
    const bool may_run =
        holds_lease(state.lease_, state.view_, state.settings_.lease_, now);
    if (pending.entry_.state_ != journal_entry_state::finished && !may_run)
    {
        return;
    }
    const pending_record settled = std::move(pending);
    state.pending_records_.erase(found);
    settle_record(state, settled, out);
}

void drive_records(agent_state& state, instant now, agent_actions& out)
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
        const member* partner = journal_backup(
            state.view_, state.self_, bucket_of(pending.entry_.key_.flow_));
        const bool due = now >= pending.last_sent_ + settings.resend_interval_;
        if (due && partner != nullptr)
        {
            send_record(state, *partner, pending, now, out);
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
    const stored_entry& kept =
        merge_entry(state.journal_, entry, state.settings_.journal_, now);
    if (kept.entry_.state_ == journal_entry_state::finished)
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
