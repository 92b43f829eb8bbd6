/// \file
/// How often the balancers of passthrough flows read the rules.

#ifndef GALENAFORK_RULES_WATCH_H
#define GALENAFORK_RULES_WATCH_H

#include <galenafork/time.h>

#include <cstddef>

namespace galenafork
{

/// Mean time between two reads of the rules by any balancer of the fleet. A
/// watch of the store can miss a change without an error; the balancer that
/// reads next then notifies the others. The time is well below the shortest
/// limit for the activation of new rules (3 s).
inline constexpr duration fleet_read_interval = std::chrono::milliseconds(450);

/// Minimum and maximum length of one balancer's watch, after which it reads the
/// rules.
inline constexpr duration min_rules_watch = std::chrono::milliseconds(900);
inline constexpr duration max_rules_watch = std::chrono::seconds(25);

/// Cause of a balancer's last read of the rules.
enum class read_trigger
{
    /// The balancer's own schedule.
    scheduled,
    /// The balancer's start, or an event of the store (an outage or lost
    /// history) that makes all balancers read at the same time.
    shared_event,
};

/// Returns the time after which a balancer reads the rules even if its watch
/// reports nothing. Within the limits above, `balancers` balancers together
/// read every `fleet_read_interval` on average. `random` in [0, 1) keeps their
/// reads from coinciding; after a shared event it distributes them over the
/// whole interval.
duration rules_watch_length(std::size_t balancers, double random,
                            read_trigger last);

} // namespace galenafork

#endif
