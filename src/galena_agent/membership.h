/// \file
/// The agent's access to its service's roster in the platform: joins, leaves,
/// removes lost members and reads newer rosters. Runs on the control thread.

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

/// Dependencies of `membership`; the references must outlive it.
struct membership_dependencies
{
    platform_store& store_;
    kj::Timer& timer_;
    /// Returns a random 64-bit number.
    std::function<std::uint64_t()> random_;
    /// Called with each newer roster that was read or written.
    std::function<void(const roster&)> on_roster_;
};

/// A change that took effect.
struct written_change
{
    /// A roster that includes the change.
    roster roster_;
    /// When the write that took effect was sent.
    instant sent_at_;
};

/// Result of a change, or why it did not take effect.
using change_result = tl::expected<written_change, error>;

/// Changes and reads one service's roster by conditional updates.
class membership
{
public:
    membership(const service_name& service,
               membership_dependencies dependencies);

    /// Applies a change to the newest roster and retries it if another writer
    /// has written in between. Fails with `not_found` or `conflict` if the
    /// change does not apply, with `conflict` also after too many retries, with
    /// `unavailable` or `timed_out` if the platform can't be read, with
    /// `bad_message` if the stored roster can't be parsed, and with
    /// `unknown_outcome` if it is not known whether the write took effect.
    /// With a `requester`, fails with `refused` unless that incarnation is a
    /// member.
    kj::Promise<change_result>
    change(roster_change wanted,
           std::optional<instance_incarnation> requester = {});

    /// Reads the roster unless a read is in progress.
    void fetch();

    /// Waits at most `wait` for a roster newer than the newest one read.
    kj::Promise<void> watch(duration wait);

private:
    struct change_request
    {
        roster_change wanted_;
        std::optional<instance_incarnation> requester_;
        int attempt_ = 0;
    };

    kj::Promise<change_result> try_change(change_request r);
    kj::Promise<change_result> write(change_request r, const roster& current,
                                     object_version version);
    change_result confirm_change(const roster_change& wanted,
                                 const platform_object& object,
                                 instant sent_at);
    kj::Promise<change_result> retry_change(change_request r);
    void apply_object(const platform_object& object);

    service_name service_;
    std::string object_;
    membership_dependencies dependencies_;
    object_version newest_version_ = no_object_version;
    bool fetching_ = false;
    kj::Promise<void> fetch_;
};

} // namespace galenafork

#endif
