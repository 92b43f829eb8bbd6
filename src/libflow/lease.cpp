#include <galenafork/lease.h>

#include <algorithm>

namespace galenafork
{

namespace
{

// Number of latest heartbeats whose acks are accepted.
constexpr std::size_t max_sent_heartbeats = 16;

template <class Contacts>
auto find_contact(Contacts& contacts, const instance_incarnation& peer)
    -> decltype(contacts.data())
{
    for (auto& contact : contacts)
    {
        if (contact.peer_ == peer)
        {
            return &contact;
        }
    }
    return nullptr;
}

bool is_fresh(const std::optional<instant>& sent,
              const lease_settings& settings, instant now)
{
    return sent && now < *sent + settings.lease_length_;
}

bool granted_by_watcher(const lease_state& lease, const member_view& view,
                        const lease_settings& settings, instant now)
{
    for (const instance_id& watcher : lease.active_watchers_)
    {
        const member* m = find_member(view.roster_, watcher);
        if (m == nullptr || view.expired_members_.contains(*m))
        {
            continue;
        }
        const peer_contact* contact =
            find_contact(lease.contacts_, incarnation_of(*m));
        if (contact != nullptr &&
            is_fresh(contact->granting_heartbeat_sent_at_, settings, now))
        {
            return true;
        }
    }
    return false;
}

bool acked_by_all(const lease_state& lease, const member_view& view,
                  const lease_settings& settings, instant now)
{
    const auto peers = live_peers(view, lease.self_);
    return !peers.empty() &&
           std::all_of(peers.begin(), peers.end(),
                       [&](const member* m)
                       {
                           const peer_contact* contact = find_contact(
                               lease.contacts_, incarnation_of(*m));
                           return contact != nullptr &&
                                  is_fresh(contact->acked_heartbeat_sent_at_,
                                           settings, now);
                       });
}

const watched_member* find_watched(const watch_state& watch,
                                   const instance_incarnation& watched)
{
    for (const watched_member& entry : watch.watched_members_)
    {
        if (entry.watched_ == watched)
        {
            return &entry;
        }
    }
    return nullptr;
}

bool is_watched_by(const member& m, const instance_id& watcher)
{
    return std::find(m.watchers_.begin(), m.watchers_.end(), watcher) !=
           m.watchers_.end();
}

// Returns the members that `self` watches under the view's roster. A watch
// continues if the member's watcher set is unchanged and starts again
// otherwise. An expiry promise stays in force in both cases; the watcher makes
// it again under the newer epoch.
std::vector<watched_member> make_watched_members(const watch_state& watch,
                                                 const member_view& view,
                                                 const instance_id& self,
                                                 instant now)
{
    std::vector<watched_member> watched_members;
    for (const member& m : view.roster_.members_)
    {
        if (!is_watched_by(m, self))
        {
            continue;
        }
        watched_member watched{incarnation_of(m), m.watch_epoch_, now, false};
        if (const watched_member* old = find_watched(watch, watched.watched_))
        {
            const bool same_set = old->watch_epoch_ == watched.watch_epoch_;
            watched.last_renewal_ = same_set ? old->last_renewal_ : now;
            watched.expiry_promised_ = old->expiry_promised_;
        }
        watched_members.push_back(watched);
    }
    return watched_members;
}

// True if no active watcher is a member any more. Any of them may have promised
// this incarnation's expiry before it left, so no new watcher may become
// active.
bool lost_all_watchers(const lease_state& lease, const member_view& view)
{
    const auto& active = lease.active_watchers_;
    return !active.empty() &&
           std::none_of(active.begin(), active.end(),
                        [&](const instance_id& id)
                        { return find_member(view.roster_, id) != nullptr; });
}

// Activates the roster's watchers once each old watcher that is still live is
// known to have a roster that names the new ones. A member that counts the old
// watchers' promises needs that roster then, and so waits for the promises of
// the new watchers too.
void activate_watchers(lease_state& lease, const member_view& view)
{
    const member* self = find_incarnation(view, lease.self_);
    if (self == nullptr)
    {
        return;
    }
    if (lost_all_watchers(lease, view))
    {
        return;
    }
    const bool all_up_to_date = std::all_of(
        lease.active_watchers_.begin(), lease.active_watchers_.end(),
        [&](const instance_id& id)
        {
            const member* old = find_member(view.roster_, id);
            if (old == nullptr || view.expired_members_.contains(*old))
            {
                return true;
            }
            const peer_contact* contact =
                find_contact(lease.contacts_, incarnation_of(*old));
            return contact != nullptr && contact->epoch_ >= self->watch_epoch_;
        });
    if (all_up_to_date)
    {
        lease.active_watchers_ = self->watchers_;
    }
}

bool has_promised(const watch_state& watch,
                  const instance_incarnation& expired_member,
                  const instance_id& watcher, epoch min_epoch)
{
    return std::any_of(watch.expiry_promises_.begin(),
                       watch.expiry_promises_.end(),
                       [&](const recorded_expiry_promise& p)
                       {
                           return p.expired_member_ == expired_member &&
                                  p.watcher_ == watcher &&
                                  p.epoch_ >= min_epoch;
                       });
}

// A watcher that has itself expired sends no more acks, so the last lease that
// it granted ends within one lease length after its own expiry.
bool expired_a_lease_ago(const watch_state& watch, const member& watcher,
                         const lease_settings& settings, instant now)
{
    const auto recorded =
        watch.expiry_recorded_at_.find(incarnation_of(watcher));
    return recorded != watch.expiry_recorded_at_.end() &&
           now >= recorded->second + settings.lease_length_ +
                      settings.drift_margin_;
}

bool acked_recently(const watch_state& watch, const instance_incarnation& peer,
                    const lease_settings& settings, instant now)
{
    const auto acked = watch.last_ack_sent_.find(peer);
    return acked != watch.last_ack_sent_.end() &&
           now <
               acked->second + settings.lease_length_ + settings.drift_margin_;
}

bool has_expired(const watch_state& watch, const member_view& view,
                 const member& m, const lease_settings& settings, instant now)
{
    if (m.watchers_.empty() ||
        acked_recently(watch, incarnation_of(m), settings, now))
    {
        return false;
    }
    return std::all_of(
        m.watchers_.begin(), m.watchers_.end(),
        [&](const instance_id& id)
        {
            if (has_promised(watch, incarnation_of(m), id, m.watch_epoch_))
            {
                return true;
            }
            const member* watcher = find_member(view.roster_, id);
            return watcher != nullptr &&
                   view.expired_members_.contains(*watcher) &&
                   expired_a_lease_ago(watch, *watcher, settings, now);
        });
}

} // namespace

bool holds_lease(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now)
{
    const member* self = find_incarnation(view, lease.self_);
    if (self == nullptr || view.expired_members_.contains(*self))
    {
        return false;
    }
    return view.roster_.members_.size() == 1 ||
           now < lease.join_requested_at_ + settings.lease_length_ ||
           granted_by_watcher(lease, view, settings, now) ||
           acked_by_all(lease, view, settings, now);
}

void update_lease_state(lease_state& lease, watch_state& watch,
                        const member_view& view, const lease_settings& settings,
                        instant now)
{
    const bool was_paused =
        lease.last_lease_check_ &&
        now >= *lease.last_lease_check_ + settings.lease_length_;
    lease.last_lease_check_ = now;
    if (!holds_lease(lease, view, settings, now))
    {
        const bool restarts = !lease.missing_since_ || was_paused;
        lease.missing_since_ = restarts ? now : lease.missing_since_;
        return;
    }
    if (lease.missing_since_ || was_paused)
    {
        lease.missing_since_.reset();
        for (watched_member& watched : watch.watched_members_)
        {
            watched.last_renewal_ = now;
        }
    }
}

void apply_view(lease_state& lease, watch_state& watch, const member_view& view,
                instant now)
{
    auto& contacts = lease.contacts_;
    contacts.erase(std::remove_if(contacts.begin(), contacts.end(),
                                  [&](const peer_contact& c)
                                  { return !find_incarnation(view, c.peer_); }),
                   contacts.end());
    watch.watched_members_ =
        make_watched_members(watch, view, lease.self_.instance_, now);
    for (const instance_incarnation& expired :
         view.expired_members_.incarnations_)
    {
        watch.expiry_recorded_at_.emplace(expired, now);
    }
    activate_watchers(lease, view);
}

std::uint64_t register_heartbeat(lease_state& lease, instant now)
{
    auto& sent = lease.sent_heartbeats_;
    if (sent.size() == max_sent_heartbeats)
    {
        sent.erase(sent.begin());
    }
    sent.push_back(sent_heartbeat{lease.next_sequence_, now});
    return lease.next_sequence_++;
}

void handle_heartbeat_ack(lease_state& lease, const member_view& view,
                          const instance_incarnation& peer, epoch peer_epoch,
                          const heartbeat_ack& ack)
{
    const auto sent = std::find_if(
        lease.sent_heartbeats_.begin(), lease.sent_heartbeats_.end(),
        [&](const sent_heartbeat& h) { return h.sequence_ == ack.sequence_; });
    if (sent == lease.sent_heartbeats_.end() || !find_incarnation(view, peer))
    {
        return;
    }
    peer_contact* contact = find_contact(lease.contacts_, peer);
    if (contact == nullptr)
    {
        lease.contacts_.push_back(peer_contact{peer, {}, {}, peer_epoch});
        contact = &lease.contacts_.back();
    }
    contact->epoch_ = std::max(contact->epoch_, peer_epoch);
    const auto later = [&](const std::optional<instant>& old)
    { return old ? std::max(*old, sent->sent_at_) : sent->sent_at_; };
    contact->acked_heartbeat_sent_at_ =
        later(contact->acked_heartbeat_sent_at_);
    if (ack.grants_lease_)
    {
        contact->granting_heartbeat_sent_at_ =
            later(contact->granting_heartbeat_sent_at_);
    }
    activate_watchers(lease, view);
}

bool is_self_expired(const lease_state& lease, const watch_state& watch,
                     const member_view& view)
{
    const auto& active = lease.active_watchers_;
    if (active.empty() || view.roster_.members_.size() == 1)
    {
        return false;
    }
    return lost_all_watchers(lease, view) ||
           std::all_of(
               active.begin(), active.end(),
               [&](const instance_id& id)
               { return has_promised(watch, lease.self_, id, epoch(0)); });
}

bool has_promised_expiry(const watch_state& watch,
                         const instance_incarnation& watched)
{
    const watched_member* entry = find_watched(watch, watched);
    return entry != nullptr && entry->expiry_promised_;
}

bool try_ack_heartbeat(watch_state& watch, const member_view& view,
                       const instance_incarnation& sender, instant now)
{
    if (!is_live(view, sender))
    {
        return false;
    }
    for (watched_member& watched : watch.watched_members_)
    {
        if (watched.watched_ != sender)
        {
            continue;
        }
        if (watched.expiry_promised_)
        {
            return false;
        }
        watched.last_renewal_ = std::max(watched.last_renewal_, now);
    }
    watch.last_ack_sent_[sender] = now;
    return true;
}

std::vector<expiry_promise> make_expiry_promises(const lease_state& lease,
                                                 watch_state& watch,
                                                 const member_view& view,
                                                 const lease_settings& settings,
                                                 instant now)
{
    std::vector<expiry_promise> due;
    if (!holds_lease(lease, view, settings, now))
    {
        return due;
    }
    for (watched_member& watched : watch.watched_members_)
    {
        const instant allowed_at = watched.last_renewal_ +
                                   settings.lease_length_ +
                                   settings.drift_margin_;
        if (now < allowed_at || !find_incarnation(view, watched.watched_))
        {
            continue;
        }
        watched.expiry_promised_ = true;
        due.push_back(expiry_promise{watched.watched_});
        record_expiry_promise(watch, watched.watched_, lease.self_.instance_,
                              view.roster_.epoch_);
    }
    return due;
}

void record_expiry_promise(watch_state& watch,
                           const instance_incarnation& expired_member,
                           const instance_id& watcher, epoch promise_epoch)
{
    for (recorded_expiry_promise& promise : watch.expiry_promises_)
    {
        if (promise.expired_member_ == expired_member &&
            promise.watcher_ == watcher)
        {
            promise.epoch_ = std::max(promise.epoch_, promise_epoch);
            return;
        }
    }
    watch.expiry_promises_.push_back(
        recorded_expiry_promise{expired_member, watcher, promise_epoch});
}

std::vector<instance_incarnation> find_expired(const watch_state& watch,
                                               const member_view& view,
                                               const lease_settings& settings,
                                               instant now)
{
    std::vector<instance_incarnation> found;
    for (const member& m : view.roster_.members_)
    {
        if (!view.expired_members_.contains(m) &&
            has_expired(watch, view, m, settings, now))
        {
            found.push_back(incarnation_of(m));
        }
    }
    return found;
}

std::vector<instance_incarnation>
find_unreachable(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now)
{
    std::vector<instance_incarnation> found;
    if (!lease.missing_since_ || !is_live(view, lease.self_) ||
        now < *lease.missing_since_ + settings.isolation_wait_)
    {
        return found;
    }
    for (const member* m : live_peers(view, lease.self_))
    {
        const peer_contact* contact =
            find_contact(lease.contacts_, incarnation_of(*m));
        const bool acked =
            contact != nullptr && contact->acked_heartbeat_sent_at_ &&
            *contact->acked_heartbeat_sent_at_ >= *lease.missing_since_;
        if (!acked)
        {
            found.push_back(incarnation_of(*m));
        }
    }
    return found;
}

} // namespace galenafork
