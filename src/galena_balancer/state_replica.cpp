#include "state_replica.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

// Updates that arrive within this time are published in one snapshot.
constexpr auto publish_delay = 2 * kj::MILLISECONDS;

counter& add_merge_counter(metrics_registry& metrics, merge_result result)
{
    return metrics.add_counter("galena_balancer_updates_total",
                               "Updates of rules and rosters, by outcome.",
                               {{"outcome", to_string(result)}});
}

struct update_description
{
    std::string operator()(const active_rules& u) const
    {
        return "rules version " + std::to_string(u.version_.value());
    }
    std::string operator()(const rules_delta& u) const
    {
        return "rules delta to version " + std::to_string(u.version_.value());
    }
    std::string operator()(const roster& u) const
    {
        return "roster " + u.service_.value() + " epoch " +
               std::to_string(u.epoch_.value());
    }
    std::string operator()(const roster_delta& u) const
    {
        return "roster delta " + u.service_.value() + " epoch " +
               std::to_string(u.epoch_.value());
    }
    std::string operator()(const expired_members_update& u) const
    {
        return "expired members of " + u.service_.value() + ": " +
               std::to_string(u.incarnations_.size());
    }
};

} // namespace

state_replica::state_replica(control_loop& loop, metrics_registry& metrics,
                             publish_function publish)
    : loop_(loop), publish_(std::move(publish)),
      applied_(add_merge_counter(metrics, merge_result::applied)),
      old_(add_merge_counter(metrics, merge_result::old)),
      gaps_(add_merge_counter(metrics, merge_result::gap)),
      bad_(add_merge_counter(metrics, merge_result::bad)),
      rules_version_(metrics.add_gauge("galena_balancer_rules_version",
                                       "Version of the active rules."))
{
}

merge_result state_replica::apply_update(const state_update& update,
                                         const std::string& source)
{
    const merge_result result = merge(state_, update);
    switch (result)
    {
    case merge_result::applied:
        applied_.add();
        log_applied(update, source);
        schedule_publish();
        notify_listeners(compact_update(state_, update));
        break;
    case merge_result::old:
        old_.add();
        break;
    case merge_result::gap:
        gaps_.add();
        break;
    case merge_result::bad:
        bad_.add();
        log_event(log_level::warning, "update_contradicts",
                  {{"update", std::visit(update_description{}, update)},
                   {"source", source}});
        break;
    }
    return result;
}

void state_replica::notify_listeners(const state_update& update)
{
    for (const listener& on_update : listeners_)
    {
        on_update(update);
    }
}

void state_replica::add_listener(listener on_update)
{
    listeners_.push_back(std::move(on_update));
}

void state_replica::mark_looked_up(const service_name& service)
{
    looked_up_.insert(service);
}

bool state_replica::is_looked_up(const service_name& service) const
{
    const auto at = state_.services_.find(service);
    const bool has_roster =
        at != state_.services_.end() && at->second.roster_ != nullptr;
    return has_roster || looked_up_.count(service) != 0;
}

void state_replica::mark_all_looked_up()
{
    for (const service_name& service : services())
    {
        looked_up_.insert(service);
    }
}

readiness state_replica::check_readiness() const
{
    if (!state_.rules_)
    {
        return {false, "no rules are known"};
    }
    if (!snapshot_)
    {
        return {false, "the first routing snapshot is being built"};
    }
    std::size_t missing = 0;
    std::string example;
    for (const service_name& service : services())
    {
        if (!is_looked_up(service))
        {
            example = service.value();
            ++missing;
        }
    }
    if (missing != 0)
    {
        return {false, "rosters not looked up yet: " + std::to_string(missing) +
                           ", for example " + example};
    }
    return {true, ""};
}

std::vector<service_name> state_replica::services() const
{
    std::set<service_name> names;
    if (state_.rules_)
    {
        for (const rule& r : state_.rules_->rules_)
        {
            names.insert(r.service_);
        }
        for (const rule& r : state_.rules_->retired_)
        {
            names.insert(r.service_);
        }
    }
    return {names.begin(), names.end()};
}

void state_replica::schedule_publish()
{
    if (publish_scheduled_)
    {
        return;
    }
    publish_scheduled_ = true;
    loop_.add_task("publish", loop_.timer()
                                  .afterDelay(publish_delay)
                                  .then([this] { publish_snapshot(); }));
}

void state_replica::publish_snapshot()
{
    publish_scheduled_ = false;
    auto next = build_snapshot(state_, snapshot_.get());
    if (!next)
    {
        return;
    }
    rules_version_.set(static_cast<std::int64_t>(next->rules_version_.value()));
    snapshot_ = std::move(next);
    publish_(snapshot_);
}

void state_replica::log_applied(const state_update& update,
                                const std::string& source)
{
    const bool rules = std::holds_alternative<active_rules>(update) ||
                       std::holds_alternative<rules_delta>(update);
    log_event(rules ? log_level::info : log_level::debug, "update_taken",
              {{"update", std::visit(update_description{}, update)},
               {"source", source}});
}

} // namespace galenafork
