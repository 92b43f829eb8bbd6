/// \file
/// Follows one object of the platform through watches.

#ifndef GALENAFORK_OBJECT_FOLLOWER_H
#define GALENAFORK_OBJECT_FOLLOWER_H

#include <galenafork/platform.h>

#include <functional>
#include <kj/timer.h>

namespace galenafork
{

/// What a follower tells.
struct follow_callbacks
{
    /// A version newer than any told before.
    std::function<void(const platform_object&)> on_update_;
    /// A watch failed; the follower goes on.
    std::function<void(const error&)> on_failure_;
    /// The platform answered, with or without news.
    std::function<void()> on_response_;
};

/// How a follower watches.
struct follow_settings
{
    /// Length of one watch.
    duration watch_duration_ = std::chrono::seconds(30);
    /// Mean pause after a watch that failed or came back without news.
    duration mean_pause_ = std::chrono::milliseconds(500);
};

/// Keeps one watch open on an object and tells each newer version once, in
/// order. One call to the platform is waiting at any time.
class object_follower
{
public:
    /// `store` and `timer` must outlive this; `random` is uniform in [0, 1).
    object_follower(platform_store& store, kj::Timer& timer,
                    std::function<double()> random, follow_callbacks events,
                    follow_settings settings = {});

    /// Follows `name` from above version `known` until the promise is dropped.
    kj::Promise<void> follow(std::string name, object_version known);

private:
    kj::Promise<void> pause();

    platform_store& store_;
    kj::Timer& timer_;
    std::function<double()> random_;
    follow_callbacks events_;
    follow_settings settings_;
};

} // namespace galenafork

#endif
