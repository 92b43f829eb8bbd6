/// \file
/// Tracks one object of the platform with successive watches.

#ifndef GALENAFORK_OBJECT_FOLLOWER_H
#define GALENAFORK_OBJECT_FOLLOWER_H

#include <galenafork/platform.h>

#include <functional>
#include <kj/timer.h>

namespace galenafork
{

/// Callbacks of a follower.
struct follow_callbacks
{
    /// Called with each version that is newer than all earlier ones.
    std::function<void(const platform_object&)> on_update_;
    /// Called when a watch failed; the follower starts another one after a
    /// pause.
    std::function<void(const error&)> on_failure_;
    /// Called when a watch succeeded, with or without a newer version.
    std::function<void()> on_response_;
};

/// Settings of a follower.
struct follow_settings
{
    /// How long one watch waits for a newer version.
    duration watch_duration_ = std::chrono::seconds(30);
    /// Mean pause after a watch that failed or returned no newer version.
    duration mean_pause_ = std::chrono::milliseconds(500);
};

/// Keeps one watch open on an object and reports each newer version that it
/// receives, once and in order. There is at most one call to the platform at a
/// time.
class object_follower
{
public:
    /// `store` and `timer` must outlive this; `random` returns uniform random
    /// numbers in [0, 1).
    object_follower(platform_store& store, kj::Timer& timer,
                    std::function<double()> random, follow_callbacks callbacks,
                    follow_settings settings = {});

    /// Reports versions of `name` above `after` until the promise is dropped.
    kj::Promise<void> follow(std::string name, object_version after);

private:
    kj::Promise<void> pause();

    platform_store& store_;
    kj::Timer& timer_;
    std::function<double()> random_;
    follow_callbacks callbacks_;
    follow_settings settings_;
};

} // namespace galenafork

#endif
