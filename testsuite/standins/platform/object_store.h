/// \file
/// Objects of the platform stand-in: versions, conditional updates, watches.

#ifndef STANDINS_PLATFORM_OBJECT_STORE_H
#define STANDINS_PLATFORM_OBJECT_STORE_H

#include <cstdint>
#include <kj/async.h>
#include <map>
#include <string>
#include <vector>

namespace galenafork::standin
{

/// One version of an object.
struct stored_object
{
    /// From 1, rising by one with each write; 0 if there is no object.
    std::uint64_t version_ = 0;
    /// A JSON text.
    std::string value_;
};

/// The objects, in memory only.
class object_store
{
public:
    /// The object in force; version 0 if there is none.
    stored_object find(const std::string& name) const;

    /// The version before the one in force, or the one in force if it is the
    /// first.
    stored_object find_earlier(const std::string& name) const;

    /// Writes if the version in force is `expected`; true if it was.
    bool put_if(const std::string& name, std::uint64_t expected,
                std::string value);

    /// Name and version of each object whose name begins with `prefix`.
    std::map<std::string, std::uint64_t> list(const std::string& prefix) const;

    /// Resolves when the object is written next; fails if `fail_watches` comes
    /// first.
    kj::Promise<void> next_write(const std::string& name);

    /// Fails every promise of `next_write`.
    void fail_watches();

private:
    struct entry
    {
        stored_object current_;
        stored_object earlier_;
    };
    using watchers = std::vector<kj::Own<kj::PromiseFulfiller<void>>>;

    std::map<std::string, entry> objects_;
    std::map<std::string, watchers> watchers_;
};

} // namespace galenafork::standin

#endif
