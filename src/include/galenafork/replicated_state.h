/// \file
/// What a balancer knows of rules and rosters, and how it spreads among
/// balancers: merging in any order, digests, and differences.

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

/// One step of the rules: the edit that leads from the version before to
/// `version_`.
struct rules_delta
{
    rules_version version_;
    text_edit edit_;
};

/// One step of a roster, which leads to `epoch_`.
struct roster_delta
{
    service_name service_;
    epoch epoch_;
    roster_change change_;
};

/// Lives of one service that have lapsed for good.
struct expired_members_update
{
    service_name service_;
    std::vector<instance_incarnation> incarnations_;
};

/// Anything that one balancer tells another.
using state_update = std::variant<active_rules, rules_delta, roster,
                                  roster_delta, expired_members_update>;

/// What is known of one service.
struct service_state
{
    /// Null until known.
    std::shared_ptr<const roster> roster_;
    /// Sorted; grows but for lives that are no member any more.
    expired_members expired_members_;
    /// The latest steps in order, at most `max_recent_deltas`; the last one
    /// leads to `roster_`.
    std::vector<roster_delta> recent_deltas_;
};

/// All that a balancer knows. Every part only moves forward: rules by their
/// version, rosters by their epoch, lapsed lives as a growing set.
struct replicated_state
{
    /// Null until known.
    std::shared_ptr<const active_rules> rules_;
    /// The latest steps in order, at most `max_recent_deltas`; the last one
    /// leads to `rules_`.
    std::vector<rules_delta> recent_rules_deltas_;
    std::map<service_name, service_state> services_;
};

/// Steps of the rules and of a roster that are kept for those who lag.
inline constexpr std::size_t max_recent_deltas = 8;

/// Lapsed lives kept of one service, beyond those of its members.
inline constexpr std::size_t max_expired_members = 64;

/// Retired rules that are kept; the latest go first.
inline constexpr std::size_t max_retired_rules = 512;

/// What came of an update.
enum class merge_result
{
    /// It was news.
    applied,
    /// Known already, or older than what is known; nothing changed.
    old,
    /// It builds on an epoch that is not known here: pull the whole roster.
    gap,
    /// It contradicts what is known; nothing changed.
    bad,
};

/// The enumerator's name.
const char* to_string(merge_result result);

/// \name Merging
/// Each may come late, twice or out of order; versions never go back.
/// @{
merge_result merge(replicated_state& state, const active_rules& update);
merge_result merge(replicated_state& state, const rules_delta& update);
merge_result merge(replicated_state& state, const roster& update);
merge_result merge(replicated_state& state, const roster_delta& update);
merge_result merge(replicated_state& state,
                   const expired_members_update& update);
merge_result merge(replicated_state& state, const state_update& update);
/// @}

/// The step from `before` to `after`, if there is one step between them whose
/// outcome `apply` reproduces; else nothing.
std::optional<roster_delta> delta_between(const roster& before,
                                          const roster& after);

/// The step from `before` to `after`, if it is one step.
std::optional<rules_delta> delta_between(const active_rules& before,
                                         const active_rules& after);

/// The rules after `change`. Fails with `bad_rule` if it does not fit them.
tl::expected<active_rules, error> apply(const active_rules& before,
                                        const rules_delta& change);

/// The rules of a platform object, with the retired rules out of its history.
/// Fails with `bad_rule`.
tl::expected<active_rules, error> make_active_rules(const rules_object& object);

/// The rules of a file accepted as `version`, with the lines of `retired`
/// rules. Fails with `bad_rule`.
tl::expected<active_rules, error> make_active_rules(rules_version version,
                                                    const std::string& text,
                                                    const std::string& retired);

/// What others need to be told of `update`, which `state` has just taken:
/// the step that it was, if it was one step, in place of the whole.
state_update compact_update(const replicated_state& state,
                            const state_update& update);

/// Groups that services fall into by their names.
inline constexpr std::uint16_t digest_group_count = 64;

/// What a balancer knows, in short.
struct state_digest
{
    rules_version rules_version_;
    std::array<std::uint64_t, digest_group_count> groups_{};

    friend bool operator==(const state_digest& a, const state_digest& b)
    {
        return a.rules_version_ == b.rules_version_ && a.groups_ == b.groups_;
    }
};

/// The digest of `state`; equal for states that know the same.
state_digest digest_of(const replicated_state& state);

/// What is known of one service, in short.
struct service_version
{
    service_name service_;
    /// Zero if no roster is known.
    epoch epoch_;
    /// Members of that roster that are known to have lapsed.
    std::uint32_t expired_count_ = 0;
};

/// What is known of the services of some groups.
struct state_versions
{
    rules_version rules_version_;
    std::vector<std::uint16_t> groups_;
    std::vector<service_version> services_;
};

/// The versions to send to the peer whose digest is `theirs`, so that it
/// answers what is missing here. No groups if both know the same.
state_versions differing_versions(const replicated_state& state,
                                  const state_digest& theirs);

/// The versions of every group.
state_versions all_versions(const replicated_state& state);

/// What `state` knows beyond `have`: steps where they suffice, else whole
/// rosters.
std::vector<state_update> updates_since(const replicated_state& state,
                                        const state_versions& have);

/// The table for the traffic threads; null until rules are known. Shares the
/// unchanged parts of `previous`, which may be null.
std::shared_ptr<const routing_snapshot>
build_snapshot(const replicated_state& state, const routing_snapshot* previous);

} // namespace galenafork

#endif
