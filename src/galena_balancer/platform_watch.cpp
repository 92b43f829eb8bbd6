#include "platform_watch.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr const char* source_name = "platform";

// Each read under way takes a connection.
constexpr std::size_t reads_at_once = 16;

// A relay keeps a watch on many rosters: long waits keep the calls few.
constexpr duration watch_wait = std::chrono::seconds(60);

} // namespace

platform_watch::platform_watch(control_loop& loop, platform_store& store,
                               state_replica& known,
                               std::function<double()> random)
    : loop_(loop), store_(store), replica_(known), random_(std::move(random)),
      gate_(reads_at_once)
{
    replica_.add_listener(
        [this](const state_update& update)
        {
            const bool rules = std::holds_alternative<active_rules>(update) ||
                               std::holds_alternative<rules_delta>(update);
            if (active_ && rules)
            {
                follow_services();
            }
        });
}

void platform_watch::start(assignment_function share)
{
    is_assigned_ = std::move(share);
    if (!active_)
    {
        active_ = true;
        follow_rules();
    }
    follow_services();
}

void platform_watch::stop()
{
    active_ = false;
    rules_ = watch();
    rosters_.clear();
}

void platform_watch::fetch(const service_name& service)
{
    if (fetches_.count(service) != 0)
    {
        return;
    }
    auto reading =
        read(roster_object_name(service))
            .then(
                [this, service](tl::expected<platform_object, error>&& object)
                {
                    if (object)
                    {
                        handle_roster_object(*object);
                    }
                    else if (object.error().code_ == error_code::not_found)
                    {
                        replica_.mark_looked_up(service);
                    }
                    else
                    {
                        record_failure(object.error());
                    }
                    // Not erased here: this promise is running.
                    loop_.add_task("fetch",
                                   kj::evalLater([this, service]
                                                 { fetches_.erase(service); }));
                })
            .eagerlyEvaluate(nullptr);
    fetches_.emplace(service, kj::mv(reading));
}

kj::Promise<tl::expected<platform_object, error>>
platform_watch::read(const std::string& name)
{
    return gate_.acquire().then(
        [this, name](kj::Own<async_semaphore::permit>&& permit)
        { return store_.get(name).attach(kj::mv(permit)); });
}

void platform_watch::follow_rules()
{
    follow_callbacks events;
    events.on_update_ = [this](const platform_object& object)
    { handle_rules_object(object); };
    events.on_failure_ = [this](const error& why) { record_failure(why); };
    events.on_response_ = [this] { last_failure_.clear(); };
    rules_ = follow(rules_object_name, std::move(events));
}

void platform_watch::follow_roster(const service_name& service)
{
    follow_callbacks events;
    events.on_update_ = [this](const platform_object& object)
    { handle_roster_object(object); };
    events.on_failure_ = [this](const error& why) { record_failure(why); };
    events.on_response_ = [this, service]
    {
        last_failure_.clear();
        replica_.mark_looked_up(service);
    };
    rosters_.emplace(service,
                     follow(roster_object_name(service), std::move(events)));
}

void platform_watch::follow_services()
{
    for (const service_name& service : replica_.services())
    {
        follow_service(service);
    }
}

void platform_watch::follow_service(const service_name& service)
{
    if (!is_assigned_(service))
    {
        rosters_.erase(service);
        if (!replica_.is_looked_up(service))
        {
            fetch(service);
        }
        return;
    }
    if (rosters_.count(service) == 0)
    {
        follow_roster(service);
    }
}

platform_watch::watch platform_watch::follow(const std::string& name,
                                             follow_callbacks events)
{
    watch result;
    result.follower_ = std::make_unique<object_follower>(
        store_, loop_.timer(), random_, events,
        follow_settings{watch_wait, follow_settings().mean_pause_});
    object_follower& follower = *result.follower_;
    // Read first: a watch would be silent for long about an absent object.
    result.running_ =
        read(name)
            .then(
                [name, events = std::move(events),
                 &follower](tl::expected<platform_object, error>&& object)
                {
                    const bool answered =
                        object || object.error().code_ == error_code::not_found;
                    if (answered)
                    {
                        events.on_response_();
                    }
                    else
                    {
                        events.on_failure_(object.error());
                    }
                    if (object)
                    {
                        events.on_update_(*object);
                    }
                    return follower.follow(name, object ? object->version_
                                                        : no_object_version);
                })
            .eagerlyEvaluate(nullptr);
    return result;
}

void platform_watch::handle_rules_object(const platform_object& object)
{
    const auto read = rules_object_from_json(object.value_);
    const auto rules =
        read ? make_active_rules(*read) : tl::unexpected(read.error());
    if (!rules)
    {
        log_event(log_level::error, "bad_rules_object",
                  {{"version", object.version_.value()},
                   {"reason", rules.error().message_}});
        return;
    }
    replica_.apply_update(*rules, source_name);
}

void platform_watch::handle_roster_object(const platform_object& object)
{
    const auto read = roster_from_json(object.value_);
    if (!read || roster_object_name(read->service_) != object.name_)
    {
        log_event(
            log_level::error, "bad_roster_object",
            {{"object", object.name_}, {"version", object.version_.value()}});
        return;
    }
    replica_.apply_update(*read, source_name);
}

void platform_watch::record_failure(const error& why)
{
    if (last_failure_ != why.message_)
    {
        log_event(log_level::warning, "platform_failed",
                  {{"reason", why.message_}});
    }
    last_failure_ = why.message_;
}

} // namespace galenafork
