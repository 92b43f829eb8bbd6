/// \file
/// Checks whether a process listens at the upstream's address.

#ifndef LIBPASSD_UPSTREAM_CHECK_H
#define LIBPASSD_UPSTREAM_CHECK_H

#include <galenafork/pass_types.h>

#include <kj/async-io.h>
#include <kj/timer.h>

namespace galenafork
{

/// Time limit of a check. A process on the same instance is reached in less
/// than a millisecond; the rest allows for a busy instance.
inline constexpr duration upstream_check_timeout =
    std::chrono::milliseconds(200);

/// Connects to `upstream` over TCP and closes the connection at once. The
/// promise never fails: any outcome but an accepted or a refused connection is
/// `unknown`. `network` and `timer` must outlive the promise.
kj::Promise<upstream_presence> check_upstream(kj::Network& network,
                                              kj::Timer& timer,
                                              const endpoint& upstream,
                                              duration timeout);

} // namespace galenafork

#endif
