/// \file
/// How often the daemons of passthrough flows look after what they know.

#ifndef GALENAFORK_RULES_WATCH_H
#define GALENAFORK_RULES_WATCH_H

#include <galenafork/time.h>

#include <cstddef>

namespace galenafork
{

/// Mean time between two reads of the rules by the whole fleet. A watch may
/// hear nothing of a change, without any sign; the balancer that reads next
/// then tells the others. Well below the shortest bound for new rules (3 s).
inline constexpr duration fleet_read_interval = std::chrono::milliseconds(450);

/// Shortest and longest watch of one balancer.
inline constexpr duration min_rules_watch = std::chrono::milliseconds(900);
inline constexpr duration max_rules_watch = std::chrono::seconds(25);

/// What led to a balancer's last read.
enum class read_trigger
{
    /// Its own plan.
    scheduled,
    /// A start or an event of the store, which the others met as well: they
    /// have all read at this moment.
    shared_event,
};

/// Time until a balancer reads the rules for certain: `balancers` of them
/// together read every `fleet_read_interval`. `random` in [0, 1) keeps them out
/// of step, and spreads them over the whole interval after a shared read.
duration rules_watch_length(std::size_t balancers, double random,
                            read_trigger last);

} // namespace galenafork

#endif
