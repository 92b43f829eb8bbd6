/// \file
/// The object store of the platform stand-in, with versions, conditional writes
/// and watches.

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
    /// Starts at 1 and is incremented by each write; 0 if the object does not
    /// exist.
    std::uint64_t version_ = 0;
    /// The value as JSON.
    std::string value_;
};

/// An in-memory object store that keeps the current and the previous version of
/// each object.
class object_store
{
public:
    /// Returns the current version of an object.
    stored_object find(const std::string& name) const;

    /// Returns the previous version of an object, or the current one if it is
    /// the first.
    stored_object find_previous(const std::string& name) const;

    /// Writes an object if its current version is `expected`. Returns whether
    /// it was written.
    bool put_if(const std::string& name, std::uint64_t expected,
                std::string value);

    /// Returns name and version of each object whose name begins with `prefix`.
    std::map<std::string, std::uint64_t> list(const std::string& prefix) const;

    /// Returns a promise that resolves at the next write of the object, and
    /// fails if `fail_watches` is called before.
    kj::Promise<void> next_write(const std::string& name);

    /// Fails all pending promises of `next_write`.
    void fail_watches();

private:
    struct entry
    {
        stored_object current_;
        stored_object previous_;
    };
    using watch_fulfillers = std::vector<kj::Own<kj::PromiseFulfiller<void>>>;

    std::map<std::string, entry> objects_;
    std::map<std::string, watch_fulfillers> watches_;
};

} // namespace galenafork::standin

#endif
