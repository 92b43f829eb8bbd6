#include <galenafork/interval_timer.h>

#include <cerrno>
#include <cstdint>
#include <sys/timerfd.h>
#include <system_error>
#include <unistd.h>

namespace galenafork
{

namespace
{

timespec to_timespec(duration d)
{
    const auto whole_seconds =
        std::chrono::duration_cast<std::chrono::seconds>(d);
    const std::chrono::nanoseconds remainder = d - whole_seconds;
    timespec result{};
    result.tv_sec = whole_seconds.count();
    result.tv_nsec = remainder.count();
    return result;
}

} // namespace

interval_timer::interval_timer(duration interval)
    : fd_(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC))
{
    itimerspec times{};
    times.it_interval = to_timespec(interval);
    times.it_value = times.it_interval;
    if (fd_.get() < 0 || ::timerfd_settime(fd_.get(), 0, &times, nullptr) != 0)
    {
        throw std::system_error(errno, std::generic_category(), "timerfd");
    }
}

void interval_timer::clear() const noexcept
{
    std::uint64_t expirations = 0;
    // The read fails if the timer has not fired since the last read, which is
    // no error.
    [[maybe_unused]] const ssize_t size =
        ::read(fd_.get(), &expirations, sizeof expirations);
}

} // namespace galenafork
