/// \file
/// A timer that an event loop watches as a descriptor.

#ifndef GALENAFORK_INTERVAL_TIMER_H
#define GALENAFORK_INTERVAL_TIMER_H

#include <galenafork/time.h>
#include <galenafork/unique_fd.h>

namespace galenafork
{

/// A descriptor that turns readable every `interval`. Unlike the timer queue
/// of ACE's poll reactor it does not spin through the last millisecond before
/// it fires.
class interval_timer
{
public:
    /// Starts the timer. Throws `std::system_error` if the process has no
    /// descriptor left.
    explicit interval_timer(duration interval);

    /// Makes the descriptor unreadable until the next time.
    void clear() const noexcept;

    /// To be watched for reading by an event loop.
    int fd() const
    {
        return fd_.get();
    }

private:
    unique_fd fd_;
};

} // namespace galenafork

#endif
