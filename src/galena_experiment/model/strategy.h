/// \file
/// Ways to place a flow: the policy and the baselines that it is measured
/// against.

#ifndef GALENAFORK_EXPERIMENT_STRATEGY_H
#define GALENAFORK_EXPERIMENT_STRATEGY_H

#include "trace.h"

#include <galenafork/load_policy.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace galenafork::pvt
{

/// Who decides where a flow goes, and from what knowledge.
enum class strategy
{
    /// `choose_owner` and `admit`, as the agents call them.
    policy,
    /// The policy's placement, but every request is queued.
    no_shedding,
    /// Every flow stays with the home of its bucket.
    plain_hash,
    /// A random open member, weighted by slots.
    random,
    /// Open members in turn, one counter for the whole service.
    round_robin,
    /// The open member whose upstream reported the least load per slot.
    least_reported,
    /// The open member that has the fewest requests per slot at this moment:
    /// knows what no agent can know, and so marks the limit.
    omniscient,
};

/// Every strategy, the policy first.
inline constexpr std::array<strategy, 7> all_strategies{
    strategy::policy,     strategy::no_shedding, strategy::plain_hash,
    strategy::random,     strategy::round_robin, strategy::least_reported,
    strategy::omniscient,
};

/// The enumerator's name.
const char* to_string(strategy s);

/// The strategy that `to_string` gives `name` for; empty if there is none.
std::optional<strategy> strategy_named(const std::string& name);

/// What a strategy may look at; each uses its own part.
struct placement_view
{
    /// As the home sees the members.
    std::vector<load_candidate> candidates_;
    /// Requests in flight at this moment, for each member.
    std::vector<std::uint32_t> true_in_flight_;
    /// What each upstream last reported.
    std::vector<double> reported_;
    std::size_t home_ = 0;
};

/// Index value for "no open member".
inline constexpr std::size_t nobody = static_cast<std::size_t>(-1);

/// The member that gets a new flow under `s`, or `nobody`. `turn` is the
/// counter of round robin.
std::size_t place(strategy s, const placement_view& view,
                  const load_settings& settings, random_source& random,
                  std::size_t& turn);

} // namespace galenafork::pvt

#endif
