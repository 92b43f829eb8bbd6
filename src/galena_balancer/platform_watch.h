/// \file
/// Follows the rules and the rosters in the platform.

#ifndef GALENAFORK_GALENA_BALANCER_PLATFORM_WATCH_H
#define GALENAFORK_GALENA_BALANCER_PLATFORM_WATCH_H

#include "async_semaphore.h"
#include "state_replica.h"

#include <galenafork/object_follower.h>
#include <galenafork/platform.h>
#include <galenafork/platform_setup.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenafork
{

/// On a relay: keeps one watch open for the rules and one for each roster of
/// its share.
class platform_watch
{
public:
    /// All outlive this; `random` is uniform in [0, 1).
    platform_watch(control_loop& loop, platform_store& store,
                   state_replica& known, std::function<double()> random);

    /// Whether this balancer is to watch the roster of a service.
    using assignment_function = std::function<bool(const service_name&)>;

    /// Begins to follow the rules and the rosters in `share`, as rules name
    /// services; reads the other rosters once. Called again, only changes the
    /// share.
    void start(assignment_function share);

    /// True between `start` and `stop`.
    bool active() const
    {
        return active_;
    }

    /// Ends all watches.
    void stop();

    /// Reads the roster of `service` once, if no read of it is under way.
    void fetch(const service_name& service);

    /// Why the platform gave nothing last time; empty if it answered.
    const std::string& last_failure() const
    {
        return last_failure_;
    }

private:
    struct watch
    {
        std::unique_ptr<object_follower> follower_;
        // After the follower, so that it goes first.
        kj::Promise<void> running_ = nullptr;
    };

    kj::Promise<tl::expected<platform_object, error>>
    read(const std::string& name);
    void follow_rules();
    void follow_roster(const service_name& service);
    void follow_services();
    void follow_service(const service_name& service);
    watch follow(const std::string& name, follow_callbacks events);
    void handle_rules_object(const platform_object& object);
    void handle_roster_object(const platform_object& object);
    void record_failure(const error& why);

    control_loop& loop_;
    platform_store& store_;
    state_replica& replica_;
    std::function<double()> random_;
    bool active_ = false;
    std::string last_failure_ = "platform not asked yet";
    assignment_function is_assigned_;
    async_semaphore gate_;
    std::map<service_name, watch> rosters_;
    std::map<service_name, kj::Promise<void>> fetches_;
    watch rules_;
};

} // namespace galenafork

#endif
