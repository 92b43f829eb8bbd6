/// \file
/// Placement strategies: the load policy and the baselines that it is compared
/// with.

#ifndef GALENAFORK_EXPERIMENT_STRATEGY_H
#define GALENAFORK_EXPERIMENT_STRATEGY_H

#include "workload.h"

#include <galenafork/load_policy.h>

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace galenafork::pvt
{

/// How a new flow is placed, and on which information. A member is open if it
/// accepts new flows. All strategies except `no_shedding` decide on admission
/// with `admit`, as the agents do.
enum class strategy
{
    /// The member that `choose_owner` returns, as in the agents.
    policy,
    /// Placement as in `policy`, but requests are queued instead of refused, up
    /// to the upstream's limit on connections.
    no_shedding,
    /// Each flow goes to the home of its bucket.
    plain_hash,
    /// A random open member, weighted by slots.
    random,
    /// The open members in turn, with one counter for the whole service.
    round_robin,
    /// The open member whose upstream last reported the lowest load per slot.
    least_reported,
    /// The open member with the fewest requests per slot at this moment. No
    /// agent has this information, so the result is a limit on what agents can
    /// reach.
    omniscient,
};

/// All strategies, the policy first.
inline constexpr std::array<strategy, 7> all_strategies{
    strategy::policy,     strategy::no_shedding, strategy::plain_hash,
    strategy::random,     strategy::round_robin, strategy::least_reported,
    strategy::omniscient,
};

/// Returns the enumerator's name.
const char* to_string(strategy s);

/// Returns the strategy with the name `name`; empty if there is none.
std::optional<strategy> parse_strategy(const std::string& name);

/// Information for placing one flow; each strategy uses a part of it.
struct placement_view
{
    /// The members as the home sees them.
    std::vector<load_candidate> candidates_;
    /// Requests in flight at each member at this moment.
    std::vector<std::uint32_t> true_in_flight_;
    /// Requests in flight that each upstream last reported.
    std::vector<double> reported_in_flight_;
    std::size_t home_ = 0;
};

/// Index that stands for no member.
inline constexpr std::size_t no_simulated_member = static_cast<std::size_t>(-1);

/// Returns the member that gets a new flow under `s`, or `no_simulated_member`
/// if no member that `s` considers is open. `round_robin_index` is the counter
/// of `strategy::round_robin`, which advances it.
std::size_t place_flow(strategy s, const placement_view& view,
                       const load_settings& settings, random_source& random,
                       std::size_t& round_robin_index);

} // namespace galenafork::pvt

#endif
