#include <standins/platform/object_store.h>

#include <kj/debug.h>
#include <utility>

namespace galenafork::standin
{

stored_object object_store::find(const std::string& name) const
{
    const auto found = objects_.find(name);
    return found == objects_.end() ? stored_object{} : found->second.current_;
}

stored_object object_store::find_previous(const std::string& name) const
{
    const auto found = objects_.find(name);
    if (found == objects_.end())
    {
        return {};
    }
    const entry& e = found->second;
    return e.previous_.version_ == 0 ? e.current_ : e.previous_;
}

bool object_store::put_if(const std::string& name, std::uint64_t expected,
                          std::string value)
{
    if (find(name).version_ != expected)
    {
        return false;
    }
    entry& e = objects_[name];
    e.previous_ = std::move(e.current_);
    e.current_ = {expected + 1, std::move(value)};
    watch_fulfillers fulfillers = std::exchange(watches_[name], {});
    for (auto& fulfiller : fulfillers)
    {
        fulfiller->fulfill();
    }
    return true;
}

std::map<std::string, std::uint64_t>
object_store::list(const std::string& prefix) const
{
    std::map<std::string, std::uint64_t> result;
    for (auto i = objects_.lower_bound(prefix);
         i != objects_.end() && i->first.compare(0, prefix.size(), prefix) == 0;
         ++i)
    {
        result.emplace(i->first, i->second.current_.version_);
    }
    return result;
}

kj::Promise<void> object_store::next_write(const std::string& name)
{
    auto pair = kj::newPromiseAndFulfiller<void>();
    watches_[name].push_back(kj::mv(pair.fulfiller));
    return kj::mv(pair.promise);
}

void object_store::fail_watches()
{
    auto failed = std::exchange(watches_, {});
    for (auto& [failed_name, fulfillers] : failed)
    {
        for (auto& fulfiller : fulfillers)
        {
            fulfiller->reject(KJ_EXCEPTION(DISCONNECTED, "outage"));
        }
    }
}

} // namespace galenafork::standin
