/// \file
/// Follows the rules and the rosters in the platform.

#ifndef GALENAFORK_GALENA_BALANCER_PLATFORM_WATCH_H
#define GALENAFORK_GALENA_BALANCER_PLATFORM_WATCH_H

#include "knowledge.h"

#include <galenafork/object_follower.h>
#include <galenafork/platform.h>

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace galenafork
{

/// Name of the platform object that holds the roster of `service`.
std::string roster_object_name(const service_name& service);

/// Keeps one watch open for the rules and, on a relay, one for each roster.
class platform_watch
{
public:
    /// All outlive this; `random` is uniform in [0, 1).
    platform_watch(control_loop& loop, platform_store& store, knowledge& known,
                   std::function<double()> random);

    /// Begins to follow; follows the rosters of services as rules name them.
    void start();

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
    void follow_rules();
    void follow_roster(const service_name& service);
    void follow_new_services();
    kj::Promise<void> follow(const std::string& name, follow_events events);
    void take_rules(const platform_object& object);
    void take_roster(const platform_object& object);
    void note_failure(const error& why);

    control_loop& loop_;
    platform_store& store_;
    knowledge& known_;
    std::function<double()> random_;
    bool active_ = false;
    std::string last_failure_ = "platform not asked yet";
    std::vector<std::unique_ptr<object_follower>> followers_;
    std::map<service_name, kj::Promise<void>> rosters_;
    std::map<service_name, kj::Promise<void>> fetches_;
    kj::Promise<void> rules_ = nullptr;
};

} // namespace galenafork

#endif
