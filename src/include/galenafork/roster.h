/// \file
/// The roster of a service: its members and the home and deputy of each
/// bucket. One roster is one object in the platform. Rosters change only
/// through `apply`, a pure function, so that processes can send each other the
/// small change in place of the large roster.

#ifndef GALENAFORK_ROSTER_H
#define GALENAFORK_ROSTER_H

#include <galenafork/endpoint.h>
#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/messages.h>

#include <array>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Whether a member may hold buckets and open flows.
enum class member_state
{
    /// Is in the roster, but holds no bucket and opens no flow yet.
    joining,
    /// Holds buckets and opens flows.
    serving,
    /// Keeps its flows, but opens no new one and holds no bucket.
    draining,
};

/// Returns `joining`, `serving` or `draining`.
const char* to_string(member_state state);

/// One instance of a service.
struct member
{
    instance_id instance_;
    incarnation incarnation_;
    data_centre data_centre_;
    /// Where its agent receives forwarded packets and peer messages (UDP).
    endpoint packet_endpoint_;
    /// Where its agent answers control calls (TCP).
    endpoint control_endpoint_;
    slot_count slots_;
    member_state state_ = member_state::joining;
    /// Instances that grant this member's lease, at most `max_watchers`.
    std::vector<instance_id> watchers_;
    /// Epoch of the last change of `watchers_`; promises of this member's
    /// expiry that were made under an older epoch do not count.
    epoch watch_epoch_;
};

/// Maximum number of watchers of one member.
inline constexpr std::size_t max_watchers = 2;

/// Index value for "no member".
inline constexpr member_index no_member{0xffff};

/// Home and deputy of one bucket, as indexes into the member list.
struct bucket_assignment
{
    member_index home_ = no_member;
    member_index deputy_ = no_member;

    friend bool operator==(const bucket_assignment& a,
                           const bucket_assignment& b)
    {
        return a.home_ == b.home_ && a.deputy_ == b.deputy_;
    }
};

/// The roster of one service at one epoch.
struct roster
{
    service_name service_;
    epoch epoch_;
    /// Sorted by instance id.
    std::vector<member> members_;
    std::array<bucket_assignment, bucket_count> buckets_{};
    /// The writes that made the latest epochs, newest first, at most
    /// `max_recent_writes`. A writer whose answer was lost finds out here
    /// whether its write took effect.
    std::vector<write_id> recent_writes_;
    /// Incarnations that left after draining, newest first, at most
    /// `max_recent_departures`. A process that skipped epochs needs them to
    /// distinguish members that left from lost ones.
    std::vector<instance_incarnation> recent_departures_;
};

/// Maximum number of departures that a roster records.
inline constexpr std::size_t max_recent_departures = 32;

/// Maximum number of writes that a roster records.
inline constexpr std::size_t max_recent_writes = 16;

/// Kind of a roster change.
enum class roster_change_kind
{
    /// Adds `member_`, replaces another incarnation of the same instance, or
    /// sets the state of a member that is present.
    join,
    /// Sets the member draining and moves its buckets to other members.
    drain,
    /// Makes a draining member serving again.
    undrain,
    /// Removes a lost member.
    remove,
    /// Removes a draining member that has no flows or requests left.
    leave,
};

/// One change of a roster.
struct roster_change
{
    roster_change_kind kind_ = roster_change_kind::join;
    /// The whole member for `join`; for other kinds only its instance and
    /// incarnation are used.
    member member_;
    write_id write_;
};

/// Returns the roster after `change`, with the next epoch. Moves as few buckets
/// as a distribution in proportion to slots requires. A member that loses all
/// its watchers at once (the survivor of two) gets the next incarnation, since
/// a watcher may have promised the expiry of the present one. Deterministic:
/// every process computes the same result. Fails with `not_found` if the roster
/// has no member with the instance and incarnation of the change, `conflict` if
/// the change has no effect, `refused` if a member leaves that is not draining.
tl::expected<roster, error> apply(const roster& current,
                                  const roster_change& change);

/// True if `r`, read after `change` was written, no longer contains its effect:
/// the joined member is absent, or the removed one is present. A member with a
/// renewed incarnation is the same member. Always false for `drain` and
/// `undrain`.
bool is_undone(const roster& r, const roster_change& change);

/// Returns the member named `instance`, or null.
const member* find_member(const roster& r, const instance_id& instance);

/// Returns the member at `index`, or null if `index` is out of range, as
/// `no_member` always is.
const member* member_at(const roster& r, member_index index);

/// Returns the home of `bucket`, or null while no member is serving.
const member* home_of(const roster& r, bucket_id bucket);

/// Returns the deputy of `bucket`, or null while fewer than two members are
/// serving.
const member* deputy_of(const roster& r, bucket_id bucket);

/// Incarnations whose leases have expired for good, and those that a roster
/// change removed as lost. The set only grows.
struct expired_members
{
    std::vector<instance_incarnation> incarnations_;

    /// True if `m` in its present incarnation has expired.
    bool contains(const member& m) const;
};

/// Returns the member at position `rank` in the order in which members act for
/// `bucket`: home, deputy, then the others in an order fixed by the bucket,
/// leaving out expired members and those that are not serving. Rank 0 is the
/// effective home, 1 its journal backup. Null if there is no member of that
/// rank. Allocates no memory.
const member* successor_of(const roster& r, const expired_members& expired,
                           bucket_id bucket, std::size_t rank);

/// Returns the member that places new flows of `bucket`: `successor_of` with
/// rank 0.
const member* effective_home_of(const roster& r, const expired_members& expired,
                                bucket_id bucket);

/// Returns the JSON form that the platform stores.
std::string to_json(const roster& r);

/// Parses the output of `to_json`. Fails with `bad_message` if `text` is not a
/// roster.
tl::expected<roster, error> roster_from_json(const std::string& text);

} // namespace galenafork

#endif
