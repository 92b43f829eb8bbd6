#include <galenafork/mailbox.h>

#include <cerrno>
#include <sys/eventfd.h>
#include <system_error>

namespace galenafork
{

wake_event::wake_event() : fd_(::eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK))
{
    if (!fd_)
    {
        throw std::system_error(errno, std::generic_category(), "eventfd");
    }
}

void wake_event::signal() const noexcept
{
    const std::uint64_t one = 1;
    // The write fails only if the counter is at its maximum; the descriptor is
    // readable then.
    [[maybe_unused]] const auto size = ::write(fd_.get(), &one, sizeof one);
}

void wake_event::clear() const noexcept
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto size = ::read(fd_.get(), &count, sizeof count);
}

} // namespace galenafork
