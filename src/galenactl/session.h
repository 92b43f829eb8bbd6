/// \file
/// What a command works with: the platform, the clock, random ids, the author
/// and the form of output.

#ifndef GALENACTL_SESSION_H
#define GALENACTL_SESSION_H

#include <galenactl/arguments.h>
#include <galenafork/platform.h>

#include <kj/async-io.h>
#include <memory>
#include <random>
#include <string>
#include <utility>

namespace galenafork::ctl
{

/// The event loop and the platform, for one command.
class session
{
public:
    /// Connects nowhere yet; `given.platform_` must be there.
    explicit session(const arguments& given);
    ~session() noexcept(false);
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// The platform's objects.
    platform_store& store();

    /// A write id that nobody else has.
    write_id new_write_id();

    /// Runs the event loop until `promise` is there.
    template <class T>
    T wait(kj::Promise<T> promise)
    {
        return promise.wait(io_.waitScope);
    }

private:
    kj::AsyncIoContext io_;
    std::mt19937_64 random_;
    std::unique_ptr<platform_store> store_;
};

/// The time of day in UTC, as `2026-12-04T05:30:00Z`.
std::string utc_now();

} // namespace galenafork::ctl

#endif
