/// \file
/// Access to the platform, random ids and the time for the commands.

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

/// The event loop and the platform client of one command.
class session
{
public:
    /// Does not connect yet. `args.platform_` must have a value.
    explicit session(const arguments& args);
    ~session() noexcept(false);
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    /// Returns the client for the platform's objects.
    platform_store& store();

    /// Returns a new random write id.
    write_id new_write_id();

    /// Runs the event loop until `promise` is resolved and returns its value.
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

/// Returns the current time in UTC, such as `2026-12-04T05:30:00Z`.
std::string utc_now();

} // namespace galenafork::ctl

#endif
