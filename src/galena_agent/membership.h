/// \file
/// The agent's part in its service's roster: joins, leaves, removes lost
/// members and reads newer rosters. Runs on the control thread.

#ifndef GALENAFORK_GALENA_AGENT_MEMBERSHIP_H
#define GALENAFORK_GALENA_AGENT_MEMBERSHIP_H

#include <galenafork/messages.h>
#include <galenafork/platform.h>
#include <galenafork/roster.h>

#include <functional>
#include <kj/timer.h>
#include <optional>

namespace galenafork
{

/// What membership needs from its process.
struct membership_dependencies
{
    platform_store& store_;
    kj::Timer& timer_;
    /// Any 64-bit number.
    std::function<std::uint64_t()> random_;
    /// Gets each newer roster that was read.
    std::function<void(const roster&)> on_roster_;
};

/// A change that was written.
struct written_change
{
    roster roster_;
    /// When the write that took effect was sent.
    instant sent_;
};

/// Result of a change: the roster in force with it, or why it is not.
using change_result = tl::expected<written_change, error>;

/// Changes and reads one service's roster by conditional updates.
class membership
{
public:
    membership(const service_name& service, membership_dependencies needs);

    /// Applies a change to the newest roster; repeats it when another writer
    /// was first. Fails with `not_found` or `conflict` if the change does not
    /// apply, `unavailable`, `timed_out` or `unknown_outcome` if the platform
    /// did not settle it.
    /// With a `requester`, fails with `refused` unless that life is a member.
    kj::Promise<change_result>
    change(roster_change wanted,
           std::optional<instance_incarnation> requester = {});

    /// Reads the roster, if no read is under way.
    void fetch();

    /// Waits up to `wait` for a roster newer than the newest one read.
    kj::Promise<void> watch(duration wait);

private:
    struct request
    {
        roster_change wanted_;
        std::optional<instance_incarnation> requester_;
        int attempt_ = 0;
    };

    kj::Promise<change_result> try_change(request r);
    kj::Promise<change_result> write(request r, const roster& current,
                                     object_version version);
    change_result settled(const roster_change& wanted,
                          const platform_object& object, instant sent);
    kj::Promise<change_result> try_again(request r);
    void take(const platform_object& object);

    service_name service_;
    std::string object_;
    membership_dependencies needs_;
    object_version newest_ = no_object_version;
    bool fetching_ = false;
    kj::Promise<void> fetch_;
};

} // namespace galenafork

#endif
