/// \file
/// A periodic timer that an event loop watches as a file descriptor.

#ifndef GALENAFORK_INTERVAL_TIMER_H
#define GALENAFORK_INTERVAL_TIMER_H

#include <galenafork/time.h>
#include <galenafork/unique_fd.h>

namespace galenafork
{

/// A file descriptor that becomes readable every `interval`. Unlike the timer
/// queue of ACE's poll reactor, the timer does not busy-wait during the last
/// millisecond before it fires.
class interval_timer
{
public:
    /// Starts the timer. Throws `std::system_error` if the kernel can't create
    /// it.
    explicit interval_timer(duration interval);

    /// Makes the descriptor unreadable until the timer fires again.
    void clear() const noexcept;

    /// Returns the descriptor that an event loop watches for reading.
    int fd() const
    {
        return fd_.get();
    }

private:
    unique_fd fd_;
};

} // namespace galenafork

#endif
