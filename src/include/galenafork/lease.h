/// \file
/// Leases among the members of a service. The acks that a member's watchers
/// send to its heartbeats grant its lease. A member has expired for good once
/// every watcher has promised never to ack it again. See
/// docs/design/flow-protocol.md.

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

/// Timing of the lease protocol; the same for all members of a service.
struct lease_settings
{
    /// Interval between two rounds of heartbeats.
    duration heartbeat_interval_ = std::chrono::milliseconds(150);
    /// Length of a lease, counted from when the acked heartbeat was sent.
    duration lease_length_ = std::chrono::milliseconds(600);
    /// How much longer than `lease_length_` a watcher waits before it makes an
    /// expiry promise, to allow for clock drift.
    duration drift_margin_ = std::chrono::milliseconds(60);
    /// After this time without a lease a member asks the platform to remove the
    /// members that it cannot reach.
    duration isolation_wait_ = std::chrono::milliseconds(1200);
};

/// A heartbeat that may still be acked.
struct sent_heartbeat
{
    std::uint64_t sequence_ = 0;
    instant sent_at_;
};

/// The acks that a member received from one peer.
struct peer_contact
{
    instance_incarnation peer_;
    /// When the newest heartbeat that the peer acked was sent.
    std::optional<instant> acked_heartbeat_sent_at_;
    /// The same, counting only acks that grant the lease.
    std::optional<instant> granting_heartbeat_sent_at_;
    /// Highest roster epoch among the peer's acks.
    epoch epoch_;
};

/// State of a member's own lease.
struct lease_state
{
    instance_incarnation self_;
    std::uint64_t next_sequence_ = 1;
    std::vector<sent_heartbeat> sent_heartbeats_;
    std::vector<peer_contact> contacts_;
    /// Watchers whose acks grant the lease. A new watcher set becomes active
    /// once every live watcher of the old set has acked under a roster that
    /// names the new one.
    std::vector<instance_id> active_watchers_;
    /// When this member asked to join. Its first lease starts at this time,
    /// since no watcher can have seen it in a roster earlier.
    instant join_requested_at_;
    /// When the lease went missing; unset while it is held, set again after a
    /// pause of this process.
    std::optional<instant> missing_since_;
    std::optional<instant> last_lease_check_;
};

/// A watcher's state for one member that it watches.
struct watched_member
{
    instance_incarnation watched_;
    epoch watch_epoch_;
    /// The latest of the last ack, the start of the watch and the time at which
    /// the watcher regained its own lease or found that it had been paused.
    instant last_renewal_;
    bool expiry_promised_ = false;
};

/// An expiry promise that this member made or received.
struct recorded_expiry_promise
{
    instance_incarnation expired_member_;
    instance_id watcher_;
    epoch epoch_;
};

/// What a member has recorded about the leases of other members.
struct watch_state
{
    std::vector<watched_member> watched_members_;
    std::vector<recorded_expiry_promise> expiry_promises_;
    /// When this member recorded the expiry of each expired member.
    std::map<instance_incarnation, instant> expiry_recorded_at_;
    /// When this member last acked a heartbeat of each peer.
    std::map<instance_incarnation, instant> last_ack_sent_;
};

/// True if the member holds its lease at `now`. Its incarnation must be in the
/// roster and not expired. It then holds the lease if it is the only member, if
/// it asked to join less than a lease length ago, or if heartbeats that it sent
/// less than a lease length ago were acked by an active watcher, which grants
/// the lease, or by every live peer. To be called right before each action that
/// needs the lease.
bool holds_lease(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now);

/// Records whether the lease is held; to be called at each tick. A watcher that
/// regained its lease, or whose process was paused, waits a whole lease length
/// again before it makes expiry promises.
void update_lease_state(lease_state& lease, watch_state& watch,
                        const member_view& view, const lease_settings& settings,
                        instant now);

/// Applies a new roster or set of expired members: starts and ends watches, and
/// activates the roster's watchers if that is safe already (see
/// `lease_state::active_watchers_`).
void apply_view(lease_state& lease, watch_state& watch, const member_view& view,
                instant now);

/// Registers a heartbeat sent at `now` and returns its sequence number.
std::uint64_t register_heartbeat(lease_state& lease, instant now);

/// Handles an ack of `peer`, sent under a roster of `peer_epoch`. An ack of an
/// unknown heartbeat or from a peer that is not a member changes nothing.
void handle_heartbeat_ack(lease_state& lease, const member_view& view,
                          const instance_incarnation& peer, epoch peer_epoch,
                          const heartbeat_ack& ack);

/// True if this member is a watcher of `watched` and has promised its expiry.
bool has_promised_expiry(const watch_state& watch,
                         const instance_incarnation& watched);

/// True if a heartbeat of `sender` may be acked at `now`; records the ack then.
/// False if `sender` is not a member, and for good once this member has
/// promised or recorded the expiry of `sender`.
bool try_ack_heartbeat(watch_state& watch, const member_view& view,
                       const instance_incarnation& sender, instant now);

/// Makes, records and returns the expiry promises that are due at `now`;
/// earlier promises are made again. Returns none while this member does not
/// hold its own lease.
std::vector<expiry_promise> make_expiry_promises(const lease_state& lease,
                                                 watch_state& watch,
                                                 const member_view& view,
                                                 const lease_settings& settings,
                                                 instant now);

/// Records the promise of `watcher`, made at `promise_epoch`, that it will
/// never ack `expired_member` again.
void record_expiry_promise(watch_state& watch,
                           const instance_incarnation& expired_member,
                           const instance_id& watcher, epoch promise_epoch);

/// True if this incarnation can hold no lease any more: every active watcher
/// has promised its expiry, or no active watcher is a member any more. Always
/// false for the only member and for a member without active watchers.
bool is_self_expired(const lease_state& lease, const watch_state& watch,
                     const member_view& view);

/// Returns the members that have expired for good but are not in the view's set
/// of expired members yet: each of their watchers has promised the expiry, or
/// has itself expired at least one lease length ago, and this member has sent
/// them no ack within a lease length. The drift margin is added to both
/// lengths.
std::vector<instance_incarnation> find_expired(const watch_state& watch,
                                               const member_view& view,
                                               const lease_settings& settings,
                                               instant now);

/// Returns the live members that the platform is to be asked to remove: those
/// that have acked no heartbeat sent since this member's lease went missing.
/// Empty unless the lease has been missing for `isolation_wait_`.
std::vector<instance_incarnation>
find_unreachable(const lease_state& lease, const member_view& view,
                 const lease_settings& settings, instant now);

} // namespace galenafork

#endif
