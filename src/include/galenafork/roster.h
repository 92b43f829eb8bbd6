/// \file
/// The roster of a service: its members and the home and deputy of each
/// bucket. One roster is one object in the platform. Rosters change only
/// through `apply`, which is a pure function, so a change (small) can travel
/// in place of the roster (large).

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

/// What a member may be given.
enum class member_state
{
    /// Announced, holds no bucket yet.
    joining,
    /// Holds buckets and opens flows.
    serving,
    /// Keeps its flows, opens no new one, holds no bucket.
    draining,
};

/// `joining`, `serving` or `draining`.
const char* to_string(member_state state);

/// One instance of a service.
struct member
{
    instance_id instance_;
    incarnation incarnation_;
    data_centre data_centre_;
    /// Where its agent takes forwarded packets and peer messages (UDP).
    endpoint packet_endpoint_;
    /// Where its agent answers control calls (TCP).
    endpoint control_endpoint_;
    slot_count slots_;
    member_state state_ = member_state::joining;
    /// Instances that grant this member's lease, at most `max_watchers`.
    std::vector<instance_id> watchers_;
    /// Epoch of the last change of `watchers_`; older promises of this
    /// member's lapse do not count.
    epoch watch_epoch_;
};

/// Most watchers of one member.
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
    /// `max_recent_writes`; they settle lost answers.
    std::vector<write_id> recent_writes_;
    /// Lives that left in good order, newest first, at most
    /// `max_recent_departures`: whoever skipped epochs tells them from lost
    /// ones.
    std::vector<instance_incarnation> recent_departures_;
};

/// Departures that a roster remembers.
inline constexpr std::size_t max_recent_departures = 32;

/// Writes that a roster remembers.
inline constexpr std::size_t max_recent_writes = 16;

/// What a change does to a roster.
enum class roster_change_kind
{
    /// Adds `member_`, or replaces the same instance's older incarnation.
    join,
    /// Marks the member draining and moves its buckets away.
    drain,
    /// Makes a draining member serving again.
    undrain,
    /// Removes a member that is lost.
    remove,
    /// Removes a draining member that has no flow and no request left.
    leave,
};

/// One change of a roster.
struct roster_change
{
    roster_change_kind kind_ = roster_change_kind::join;
    /// The whole member for `join`; else only instance and incarnation count.
    member member_;
    write_id write_;
};

/// The roster after `change`, one epoch later. Moves as few buckets as an
/// even spread by slots needs. A member that loses all its watchers at once
/// (the survivor of two) gets the next incarnation, since a watcher may have
/// promised the lapse of the present one. Deterministic: every process computes
/// the same result. Fails with `not_found` if the change names no present
/// member of that incarnation, `conflict` if it changes nothing.
tl::expected<roster, error> apply(const roster& current,
                                  const roster_change& change);

/// True if `r`, read after `change` was written, has it no longer: the member
/// that joined is gone, or the removed one is there. A renewed incarnation is
/// the same member.
bool is_undone(const roster& r, const roster_change& change);

/// The member named `instance`, or null.
const member* find_member(const roster& r, const instance_id& instance);

/// The member at `index`, or null for `no_member`.
const member* member_at(const roster& r, member_index index);

/// The home of `bucket`, or null while nobody serves.
const member* home_of(const roster& r, bucket_id bucket);

/// The deputy of `bucket`, or null.
const member* deputy_of(const roster& r, bucket_id bucket);

/// Lives whose leases have lapsed for good; only ever grows.
struct expired_members
{
    std::vector<instance_incarnation> incarnations_;

    /// True if `m` in its present incarnation has lapsed.
    bool contains(const member& m) const;
};

/// The order in which members act for `bucket`: home, deputy, then the other
/// members in an order fixed by the bucket; lapsed and not serving members are
/// passed over. `rank` 0 is the effective home, 1 its journal partner. Null if
/// there are not so many. Allocates nothing.
const member* successor_of(const roster& r, const expired_members& lapsed,
                           bucket_id bucket, std::size_t rank);

/// The member that opens flows of `bucket`: `successor_of` rank 0.
const member* effective_home_of(const roster& r, const expired_members& lapsed,
                                bucket_id bucket);

/// The JSON form kept in the platform.
std::string to_json(const roster& r);

/// Reads what `to_json` wrote. Fails with `bad_message`.
tl::expected<roster, error> roster_from_json(const std::string& text);

} // namespace galenafork

#endif
