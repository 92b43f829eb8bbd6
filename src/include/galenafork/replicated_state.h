/// \file
/// The state that balancers replicate among each other (rules, rosters and
/// expired members): updates that can be merged in any order, digests to
/// compare two replicas, and deltas that bring a replica up to date.

#ifndef GALENAFORK_REPLICATED_STATE_H
#define GALENAFORK_REPLICATED_STATE_H

#include <galenafork/roster.h>
#include <galenafork/routing.h>
#include <galenafork/rules_object.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace galenafork
{

/// One delta of the rules: the edit that leads from the previous version to
/// `version_`.
struct rules_delta
{
    rules_version version_;
    text_edit edit_;
};

/// One delta of a roster: the change that leads from the previous epoch to
/// `epoch_`.
struct roster_delta
{
    service_name service_;
    epoch epoch_;
    roster_change change_;
};

/// Members of one service whose leases have expired for good.
struct expired_members_update
{
    service_name service_;
    std::vector<instance_incarnation> incarnations_;
};

/// One update that a balancer sends to another.
using state_update = std::variant<active_rules, rules_delta, roster,
                                  roster_delta, expired_members_update>;

/// The replicated state of one service.
struct service_state
{
    /// Null until a roster is received.
    std::shared_ptr<const roster> roster_;
    /// Sorted. Only grows, except that incarnations which are not in the roster
    /// are dropped beyond `max_expired_members`.
    expired_members expired_members_;
    /// The latest deltas in order, at most `max_recent_deltas`; the last one
    /// leads to `roster_`.
    std::vector<roster_delta> recent_deltas_;
};

/// A balancer's replica. No part ever goes back: the version of the rules and
/// the epoch of each roster only increase, and a member that has expired stays
/// expired.
struct replicated_state
{
    /// Null until rules are received.
    std::shared_ptr<const active_rules> rules_;
    /// The latest deltas in order, at most `max_recent_deltas`; the last one
    /// leads to `rules_`.
    std::vector<rules_delta> recent_rules_deltas_;
    std::map<service_name, service_state> services_;
};

/// Maximum number of deltas kept, for the rules and for each roster, to bring
/// lagging balancers up to date.
inline constexpr std::size_t max_recent_deltas = 8;

/// Maximum number of expired members kept per service, besides those that are
/// in its roster.
inline constexpr std::size_t max_expired_members = 64;

/// Maximum number of retired rules; the most recently removed ones are kept.
inline constexpr std::size_t max_retired_rules = 512;

/// The outcome of merging an update.
enum class merge_result
{
    /// The update changed the state.
    applied,
    /// The state already includes the update or is newer; nothing changed.
    old,
    /// The update is a delta, but the version or epoch before it has not been
    /// received: the missing state has to be pulled. Nothing changed.
    gap,
    /// The delta does not fit the state; nothing changed.
    bad,
};

/// Returns the enumerator's name.
const char* to_string(merge_result result);

/// \name Merging
/// Merges an update into `state`. Updates may arrive late, twice or out of
/// order; versions never go back.
/// @{
merge_result merge(replicated_state& state, const active_rules& update);
merge_result merge(replicated_state& state, const rules_delta& update);
merge_result merge(replicated_state& state, const roster& update);
merge_result merge(replicated_state& state, const roster_delta& update);
merge_result merge(replicated_state& state,
                   const expired_members_update& update);
merge_result merge(replicated_state& state, const state_update& update);
/// @}

/// Returns the delta from `before` to `after` if their epochs are consecutive
/// and `apply` reproduces `after` from it; otherwise nothing.
std::optional<roster_delta> delta_between(const roster& before,
                                          const roster& after);

/// Returns the delta from `before` to `after` if their versions are
/// consecutive; otherwise nothing.
std::optional<rules_delta> delta_between(const active_rules& before,
                                         const active_rules& after);

/// Returns the rules after `delta`. Fails with `bad_rule` if the delta does not
/// fit `before` or the resulting file is not valid.
tl::expected<active_rules, error> apply(const active_rules& before,
                                        const rules_delta& delta);

/// Returns the rules of a platform object, with the retired rules from its
/// history. Fails with `bad_rule`.
tl::expected<active_rules, error> make_active_rules(const rules_object& object);

/// Returns the rules of the rule file `text`, accepted as `version`. `retired`
/// is a rule file of the retired rules. Fails with `bad_rule`.
tl::expected<active_rules, error> make_active_rules(rules_version version,
                                                    const std::string& text,
                                                    const std::string& retired);

/// Returns the smallest form of `update`, which was just applied to `state`,
/// for sending to other balancers: the delta if the update advanced the state
/// by one version or epoch, otherwise the update itself.
state_update compact_update(const replicated_state& state,
                            const state_update& update);

/// Number of groups into which services are divided by a hash of their names.
inline constexpr std::uint16_t digest_group_count = 64;

/// A digest of a replica, which two balancers compare to find differences.
struct state_digest
{
    rules_version rules_version_;
    /// Hash of the rosters' epochs and expired members of each group.
    std::array<std::uint64_t, digest_group_count> groups_{};

    friend bool operator==(const state_digest& a, const state_digest& b)
    {
        return a.rules_version_ == b.rules_version_ && a.groups_ == b.groups_;
    }
};

/// Returns the digest of `state`. Replicas with the same rules version, roster
/// epochs and expired members have equal digests.
state_digest digest_of(const replicated_state& state);

/// The version of one service's state.
struct service_version
{
    service_name service_;
    /// Zero if there is no roster.
    epoch epoch_;
    /// Number of members of that roster that have expired.
    std::uint32_t expired_count_ = 0;
};

/// The version of the rules, and of the services in some groups.
struct state_versions
{
    rules_version rules_version_;
    std::vector<std::uint16_t> groups_;
    std::vector<service_version> services_;
};

/// Returns the versions in `state` of the rules and of the groups that differ
/// from `peer_digest`; there are no groups if all are equal. The versions are
/// sent to that peer, which passes them to `updates_since` and responds with
/// the updates.
state_versions differing_versions(const replicated_state& state,
                                  const state_digest& peer_digest);

/// Returns the versions of every group.
state_versions all_versions(const replicated_state& state);

/// Returns the updates that `state` has beyond `peer_versions`, for the rules
/// and the groups listed there: deltas if the recent ones cover the difference,
/// otherwise the whole rules or roster. Expired members are included even if
/// the peer has them.
std::vector<state_update> updates_since(const replicated_state& state,
                                        const state_versions& peer_versions);

/// Builds the routing snapshot for the traffic threads; returns null if `state`
/// has no rules. Shares the unchanged parts of `previous`, which may be null.
std::shared_ptr<const routing_snapshot>
build_snapshot(const replicated_state& state, const routing_snapshot* previous);

} // namespace galenafork

#endif
