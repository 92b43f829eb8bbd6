/// \file
/// An in-memory store for tests, with revisions and injected failures: outages,
/// watches that miss changes or time out, and lost history.

#ifndef LIBPASSD_FAKE_STORE_H
#define LIBPASSD_FAKE_STORE_H

#include <galenafork/platform.h>

#include <kj/timer.h>
#include <map>

namespace galenafork::samples
{

class fake_store final : public collection_store
{
public:
    explicit fake_store(kj::Timer& timer) : timer_(timer) {}

    void put(const std::string& name, const std::string& value)
    {
        objects_[name] = {name, object_version(++revision_), value};
    }

    kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) override
    {
        ++current_reads_;
        return find(name);
    }

    kj::Promise<tl::expected<platform_object, error>>
    get_allow_stale(std::string name) override
    {
        return find(name);
    }

    kj::Promise<write_result> put_if(object_write write) override
    {
        if (write_delay_ == 0 * kj::MILLISECONDS)
        {
            return apply(write);
        }
        return timer_.afterDelay(write_delay_)
            .then([this, write = std::move(write)] { return apply(write); });
    }

    write_result apply(const object_write& write)
    {
        write_result result;
        const auto existing = objects_.find(write.name_);
        const object_version version = existing == objects_.end()
                                           ? no_object_version
                                           : existing->second.version_;
        if (down_)
        {
            result.outcome_ = write_outcome::unknown;
        }
        else if (version != write.expected_version_)
        {
            result.outcome_ = write_outcome::not_accepted;
            result.version_ = version;
            if (existing != objects_.end())
            {
                result.current_ = existing->second;
            }
        }
        else
        {
            put(write.name_, write.value_);
            result.outcome_ = write_outcome::accepted;
            result.version_ = object_version(revision_);
        }
        return result;
    }

    kj::Promise<watch_result> watch(std::string /*name*/,
                                    object_version /*after*/,
                                    duration /*wait*/) override
    {
        return watch_result(std::nullopt);
    }

    kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string /*prefix*/) override
    {
        return tl::expected<std::vector<object_entry>, error>();
    }

    kj::Promise<tl::expected<object_page, error>>
    read_collection(std::string collection, freshness /*fresh*/) override
    {
        using result = tl::expected<object_page, error>;
        ++collection_reads_;
        if (down_)
        {
            return result(tl::unexpected(unavailable_error()));
        }
        object_page page;
        page.version_ = object_version(revision_);
        for (const auto& entry : objects_)
        {
            if (entry.first.rfind(collection + "/", 0) == 0)
            {
                page.objects_.push_back(entry.second);
            }
        }
        return result(std::move(page));
    }

    kj::Promise<tl::expected<object_changes, error>>
    watch_collection(std::string collection, object_version after,
                     duration wait) override
    {
        return timer_.afterDelay(poll_interval_)
            .then(
                [this, collection, after,
                 wait]() -> kj::Promise<tl::expected<object_changes, error>>
                {
                    using result = tl::expected<object_changes, error>;
                    if (down_)
                    {
                        return result(tl::unexpected(unavailable_error()));
                    }
                    if (watch_times_out_)
                    {
                        return result(tl::unexpected(error{
                            error_code::timed_out, "no response in time"}));
                    }
                    if (history_gone_)
                    {
                        history_gone_ = false;
                        return result(tl::unexpected(
                            error{error_code::not_found, "history is gone"}));
                    }
                    object_changes changes;
                    changes.version_ = object_version(revision_);
                    for (const auto& entry : objects_)
                    {
                        if (!drops_watch_events_ &&
                            entry.second.version_ > after &&
                            entry.first.rfind(collection + "/", 0) == 0)
                        {
                            changes.changes_.push_back({entry.second, false});
                        }
                    }
                    const duration remaining =
                        wait - std::chrono::milliseconds(1);
                    if (changes.changes_.empty() && remaining > duration(0))
                    {
                        return watch_collection(collection, after, remaining);
                    }
                    return result(std::move(changes));
                });
    }

    kj::Promise<tl::expected<void, error>>
    remove(std::string name, object_version /*expected*/) override
    {
        objects_.erase(name);
        return tl::expected<void, error>();
    }

    bool down_ = false;
    /// Watches report no changes, and no error.
    bool drops_watch_events_ = false;
    /// Watches fail with `timed_out`.
    bool watch_times_out_ = false;
    /// The next watch fails because the store's history is gone.
    bool history_gone_ = false;
    /// Time until a write takes effect.
    kj::Duration write_delay_ = 0 * kj::MILLISECONDS;
    int current_reads_ = 0;
    int collection_reads_ = 0;
    std::map<std::string, platform_object> objects_;

private:
    static error unavailable_error()
    {
        return {error_code::unavailable, "the store is down"};
    }

    tl::expected<platform_object, error> find(const std::string& name) const
    {
        if (down_)
        {
            return tl::unexpected(unavailable_error());
        }
        const auto it = objects_.find(name);
        if (it == objects_.end())
        {
            return tl::unexpected(error{error_code::not_found, name});
        }
        return it->second;
    }

    kj::Timer& timer_;
    std::uint64_t revision_ = 10;
    kj::Duration poll_interval_ = 1 * kj::MILLISECONDS;
};

} // namespace galenafork::samples

#endif
