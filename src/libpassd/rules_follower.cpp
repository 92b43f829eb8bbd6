#include "rules_follower.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <platform/store_dialect.h>

#include <algorithm>

namespace galenafork
{

namespace
{

const char* to_string(rules_source source)
{
    switch (source)
    {
    case rules_source::store:
        return "store";
    case rules_source::watch:
        return "watch";
    case rules_source::peer:
        return "peer";
    }
    return "";
}

} // namespace

rules_follower::rules_follower(collection_store& store, kj::Timer& timer,
                               std::function<double()> random,
                               follower_settings settings,
                               rules_callback on_rules,
                               fetch_rules_function fetch)
    : store_(store), timer_(timer), settings_(settings),
      on_rules_(std::move(on_rules)), fetch_(std::move(fetch)),
      random_(std::move(random))
{
}

kj::Promise<void> rules_follower::follow()
{
    return read(read_trigger::shared_event);
}

void rules_follower::apply_text(const std::string& text, rules_source source)
{
    auto rules = platform_adapter::parse_pass_rules(text);
    if (!rules)
    {
        log_event(log_level::error, "rules_unreadable",
                  {{"source", to_string(source)},
                   {"reason", rules.error().message_}});
        return;
    }
    if (rules->version_ <= current_.version_)
    {
        return;
    }
    log_event(log_level::info, "rules_taken",
              {{"source", to_string(source)},
               {"version", rules->version_.value()},
               {"before", current_.version_.value()},
               {"rules", rules->rules_.size()},
               {"cold_limits", rules->cold_rates_.size()},
               {"cold_limits_ignored", rules->ignored_cold_rates_}});
    current_ = {rules->version_, text};
    on_rules_(std::make_shared<const pass_rules>(std::move(*rules)),
              source != rules_source::watch);
}

void rules_follower::apply_newest(const std::vector<rules_text>& responses)
{
    const auto newest =
        std::max_element(responses.begin(), responses.end(),
                         [](const rules_text& a, const rules_text& b)
                         { return a.version_ < b.version_; });
    if (newest != responses.end() && newest->version_ > current_.version_)
    {
        apply_text(newest->text_, rules_source::peer);
    }
}

void rules_follower::handle_store_failure(const error& cause)
{
    if (store_reachable_)
    {
        store_reachable_ = false;
        log_event(
            log_level::warning, "store_lost",
            {{"reason", cause.message_}, {"rules", current_.version_.value()}});
    }
}

kj::Promise<void> rules_follower::retry()
{
    return timer_.afterDelay(to_kj(settings_.retry_interval_))
        .then([this] { return read(read_trigger::shared_event); });
}

kj::Promise<void> rules_follower::read(read_trigger trigger)
{
    return store_
        .read_collection(platform_adapter::rules_collection, freshness::current)
        .then(
            [this, trigger](tl::expected<object_page, error>&& page)
            {
                if (!page)
                {
                    handle_store_failure(page.error());
                    return retry();
                }
                if (!store_reachable_)
                {
                    store_reachable_ = true;
                    log_event(log_level::info, "store_back", {});
                }
                schedule_read(trigger);
                store_version_ = page->version_;
                for (const platform_object& object : page->objects_)
                {
                    if (object.name_ == platform_adapter::rules_object)
                    {
                        apply_text(object.value_, rules_source::store);
                    }
                }
                return watch();
            });
}

void rules_follower::schedule_read(read_trigger trigger)
{
    next_read_at_ = timer_.now() +
                    to_kj(rules_watch_length(balancers_, random_(), trigger));
}

// A change does not postpone the next scheduled read. All balancers receive the
// change at the same moment; if they all postponed their reads, none of them
// would soon find a later change that the watches miss.
kj::Promise<void> rules_follower::watch()
{
    const kj::TimePoint now = timer_.now();
    if (now >= next_read_at_)
    {
        return read(read_trigger::scheduled);
    }
    const duration wait((next_read_at_ - now) / kj::MICROSECONDS);
    return store_
        .watch_collection(platform_adapter::rules_collection, store_version_,
                          wait)
        .then([this](tl::expected<object_changes, error>&& changes)
              { return handle_changes(std::move(changes)); });
}

kj::Promise<void>
rules_follower::handle_changes(tl::expected<object_changes, error> changes)
{
    if (!changes && changes.error().code_ == error_code::not_found)
    {
        log_event(log_level::info, "history_gone",
                  {{"after", store_version_.value()}});
        return read(read_trigger::shared_event);
    }
    const bool watch_timed_out =
        !changes && changes.error().code_ == error_code::timed_out;
    if (watch_timed_out || (changes && changes->changes_.empty()))
    {
        // A watch may miss a change without an error; only a read shows it.
        return read(read_trigger::scheduled);
    }
    if (!changes)
    {
        handle_store_failure(changes.error());
        return retry();
    }
    store_version_ = std::max(store_version_, changes->version_);
    const platform_object* newest = nullptr;
    for (const object_change& change : changes->changes_)
    {
        if (change.object_.name_ == platform_adapter::rules_object &&
            !change.deleted_)
        {
            newest = &change.object_;
        }
    }
    if (newest != nullptr)
    {
        apply_text(newest->value_, rules_source::watch);
    }
    return watch();
}

kj::Promise<void> rules_follower::handle_newer_rules(newer_rules newer)
{
    if (peer_fetch_active_ || newer.version_ <= current_.version_)
    {
        return kj::READY_NOW;
    }
    peer_fetch_active_ = true;
    return fetch_(newer.host_)
        .then(
            [this, newer](tl::expected<rules_text, error>&& response)
            {
                if (response)
                {
                    apply_text(response->text_, rules_source::peer);
                }
                else
                {
                    log_event(log_level::warning, "peer_rules_failed",
                              {{"peer", to_string(newer.host_)},
                               {"reason", response.error().message_}});
                }
                return timer_.afterDelay(to_kj(settings_.peer_fetch_interval_));
            })
        .then([this] { peer_fetch_active_ = false; });
}

} // namespace galenafork
