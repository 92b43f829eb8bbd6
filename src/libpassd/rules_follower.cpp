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
                               read_pacer pacer, follower_settings settings,
                               rules_callback on_rules, read_callback on_read,
                               fetch_rules_function fetch)
    : store_(store), timer_(timer), pacer_(std::move(pacer)),
      settings_(settings), on_rules_(std::move(on_rules)),
      on_read_(std::move(on_read)), fetch_(std::move(fetch))
{
}

kj::Promise<void> rules_follower::follow()
{
    return read().then([this] { return watch_and_read(); });
}

bool rules_follower::apply_text(const std::string& text, rules_source source)
{
    auto rules = platform_adapter::parse_pass_rules(text);
    if (!rules)
    {
        log_event(log_level::error, "rules_unreadable",
                  {{"source", to_string(source)},
                   {"reason", rules.error().message_}});
        return false;
    }
    if (rules->version_ <= current_.version_)
    {
        return true;
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
    return true;
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

kj::Promise<void> rules_follower::wait_for_retry()
{
    return timer_.afterDelay(to_kj(settings_.retry_interval_));
}

// Begins a new watch each time that a read has shown that the current one
// reports nothing.
kj::Promise<void> rules_follower::watch_and_read()
{
    return watch()
        .exclusiveJoin(read_until_watch_fails())
        .then([this] { return watch_and_read(); });
}

// Reads the rules, again after each failure. Joins a read that is under way:
// while the store is away, the watch and the timer need the same one.
kj::Promise<void> rules_follower::read()
{
    if (!read_active_)
    {
        read_active_ = true;
        shared_read_ =
            read_until_response().then([this] { read_active_ = false; }).fork();
    }
    return shared_read_.addBranch();
}

kj::Promise<void> rules_follower::read_until_response()
{
    const instant began_at = pacer_.now();
    return store_
        .read_collection(platform_adapter::rules_collection, freshness::current)
        .then(
            [this, began_at](
                tl::expected<object_page, error>&& page) -> kj::Promise<void>
            {
                if (!page)
                {
                    handle_store_failure(page.error());
                    return wait_for_retry().then(
                        [this] { return read_until_response(); });
                }
                handle_page(*page, began_at);
                return kj::READY_NOW;
            });
}

void rules_follower::handle_page(const object_page& page, instant began_at)
{
    if (!store_reachable_)
    {
        store_reachable_ = true;
        log_event(log_level::info, "store_back", {});
    }
    store_version_ = page.version_;
    bool readable = true;
    for (const platform_object& object : page.objects_)
    {
        if (object.name_ == platform_adapter::rules_object)
        {
            readable = apply_text(object.value_, rules_source::store);
        }
    }
    pacer_.note_read(began_at);
    if (readable)
    {
        on_read_(began_at);
    }
}

// Reads the rules whenever a read is due. Completes after a read that shows
// that the watch reports nothing: it found newer rules, or its connection was
// silent.
kj::Promise<void> rules_follower::read_until_watch_fails()
{
    return pacer_.wait_until_due().then(
        [this]() -> kj::Promise<void>
        {
            const pass_rules_version before = current_.version_;
            const instant began_at = pacer_.now();
            return read().then(
                [this, before, began_at]() -> kj::Promise<void>
                {
                    const bool is_silent =
                        pacer_.now() - began_at > settings_.silent_read_time_;
                    if (is_silent || current_.version_ != before)
                    {
                        log_event(log_level::info, "watch_renewed",
                                  {{"reason",
                                    is_silent ? "slow_read" : "missed_change"},
                                   {"rules", current_.version_.value()},
                                   {"before", before.value()}});
                        return kj::READY_NOW;
                    }
                    return read_until_watch_fails();
                });
        });
}

kj::Promise<void> rules_follower::read_and_watch()
{
    return read().then([this] { return watch(); });
}

kj::Promise<void> rules_follower::watch()
{
    return store_
        .watch_collection(platform_adapter::rules_collection, store_version_,
                          settings_.watch_time_)
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
        return read_and_watch();
    }
    if (!changes && changes.error().code_ == error_code::timed_out)
    {
        // The store did not end the watch in time, so changes may be missing.
        return read_and_watch();
    }
    if (!changes)
    {
        handle_store_failure(changes.error());
        return wait_for_retry().then([this] { return read_and_watch(); });
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
