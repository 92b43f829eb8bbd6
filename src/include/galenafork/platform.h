/// \file
/// The platform's object API as an interface: versioned objects, conditional
/// updates and watches.

#ifndef GALENAFORK_PLATFORM_H
#define GALENAFORK_PLATFORM_H

#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/object_version.h>
#include <galenafork/time.h>

#include <cstdint>
#include <kj/async.h>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// An object as read from the platform.
struct platform_object
{
    std::string name_;
    object_version version_;
    /// JSON text.
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
    /// The write succeeds only if this is the object's current version;
    /// `no_object_version` creates the object.
    object_version expected_version_;
    /// JSON text that contains `write_id_` as one of its strings.
    std::string value_;
    /// Unique for each update, made with `make_write_id`: it shows in a later
    /// read whether the write took effect.
    write_id write_id_;
};

/// The outcome of a conditional update.
enum class write_outcome
{
    /// The update took effect, exactly once.
    accepted,
    /// The update did not take effect and never will.
    not_accepted,
    /// The update may have taken effect, or may still do so.
    unknown,
};

/// Returns `accepted`, `not_accepted` or `unknown`.
const char* to_string(write_outcome outcome);

/// The outcome of a conditional update, with details.
struct write_result
{
    write_outcome outcome_ = write_outcome::unknown;
    /// If `accepted`: the version that the write created, or the version of the
    /// later read that contained the write.
    object_version version_;
    /// The current object, if it had to be read to find the outcome and could
    /// be read. After a conflict this is the object of the other writer.
    std::optional<platform_object> current_;
    /// Why the update was not accepted or its outcome is unknown; `conflict` if
    /// another writer updated the object first.
    error reason_;
};

/// Result of a watch: the newer object, or nothing if there was none in time.
using watch_result = tl::expected<std::optional<platform_object>, error>;

/// Access to the platform's objects; an interface, so that tests can replace it
/// by a fake. The promises belong to the caller's event loop, and the store
/// must outlive them. Errors are returned as values: no promise is rejected.
class platform_store
{
public:
    virtual ~platform_store() noexcept(false) = default;

    /// Reads an object. Fails with `not_found`; with `unavailable`, `timed_out`
    /// or `refused` if the platform does not respond, refuses the call or may
    /// not be called; with `bad_message` if its response is malformed.
    virtual kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) = 0;

    /// Writes an object if its version is the expected one. If the response is
    /// lost, this first resolves whether the write took effect; the outcome is
    /// `unknown` if that fails.
    virtual kj::Promise<write_result> put_if(object_write write) = 0;

    /// Waits up to `wait` for a version above `after`. Returns nothing if the
    /// platform reports none in time, or reports an older or duplicate version.
    virtual kj::Promise<watch_result>
    watch(std::string name, object_version after, duration wait) = 0;

    /// Lists the names and versions of the objects whose names begin with
    /// `prefix`.
    virtual kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string prefix) = 0;
};

/// One page of the objects of a collection, or all of its objects.
struct object_page
{
    std::vector<platform_object> objects_;
    /// The store's version at the time of the read, from which a watch can
    /// continue.
    object_version version_;
    /// True if there are more objects after the last one of this page.
    bool has_more_ = false;
    /// The store's era at the time of the read.
    store_era era_;
};

/// One change in a collection.
struct object_change
{
    platform_object object_;
    bool deleted_ = false;
};

/// The changes in a collection since some version.
struct object_changes
{
    /// Oldest first.
    std::vector<object_change> changes_;
    /// The store's version from which the next watch continues.
    object_version version_;
};

/// How old the data of a read may be.
enum class freshness
{
    /// The latest written data.
    current,
    /// Data that may be some seconds old; the read costs the platform less.
    allow_stale,
};

/// A platform that keeps its objects in collections. Object names have the form
/// `COLLECTION/NAME`.
class collection_store : public platform_store
{
public:
    /// Reads all objects of a collection.
    virtual kj::Promise<tl::expected<object_page, error>>
    read_collection(std::string collection, freshness fresh) = 0;

    /// Reads an object with `freshness::allow_stale`.
    virtual kj::Promise<tl::expected<platform_object, error>>
    get_allow_stale(std::string name) = 0;

    /// Waits up to `wait` for changes after version `after`. Fails with
    /// `not_found` if the platform no longer has the history since `after`; the
    /// caller then has to read the whole collection again.
    virtual kj::Promise<tl::expected<object_changes, error>>
    watch_collection(std::string collection, object_version after,
                     duration wait) = 0;

    /// Removes an object if its version is `expected`. Succeeds also if there
    /// is no such object; fails with `conflict` if it has another version.
    virtual kj::Promise<tl::expected<void, error>>
    remove(std::string name, object_version expected) = 0;
};

/// Makes a write id from two random numbers.
write_id make_write_id(std::uint64_t high, std::uint64_t low);

/// True if `value`, a JSON text, contains `id` as one of its strings.
bool holds_write_id(const std::string& value, const write_id& id);

} // namespace galenafork

#endif
