#include <galenafork/object_follower.h>

#include <utility>

namespace galenafork
{

object_follower::object_follower(platform_store& store, kj::Timer& timer,
                                 std::function<double()> random,
                                 follow_callbacks events,
                                 follow_settings settings)
    : store_(store), timer_(timer), random_(std::move(random)),
      events_(std::move(events)), settings_(settings)
{
}

kj::Promise<void> object_follower::follow(std::string name,
                                          object_version known)
{
    return store_.watch(name, known, settings_.watch_duration_)
        .then(
            [this, name,
             known](watch_result&& result) mutable -> kj::Promise<void>
            {
                if (!result)
                {
                    events_.on_failure_(result.error());
                    return pause().then([this, name, known]
                                        { return follow(name, known); });
                }
                events_.on_response_();
                if (!*result)
                {
                    // A watch that comes back early must not become a loop.
                    return pause().then([this, name, known]
                                        { return follow(name, known); });
                }
                events_.on_update_(**result);
                return follow(std::move(name), (*result)->version_);
            });
}

kj::Promise<void> object_follower::pause()
{
    const double mean = static_cast<double>(settings_.mean_pause_.count());
    const double jittered = mean * (0.5 + random_());
    return timer_.afterDelay(static_cast<std::int64_t>(jittered) *
                             kj::MICROSECONDS);
}

} // namespace galenafork
