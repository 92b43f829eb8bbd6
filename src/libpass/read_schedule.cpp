#include <galenafork/read_schedule.h>

#include <algorithm>

namespace galenafork
{

duration max_read_age(duration limit)
{
    // With a limit below the reserve the read can't be in time in every case.
    constexpr int min_fraction_of_limit = 4;
    return std::max(limit - read_reserve, limit / min_fraction_of_limit);
}

duration read_delay(duration max_age, double random)
{
    // Smallest delay as a fraction of the largest one. The wider the range, the
    // fewer processes read before they get the message of the first one.
    constexpr double min_fraction = 0.3;
    return duration(static_cast<duration::rep>(
        static_cast<double>(max_age.count()) *
        (min_fraction + (1.0 - min_fraction) * random)));
}

} // namespace galenafork
