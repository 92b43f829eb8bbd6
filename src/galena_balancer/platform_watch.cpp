#include "platform_watch.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr const char* source_name = "platform";

// Limits the number of connections, because each read in progress uses one of
// its own.
constexpr std::size_t max_concurrent_reads = 16;

// A relay watches many rosters; long watches keep its rate of calls low.
constexpr duration watch_duration = std::chrono::seconds(60);

} // namespace

platform_watch::platform_watch(control_loop& loop, platform_store& store,
                               state_replica& replica,
                               std::function<double()> random)
    : loop_(loop), store_(store), replica_(replica), random_(std::move(random)),
      read_semaphore_(max_concurrent_reads)
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

void platform_watch::start(assignment_function is_assigned)
{
    is_assigned_ = std::move(is_assigned);
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
    rules_watch_ = watch();
    roster_watches_.clear();
}

void platform_watch::fetch(const service_name& service)
{
    if (fetches_.count(service) != 0)
    {
        return;
    }
    auto pending_read =
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
                    // Erased later, because this promise is still running.
                    loop_.add_task("fetch",
                                   kj::evalLater([this, service]
                                                 { fetches_.erase(service); }));
                })
            .eagerlyEvaluate(nullptr);
    fetches_.emplace(service, kj::mv(pending_read));
}

kj::Promise<tl::expected<platform_object, error>>
platform_watch::read(const std::string& name)
{
    return read_semaphore_.acquire().then(
        [this, name](kj::Own<async_semaphore::permit>&& permit)
        { return store_.get(name).attach(kj::mv(permit)); });
}

void platform_watch::follow_rules()
{
    follow_callbacks callbacks;
    callbacks.on_update_ = [this](const platform_object& object)
    { handle_rules_object(object); };
    callbacks.on_failure_ = [this](const error& failure)
    { record_failure(failure); };
    callbacks.on_response_ = [this] { last_failure_.clear(); };
    rules_watch_ = follow(rules_object_name, std::move(callbacks));
}

void platform_watch::follow_roster(const service_name& service)
{
    follow_callbacks callbacks;
    callbacks.on_update_ = [this](const platform_object& object)
    { handle_roster_object(object); };
    callbacks.on_failure_ = [this](const error& failure)
    { record_failure(failure); };
    callbacks.on_response_ = [this, service]
    {
        last_failure_.clear();
        replica_.mark_looked_up(service);
    };
    roster_watches_.emplace(
        service, follow(roster_object_name(service), std::move(callbacks)));
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
        roster_watches_.erase(service);
        if (!replica_.is_looked_up(service))
        {
            fetch(service);
        }
        return;
    }
    if (roster_watches_.count(service) == 0)
    {
        follow_roster(service);
    }
}

platform_watch::watch platform_watch::follow(const std::string& name,
                                             follow_callbacks callbacks)
{
    watch result;
    result.follower_ = std::make_unique<object_follower>(
        store_, loop_.timer(), random_, callbacks,
        follow_settings{watch_duration, follow_settings().mean_pause_});
    object_follower& follower = *result.follower_;
    // Reads the object first, because a watch of an absent object returns only
    // at the end of its wait.
    result.following_ =
        read(name)
            .then(
                [name, callbacks = std::move(callbacks),
                 &follower](tl::expected<platform_object, error>&& object)
                {
                    const bool responded =
                        object || object.error().code_ == error_code::not_found;
                    if (responded)
                    {
                        callbacks.on_response_();
                    }
                    else
                    {
                        callbacks.on_failure_(object.error());
                    }
                    if (object)
                    {
                        callbacks.on_update_(*object);
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

void platform_watch::record_failure(const error& failure)
{
    if (last_failure_ != failure.message_)
    {
        log_event(log_level::warning, "platform_failed",
                  {{"reason", failure.message_}});
    }
    last_failure_ = failure.message_;
}

} // namespace galenafork
