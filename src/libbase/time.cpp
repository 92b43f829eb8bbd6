#include <galenafork/time.h>

#include <ctime>

namespace galenafork
{

instant read_monotonic_clock()
{
    // CLOCK_BOOTTIME, unlike CLOCK_MONOTONIC, advances while the machine is
    // suspended, so that leases and ages also expire during a suspension.
    timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return instant(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace galenafork
