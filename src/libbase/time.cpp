#include <galenafork/time.h>

namespace galenafork
{

instant read_monotonic_clock()
{
    const auto since_start = std::chrono::steady_clock::now();
    return instant(
        std::chrono::duration_cast<duration>(since_start.time_since_epoch()));
}

} // namespace galenafork
