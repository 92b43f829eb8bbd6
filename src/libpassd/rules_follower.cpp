#include "rules_follower.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <platform/store_dialect.h>

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
                               follower_settings settings, rules_callback taken,
                               fetch_rules_function ask)
    : store_(store), timer_(timer), settings_(settings),
      on_rules_(std::move(taken)), ask_(std::move(ask)),
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
               {"rules", rules->rules_.size()}});
    current_ = {rules->version_, text};
    on_rules_(std::make_shared<const pass_rules>(std::move(*rules)),
              source != rules_source::watch);
}

void rules_follower::store_failed(const error& why)
{
    if (reachable_)
    {
        reachable_ = false;
        log_event(
            log_level::warning, "store_lost",
            {{"reason", why.message_}, {"rules", current_.version_.value()}});
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
                    store_failed(page.error());
                    return retry();
                }
                if (!reachable_)
                {
                    reachable_ = true;
                    log_event(log_level::info, "store_back", {});
                }
                plan_read(trigger);
                seen_ = page->version_;
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

void rules_follower::plan_read(read_trigger trigger)
{
    read_due_ = timer_.now() +
                to_kj(rules_watch_length(balancers_, random_(), trigger));
}

// An event does not put the next read off: every balancer hears it at the same
// moment, and none would read for a change that is missed right after it.
kj::Promise<void> rules_follower::watch()
{
    const kj::TimePoint now = timer_.now();
    if (now >= read_due_)
    {
        return read(read_trigger::scheduled);
    }
    const duration wait((read_due_ - now) / kj::MICROSECONDS);
    return store_
        .watch_collection(platform_adapter::rules_collection, seen_, wait)
        .then([this](tl::expected<object_changes, error>&& changes)
              { return take_changes(std::move(changes)); });
}

kj::Promise<void>
rules_follower::take_changes(tl::expected<object_changes, error> changes)
{
    if (!changes && changes.error().code_ == error_code::not_found)
    {
        log_event(log_level::info, "history_gone", {{"after", seen_.value()}});
        return read(read_trigger::shared_event);
    }
    const bool unanswered =
        !changes && changes.error().code_ == error_code::timed_out;
    if (unanswered || (changes && changes->changes_.empty()))
    {
        // A watch may have lost what happened: only a read tells.
        return read(read_trigger::scheduled);
    }
    if (!changes)
    {
        store_failed(changes.error());
        return retry();
    }
    seen_ = std::max(seen_, changes->version_);
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

kj::Promise<void> rules_follower::handle_newer_rules(newer_rules hint)
{
    if (hinted_ || hint.version_ <= current_.version_)
    {
        return kj::READY_NOW;
    }
    hinted_ = true;
    return ask_(hint.host_)
        .then(
            [this, hint](tl::expected<rules_text, error>&& answer)
            {
                if (answer)
                {
                    apply_text(answer->text_, rules_source::peer);
                }
                else
                {
                    log_event(log_level::warning, "peer_rules_failed",
                              {{"peer", to_string(hint.host_)},
                               {"reason", answer.error().message_}});
                }
                return timer_.afterDelay(to_kj(settings_.hint_interval_));
            })
        .then([this] { hinted_ = false; });
}

} // namespace galenafork
