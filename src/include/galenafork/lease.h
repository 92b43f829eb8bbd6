/// \file
/// Leases among the members of a service: who holds one, who watches whom,
/// and when a member has lapsed. See docs/design/flow-protocol.md.

#ifndef GALENAFORK_LEASE_H
#define GALENAFORK_LEASE_H

#include <galenafork/member_view.h>
#include <galenafork/messages.h>
#include <galenafork/time.h>

#include <map>
#include <optional>
#include <vector>

namespace galenafork
{

/// Times of the lease protocol; the same for all members of a service.
struct lease_settings
{
    /// Between two heartbeats to a peer.
    duration heartbeat_interval_ = std::chrono::milliseconds(150);
    /// A lease ends this long after the acked heartbeat was sent.
    duration lease_length_ = std::chrono::milliseconds(600);
    /// What a watcher waits beyond `lease_length_`, for clocks that drift.
    duration drift_margin_ = std::chrono::milliseconds(60);
    /// A member that held no lease for so long asks the platform to remove
    /// the members that it cannot reach.
    duration isolation_wait_ = std::chrono::milliseconds(1200);
};

/// A heartbeat that may still be acked.
struct sent_heartbeat
{
    std::uint64_t sequence_ = 0;
    instant sent_at_;
};

/// What the holder of a lease knows of one peer.
struct peer_contact
{
    instance_incarnation peer_;
    /// When the newest heartbeat that the peer acked was sent.
    std::optional<instant> acked_heartbeat_sent_at_;
    /// As `acked_heartbeat_sent_at_`, for acks that grant the lease.
    std::optional<instant> granting_heartbeat_sent_at_;
    /// Epoch of the peer's newest ack.
    epoch epoch_;
};

/// A member's side of its own lease.
struct lease_state
{
    instance_incarnation self_;
    std::uint64_t next_sequence_ = 1;
    std::vector<sent_heartbeat> sent_heartbeats_;
    std::vector<peer_contact> contacts_;
    /// Watchers whose acks count: those of the newest roster that every
    /// earlier watcher still present is known to have.
    std::vector<instance_id> active_watchers_;
    /// When this member asked to join: its first lease begins there, since
    /// no watcher can have learned of it earlier.
    instant join_requested_at_;
    /// Since when, without a pause of this process, the lease is missing.
    std::optional<instant> missing_since_;
    std::optional<instant> last_lease_check_;
};

/// A watcher's side: one member that it watches.
struct watched_member
{
    instance_incarnation watched_;
    epoch watch_epoch_;
    /// Later of the last ack and of learning about the duty.
    instant last_renewal_;
    bool expiry_promised_ = false;
};

/// A promise that was made or heard.
struct recorded_expiry_promise
{
    instance_incarnation expired_member_;
    instance_id watcher_;
    epoch epoch_;
};

/// What a member knows about the leases of others.
struct watch_state
{
    std::vector<watched_member> watched_members_;
    std::vector<recorded_expiry_promise> expiry_promises_;
    /// When this member learned that a life lapsed.
    std::map<instance_incarnation, instant> expiry_learned_at_;
    /// When this member last acked a peer's heartbeat.
    std::map<instance_incarnation, instant> last_ack_sent_;
};

/// True if the member holds its lease at `now`. Read right before the act.
bool holds_lease(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now);

/// Notes at each tick whether the lease is held. A watcher that regained its
/// lease gives those it watches a whole lease's time before it promises.
void update_lease_state(lease_state& lease, watch_state& watch,
                        const member_view& view, const lease_settings& settings,
                        instant now);

/// Takes in a new roster or lapsed set: duties begin and end, active watchers
/// change as far as that is safe yet.
void apply_view(lease_state& lease, watch_state& watch, const member_view& view,
                instant now);

/// Registers a heartbeat sent now and returns its sequence number.
std::uint64_t register_heartbeat(lease_state& lease, instant now);

/// Takes in an ack of `peer`, whose message carried `peer_epoch`.
void handle_heartbeat_ack(lease_state& lease, const member_view& view,
                          const instance_incarnation& peer, epoch peer_epoch,
                          const heartbeat_ack& ack);

/// True if this member, a watcher, has promised the lapse of `life`.
bool has_promised_expiry(const watch_state& watch,
                         const instance_incarnation& life);

/// True if a heartbeat of `sender` may be acked at `now`; records the ack.
/// Never again true once the sender's lapse was promised or is known.
bool try_ack_heartbeat(watch_state& watch, const member_view& view,
                       const instance_incarnation& sender, instant now);

/// Promises due at `now`, only while this member holds its own lease. Each
/// is also entered among `expiry_promises_`.
std::vector<expiry_promise> make_expiry_promises(const lease_state& lease,
                                                 watch_state& watch,
                                                 const member_view& view,
                                                 const lease_settings& settings,
                                                 instant now);

/// Enters a promise of `watcher`, made at `promise_epoch`.
void record_expiry_promise(watch_state& watch,
                           const instance_incarnation& lapsed,
                           const instance_id& watcher, epoch promise_epoch);

/// True if this incarnation can hold no lease any more: every watcher that
/// counted has promised its lapse, or is a member no more.
bool is_self_expired(const lease_state& lease, const watch_state& watch,
                     const member_view& view);

/// Members that by all promises heard have lapsed and are not yet in the
/// view's lapsed set.
std::vector<instance_incarnation> find_expired(const watch_state& watch,
                                               const member_view& view,
                                               const lease_settings& settings,
                                               instant now);

/// Members that could not be reached for `isolation_wait_` while this member
/// ran and held no lease; the platform is to be asked to remove them.
std::vector<instance_incarnation>
find_unreachable(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now);

} // namespace galenafork

#endif
