/// \file
/// Reads and watches the rules and the rosters in the platform.

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

/// On a relay: keeps one watch open for the rules and one for each roster that
/// is assigned to this relay. On any balancer: reads single rosters.
class platform_watch
{
public:
    /// The references must outlive this object; `random` is uniform in [0, 1).
    platform_watch(control_loop& loop, platform_store& store,
                   state_replica& replica, std::function<double()> random);

    /// Returns true if this balancer is to watch the roster of a service.
    using assignment_function = std::function<bool(const service_name&)>;

    /// Starts to follow the rules and the rosters of those services in the
    /// rules for which `is_assigned` is true. Reads each of the other rosters
    /// once, unless it has been looked up. A further call only changes the
    /// assignment.
    void start(assignment_function is_assigned);

    /// True between `start` and `stop`.
    bool is_active() const
    {
        return active_;
    }

    /// Ends all watches.
    void stop();

    /// Reads the roster of `service` once, unless a read of it is in progress.
    void fetch(const service_name& service);

    /// Returns why the last request failed; empty if a request for a followed
    /// object has had a response since.
    const std::string& last_failure() const
    {
        return last_failure_;
    }

private:
    struct watch
    {
        std::unique_ptr<object_follower> follower_;
        // Declared after the follower that it uses, so that it is destroyed
        // first.
        kj::Promise<void> following_ = nullptr;
    };

    kj::Promise<tl::expected<platform_object, error>>
    read(const std::string& name);
    void follow_rules();
    void follow_roster(const service_name& service);
    void follow_services();
    void follow_service(const service_name& service);
    watch follow(const std::string& name, follow_callbacks callbacks);
    void handle_rules_object(const platform_object& object);
    void handle_roster_object(const platform_object& object);
    void record_failure(const error& failure);

    control_loop& loop_;
    platform_store& store_;
    state_replica& replica_;
    std::function<double()> random_;
    bool active_ = false;
    std::string last_failure_ = "no object has been read yet";
    assignment_function is_assigned_;
    async_semaphore read_semaphore_;
    std::map<service_name, watch> roster_watches_;
    std::map<service_name, kj::Promise<void>> fetches_;
    watch rules_watch_;
};

} // namespace galenafork

#endif
