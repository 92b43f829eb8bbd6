#include <galenafork/rules_watch.h>

#include <algorithm>

namespace galenafork
{

namespace
{

// Largest deviation of a scheduled watch's length from the mean, as a fraction
// of the mean.
constexpr double jitter_fraction = 0.3;

} // namespace

duration rules_watch_length(std::size_t balancers, double random,
                            read_trigger last)
{
    const double mean =
        static_cast<double>(fleet_read_interval.count()) *
        static_cast<double>(std::max<std::size_t>(balancers, 1));
    const double length =
        last == read_trigger::shared_event
            ? mean * random
            : mean * (1.0 + jitter_fraction * (2 * random - 1.0));
    return std::clamp(duration(static_cast<duration::rep>(length)),
                      min_rules_watch, max_rules_watch);
}

} // namespace galenafork
