/// \file
/// Timer of a follower's reads of the store, which all balancers share.

#ifndef LIBPASSD_READ_PACER_H
#define LIBPASSD_READ_PACER_H

#include <galenafork/time.h>

#include <functional>
#include <kj/timer.h>

namespace galenafork
{

/// What a `read_pacer` uses.
struct pacer_dependencies
{
    kj::Timer& timer_;
    std::function<instant()> clock_;
    /// Returns random numbers in [0, 1).
    std::function<double()> random_;
    /// Returns when the latest read by this balancer or a peer began, as far as
    /// peers have told; `instant()` if there was none.
    std::function<instant()> latest_read_;
};

/// Decides when a follower has to read the store: at the latest when the read
/// that it relies on, its own or one of a peer, has reached the maximum age by
/// the clock of this process.
class read_pacer
{
public:
    read_pacer(duration max_age, pacer_dependencies dependencies);

    instant now() const
    {
        return dependencies_.clock_();
    }

    /// Records a successful read that began at `began_at`.
    void note_read(instant began_at);

    /// Completes when a read is due; at once if there was none.
    kj::Promise<void> wait_until_due();

private:
    duration max_age_;
    pacer_dependencies dependencies_;
    /// The read that `due_at_` was computed from.
    instant last_read_{};
    instant due_at_{};
};

} // namespace galenafork

#endif
