#include <standins/platform/memory_platform.h>

#include <utility>

namespace galenafork::standin
{

namespace
{

error unavailable()
{
    return {error_code::unavailable, "outage"};
}

platform_object to_object(const std::string& name, stored_object stored)
{
    return {name, object_version(stored.version_), std::move(stored.value_)};
}

} // namespace

kj::Promise<tl::expected<platform_object, error>>
memory_platform::get(std::string name)
{
    using result = tl::expected<platform_object, error>;
    ++calls_;
    if (outage_)
    {
        return result(tl::unexpected(unavailable()));
    }
    stored_object stored = objects_.find(name);
    if (stored.version_ == 0)
    {
        return result(
            tl::unexpected(error{error_code::not_found, "no object " + name}));
    }
    return result(to_object(name, std::move(stored)));
}

kj::Promise<write_result> memory_platform::put_if(object_write write)
{
    ++calls_;
    write_result result;
    if (outage_)
    {
        result.outcome_ = write_outcome::not_accepted;
        result.reason_ = unavailable();
        return result;
    }
    const bool written = objects_.put_if(
        write.name_, write.expected_version_.value(), std::move(write.value_));
    if (lose_answer_next_writes_ > 0)
    {
        --lose_answer_next_writes_;
        result.reason_ = {error_code::timed_out, "answer lost"};
        return result;
    }
    stored_object stored = objects_.find(write.name_);
    result.version_ = object_version(stored.version_);
    if (written)
    {
        result.outcome_ = write_outcome::accepted;
        return result;
    }
    result.outcome_ = write_outcome::not_accepted;
    result.reason_ = {error_code::conflict, "another writer came first"};
    if (stored.version_ != 0)
    {
        result.current_ = to_object(write.name_, std::move(stored));
    }
    return result;
}

kj::Promise<watch_result>
memory_platform::watch(std::string name, object_version after, duration wait)
{
    ++calls_;
    if (outage_)
    {
        return watch_result(tl::unexpected(unavailable()));
    }
    stored_object stored = objects_.find(name);
    if (stored.version_ > after.value())
    {
        return watch_result(to_object(name, std::move(stored)));
    }
    auto elapsed = timer_.afterDelay(wait.count() * kj::MICROSECONDS);
    return objects_.next_write(name)
        .exclusiveJoin(kj::mv(elapsed))
        .then(
            [this, name, after]() -> watch_result
            {
                stored_object now = objects_.find(name);
                if (now.version_ <= after.value())
                {
                    return std::nullopt;
                }
                return to_object(name, std::move(now));
            },
            [](const kj::Exception&) -> watch_result
            { return tl::unexpected(unavailable()); });
}

kj::Promise<tl::expected<std::vector<object_entry>, error>>
memory_platform::list(std::string prefix)
{
    using result = tl::expected<std::vector<object_entry>, error>;
    ++calls_;
    if (outage_)
    {
        return result(tl::unexpected(unavailable()));
    }
    std::vector<object_entry> entries;
    for (const auto& [name, version] : objects_.list(prefix))
    {
        entries.push_back({name, object_version(version)});
    }
    return result(std::move(entries));
}

} // namespace galenafork::standin
