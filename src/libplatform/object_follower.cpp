#include <galenafork/object_follower.h>

#include <utility>

namespace galenafork
{

object_follower::object_follower(platform_store& store, kj::Timer& timer,
                                 std::function<double()> random,
                                 follow_callbacks callbacks,
                                 follow_settings settings)
    : store_(store), timer_(timer), random_(std::move(random)),
      callbacks_(std::move(callbacks)), settings_(settings)
{
}

kj::Promise<void> object_follower::follow(std::string name,
                                          object_version after)
{
    return store_.watch(name, after, settings_.watch_duration_)
        .then(
            [this, name,
             after](watch_result&& result) mutable -> kj::Promise<void>
            {
                if (!result)
                {
                    callbacks_.on_failure_(result.error());
                    return pause().then([this, name, after]
                                        { return follow(name, after); });
                }
                callbacks_.on_response_();
                if (!*result)
                {
                    // Pauses, so that watches which return early do not become
                    // a busy loop.
                    return pause().then([this, name, after]
                                        { return follow(name, after); });
                }
                callbacks_.on_update_(**result);
                return follow(std::move(name), (*result)->version_);
            });
}

kj::Promise<void> object_follower::pause()
{
    const double mean_us = static_cast<double>(settings_.mean_pause_.count());
    const double pause_us = mean_us * (0.5 + random_());
    return timer_.afterDelay(static_cast<std::int64_t>(pause_us) *
                             kj::MICROSECONDS);
}

} // namespace galenafork
