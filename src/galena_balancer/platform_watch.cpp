#include "platform_watch.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr const char* source_name = "platform";

} // namespace

std::string roster_object_name(const service_name& service)
{
    return "roster/" + service.value();
}

platform_watch::platform_watch(control_loop& loop, platform_store& store,
                               knowledge& known, std::function<double()> random)
    : loop_(loop), store_(store), known_(known), random_(std::move(random))
{
    known_.add_listener(
        [this](const spread_update& update)
        {
            if (active_ && std::holds_alternative<rules_in_force>(update))
            {
                follow_new_services();
            }
        });
}

void platform_watch::start()
{
    if (active_)
    {
        return;
    }
    active_ = true;
    follow_rules();
    follow_new_services();
}

void platform_watch::stop()
{
    active_ = false;
    rules_ = nullptr;
    rosters_.clear();
    followers_.clear();
}

void platform_watch::fetch(const service_name& service)
{
    if (fetches_.count(service) != 0)
    {
        return;
    }
    auto read =
        store_.get(roster_object_name(service))
            .then(
                [this, service](tl::expected<platform_object, error>&& object)
                {
                    if (object)
                    {
                        take_roster(*object);
                    }
                    else if (object.error().code_ != error_code::not_found)
                    {
                        note_failure(object.error());
                    }
                    // Not erased here: this promise is running.
                    loop_.add_task("fetch",
                                   kj::evalLater([this, service]
                                                 { fetches_.erase(service); }));
                })
            .eagerlyEvaluate(nullptr);
    fetches_.emplace(service, kj::mv(read));
}

void platform_watch::follow_rules()
{
    follow_events events;
    events.newer_ = [this](const platform_object& object)
    { take_rules(object); };
    events.failed_ = [this](const error& why) { note_failure(why); };
    events.confirmed_ = [this] { last_failure_.clear(); };
    rules_ = follow(rules_object_name, std::move(events));
}

void platform_watch::follow_roster(const service_name& service)
{
    follow_events events;
    events.newer_ = [this](const platform_object& object)
    { take_roster(object); };
    events.failed_ = [this](const error& why) { note_failure(why); };
    events.confirmed_ = [this, service] { known_.mark_looked_up(service); };
    rosters_.emplace(service,
                     follow(roster_object_name(service), std::move(events)));
}

void platform_watch::follow_new_services()
{
    for (const service_name& service : known_.services())
    {
        if (rosters_.count(service) == 0)
        {
            follow_roster(service);
        }
    }
}

kj::Promise<void> platform_watch::follow(const std::string& name,
                                         follow_events events)
{
    followers_.push_back(std::make_unique<object_follower>(
        store_, loop_.timer(), random_, std::move(events)));
    // From version 0: the first answer is the object in force.
    return followers_.back()->follow(name, no_object).eagerlyEvaluate(nullptr);
}

void platform_watch::take_rules(const platform_object& object)
{
    const auto read = rules_object_from_json(object.value_);
    const auto rules = read ? rules_from(*read) : tl::unexpected(read.error());
    if (!rules)
    {
        log_event(log_level::error, "bad_rules_object",
                  {{"version", object.version_.value()},
                   {"reason", rules.error().message_}});
        return;
    }
    known_.take(*rules, source_name);
}

void platform_watch::take_roster(const platform_object& object)
{
    const auto read = roster_from_json(object.value_);
    if (!read || roster_object_name(read->service_) != object.name_)
    {
        log_event(
            log_level::error, "bad_roster_object",
            {{"object", object.name_}, {"version", object.version_.value()}});
        return;
    }
    known_.mark_looked_up(read->service_);
    known_.take(*read, source_name);
}

void platform_watch::note_failure(const error& why)
{
    if (last_failure_ != why.message_)
    {
        log_event(log_level::warning, "platform_failed",
                  {{"reason", why.message_}});
    }
    last_failure_ = why.message_;
}

} // namespace galenafork
