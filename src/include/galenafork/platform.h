/// \file
/// The platform's object API as control code sees it: versioned objects,
/// conditional updates and watches.

#ifndef GALENAFORK_PLATFORM_H
#define GALENAFORK_PLATFORM_H

#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/time.h>

#include <cstdint>
#include <kj/async.h>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Version of an object in the platform; rises with each write.
using object_version = strong_type<struct object_version_tag, std::uint64_t>;

/// The version of an object that does not exist.
inline constexpr object_version no_object_version{0};

/// One object as read.
struct platform_object
{
    std::string name_;
    object_version version_;
    /// A JSON text.
    std::string value_;
};

/// An object's name and version, without its value.
struct object_entry
{
    std::string name_;
    object_version version_;
};

/// A conditional update.
struct object_write
{
    std::string name_;
    /// Written only if this is the version in force; `no_object_version`
    /// creates.
    object_version expected_version_;
    /// A JSON text that holds `write_id_` as one of its strings.
    std::string value_;
    /// Drawn anew for each update: see `make_write_id`.
    write_id write_id_;
};

/// What became of a conditional update.
enum class write_outcome
{
    /// It took effect, once.
    accepted,
    /// It did not take effect and never will.
    not_accepted,
    /// It cannot be told (yet) whether it took effect or will.
    unknown,
};

/// `accepted`, `not_accepted` or `unknown`.
const char* to_string(write_outcome outcome);

/// The outcome of a conditional update and what is known besides.
struct write_result
{
    write_outcome outcome_ = write_outcome::unknown;
    /// For `accepted`: the object's version when the write was seen in it.
    object_version version_;
    /// The object in force that was read to tell, if it could be read: the
    /// winner's if another writer won.
    std::optional<platform_object> current_;
    /// Why, unless accepted: `conflict` if another writer won.
    error reason_;
};

/// Result of a watch: the newer object, or nothing if none came in time.
using watch_result = tl::expected<std::optional<platform_object>, error>;

/// Access to the platform's objects. An interface, so that tests put a fake in
/// its place. The promises belong to the caller's event loop, and the store
/// must outlive them. No promise fails: errors are values.
class platform_store
{
public:
    virtual ~platform_store() noexcept(false) = default;

    /// Reads an object. Fails with `not_found`; with `unavailable`,
    /// `timed_out` or `refused` if the platform could not be asked.
    virtual kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) = 0;

    /// Writes an object if its version is the expected one. A lost answer is
    /// settled before this returns, or the outcome is `unknown`.
    virtual kj::Promise<write_result> put_if(object_write write) = 0;

    /// Waits up to `wait` for a version above `after`. Older and repeated
    /// events are dropped and count as "nothing came".
    virtual kj::Promise<watch_result>
    watch(std::string name, object_version after, duration wait) = 0;

    /// Names and versions of the objects whose names begin with `prefix`.
    virtual kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string prefix) = 0;
};

/// Objects of one collection as read at one moment.
struct object_page
{
    std::vector<platform_object> objects_;
    /// The store's version when it was read: watches go on from here.
    object_version version_;
    /// There are more objects after the last of this page.
    bool has_more_ = false;
};

/// One change of a collection.
struct object_change
{
    platform_object object_;
    bool deleted_ = false;
};

/// What changed in a collection, oldest first.
struct object_changes
{
    std::vector<object_change> changes_;
    /// The next watch goes on from here.
    object_version version_;
};

/// How old a read may be.
enum class freshness
{
    /// What was last written.
    current,
    /// Possibly some seconds old, at a lower price.
    allow_stale,
};

/// A platform that keeps its objects in collections: object names read
/// `COLLECTION/NAME`.
class collection_store : public platform_store
{
public:
    /// Reads a whole collection.
    virtual kj::Promise<tl::expected<object_page, error>>
    read_collection(std::string collection, freshness fresh) = 0;

    /// Reads an object that may be old.
    virtual kj::Promise<tl::expected<platform_object, error>>
    get_allow_stale(std::string name) = 0;

    /// Waits up to `wait` for changes after `after`. Fails with `not_found` if
    /// the platform no longer has that history: read all again.
    virtual kj::Promise<tl::expected<object_changes, error>>
    watch_collection(std::string collection, object_version after,
                     duration wait) = 0;

    /// Removes an object if its version is `expected`. Success also if there
    /// was none; fails with `conflict` if it has another version.
    virtual kj::Promise<tl::expected<void, error>>
    remove(std::string name, object_version expected) = 0;
};

/// A write id of two random numbers.
write_id make_write_id(std::uint64_t high, std::uint64_t low);

/// True if `value` (a JSON text) holds `id` as one of its strings.
bool holds_write_id(const std::string& value, const write_id& id);

} // namespace galenafork

#endif
