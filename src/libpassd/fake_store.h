/// \file
/// A store in memory for tests: revisions, watches that may be deaf, outages,
/// lost history.

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
        ++fresh_reads_;
        return find(name);
    }

    kj::Promise<tl::expected<platform_object, error>>
    get_allow_stale(std::string name) override
    {
        return find(name);
    }

    kj::Promise<write_result> put_if(object_write write) override
    {
        write_result result;
        const auto there = objects_.find(write.name_);
        const object_version version = there == objects_.end()
                                           ? no_object_version
                                           : there->second.version_;
        if (down_)
        {
            result.outcome_ = write_outcome::unknown;
        }
        else if (version != write.expected_version_)
        {
            result.outcome_ = write_outcome::not_accepted;
            result.version_ = version;
            if (there != objects_.end())
            {
                result.current_ = there->second;
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
        ++page_reads_;
        if (down_)
        {
            return result(tl::unexpected(lost()));
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
        return timer_.afterDelay(poll_).then(
            [this, collection, after,
             wait]() -> kj::Promise<tl::expected<object_changes, error>>
            {
                using result = tl::expected<object_changes, error>;
                if (down_)
                {
                    return result(tl::unexpected(lost()));
                }
                if (silent_)
                {
                    return result(tl::unexpected(
                        error{error_code::timed_out, "no answer"}));
                }
                if (history_gone_)
                {
                    history_gone_ = false;
                    return result(
                        tl::unexpected(error{error_code::not_found, "gone"}));
                }
                object_changes changes;
                changes.version_ = object_version(revision_);
                for (const auto& entry : objects_)
                {
                    if (!deaf_ && entry.second.version_ > after &&
                        entry.first.rfind(collection + "/", 0) == 0)
                    {
                        changes.changes_.push_back({entry.second, false});
                    }
                }
                const duration left = wait - std::chrono::milliseconds(1);
                if (changes.changes_.empty() && left > duration(0))
                {
                    return watch_collection(collection, after, left);
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
    /// Watches hear nothing, without a sign.
    bool deaf_ = false;
    /// Watches are not answered in time.
    bool silent_ = false;
    bool history_gone_ = false;
    int fresh_reads_ = 0;
    int page_reads_ = 0;
    std::map<std::string, platform_object> objects_;

private:
    static error lost()
    {
        return {error_code::unavailable, "down"};
    }

    tl::expected<platform_object, error> find(const std::string& name) const
    {
        if (down_)
        {
            return tl::unexpected(lost());
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
    kj::Duration poll_ = 1 * kj::MILLISECONDS;
};

} // namespace galenafork::samples

#endif
