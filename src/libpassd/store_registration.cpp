#include "store_registration.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>

#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

constexpr const char* write_id_field = "write_id";

nlohmann::json parse_json(const std::string& text)
{
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace

store_registration::store_registration(
    collection_store& store, kj::Timer& timer,
    std::function<std::uint64_t()> random_bits,
    store_registration_settings settings)
    : store_(store), timer_(timer), random_bits_(std::move(random_bits)),
      settings_(settings)
{
}

kj::Promise<void> store_registration::pause(duration time)
{
    return timer_.afterDelay(to_kj(time));
}

bool store_registration::matches(const std::string& stored) const
{
    nlohmann::json stored_value = parse_json(stored);
    if (!stored_value.is_object())
    {
        return false;
    }
    stored_value.erase(write_id_field);
    return stored_value == parse_json(value_);
}

kj::Promise<void> store_registration::maintain(std::string name,
                                               std::string value)
{
    name_ = std::move(name);
    value_ = std::move(value);
    return run_maintenance();
}

void store_registration::set_value(std::string value)
{
    if (value != value_)
    {
        value_ = std::move(value);
        confirmed_ = false;
    }
}

kj::Promise<void> store_registration::run_maintenance()
{
    if (removed_)
    {
        return kj::READY_NOW;
    }
    auto checked = confirmed_ ? store_.get_allow_stale(name_).then(
                                    [this](auto&& read) -> kj::Promise<void>
                                    {
                                        // A failed read may hide an expired
                                        // entry.
                                        const bool intact =
                                            read && matches(read->value_);
                                        confirmed_ = intact;
                                        return kj::READY_NOW;
                                    })
                              : write_after_read();
    return checked
        .then(
            [this]
            {
                return pause(confirmed_ ? settings_.check_interval_
                                        : settings_.retry_interval_);
            })
        .then([this] { return run_maintenance(); });
}

kj::Promise<void> store_registration::write_after_read()
{
    if (!written_)
    {
        // Usually there is no entry yet; if there is, the write is not accepted
        // and returns it.
        return write(version_);
    }
    return store_.get(name_).then(
        [this](tl::expected<platform_object, error>&& read) -> kj::Promise<void>
        {
            if (read)
            {
                version_ = read->version_;
                confirmed_ = matches(read->value_);
                return confirmed_ ? kj::Promise<void>(kj::READY_NOW)
                                  : write(version_);
            }
            if (read.error().code_ == error_code::not_found)
            {
                log_event(log_level::warning, "entry_lapsed",
                          {{"entry", name_}});
                return write(no_object_version);
            }
            if (store_reachable_)
            {
                store_reachable_ = false;
                log_event(
                    log_level::warning, "store_lost",
                    {{"entry", name_}, {"reason", read.error().message_}});
            }
            return kj::READY_NOW;
        });
}

kj::Promise<void> store_registration::write(object_version expected)
{
    if (removed_)
    {
        return kj::READY_NOW;
    }
    object_write write;
    write.name_ = name_;
    write.expected_version_ = expected;
    write.write_id_ = make_write_id(random_bits_(), random_bits_());
    nlohmann::json value = parse_json(value_);
    value[write_id_field] = write.write_id_.value();
    write.value_ = value.dump();
    return store_.put_if(std::move(write))
        .then(
            [this](write_result&& result) -> kj::Promise<void>
            {
                const bool accepted =
                    result.outcome_ == write_outcome::accepted;
                written_ |= accepted || result.current_.has_value();
                confirmed_ = accepted || (result.current_ &&
                                          matches(result.current_->value_));
                version_ = result.version_;
                if (confirmed_)
                {
                    store_reachable_ = true;
                }
                log_event(log_level::info, "entry_written",
                          {{"entry", name_},
                           {"outcome", to_string(result.outcome_)},
                           {"version", result.version_.value()},
                           {"reason", result.reason_.message_}});
                if (removed_ && accepted)
                {
                    // The write took effect after the removal.
                    return store_.remove(name_, version_).ignoreResult();
                }
                return kj::READY_NOW;
            });
}

kj::Promise<void> store_registration::remove(std::string name)
{
    name_ = std::move(name);
    removed_ = true;
    return store_.get(name_)
        .then(
            [this](tl::expected<platform_object, error>&& read)
                -> kj::Promise<tl::expected<void, error>>
            {
                if (!read)
                {
                    return tl::expected<void, error>(
                        tl::unexpected(std::move(read.error())));
                }
                return store_.remove(name_, read->version_);
            })
        .then(
            [this](tl::expected<void, error>&& removed)
            {
                log_event(log_level::info, "entry_removed",
                          {{"entry", name_},
                           {"outcome",
                            removed ? "removed" : removed.error().message_}});
            });
}

} // namespace galenafork
