/// \file
/// Keeps a balancer's rules up to date from the store, or from peers while the
/// store can't be reached. A watch reports most changes at once. It can miss
/// one without an error, for example if its connection is silent, so the rules
/// are also read at intervals that the process's own clock bounds.

#ifndef LIBPASSD_RULES_FOLLOWER_H
#define LIBPASSD_RULES_FOLLOWER_H

#include <galenafork/pass_types.h>
#include <galenafork/platform.h>
#include <libpassd/read_pacer.h>

#include <functional>
#include <kj/timer.h>
#include <memory>
#include <vector>

namespace galenafork
{

/// One version of the rules as the JSON text that the store holds.
struct rules_text
{
    pass_rules_version version_;
    std::string text_;
};

/// A peer that has newer rules, and their version.
struct newer_rules
{
    host_address host_;
    pass_rules_version version_;
};

/// Where a version of the rules came from.
enum class rules_source
{
    /// A read of the store.
    store,
    /// A watch of the store, which reports the same change to all balancers.
    watch,
    peer,
};

/// Time intervals of a `rules_follower`.
struct follower_settings
{
    /// Time from a failed call to the store until the rules are read again.
    duration retry_interval_ = std::chrono::milliseconds(400);
    /// Length of a watch.
    duration watch_time_ = std::chrono::seconds(25);
    /// A read that takes longer had an attempt without a response. Its
    /// connection was silent, and the watch's may be as well.
    duration silent_read_time_ = std::chrono::milliseconds(900);
    /// Minimum time between two fetches from peers.
    duration peer_fetch_interval_ = std::chrono::milliseconds(250);
};

/// Follows the operator's rules. Only versions newer than the current one are
/// applied.
class rules_follower
{
public:
    /// Called with new rules; `announce` is true if peers may not have them
    /// yet.
    using rules_callback =
        std::function<void(std::shared_ptr<const pass_rules>, bool announce)>;
    /// Fetches the rules of a peer.
    using fetch_rules_function =
        std::function<kj::Promise<tl::expected<rules_text, error>>(
            host_address)>;

    /// Called after a read that found no rules newer than the current ones,
    /// which may be rules that this read found; gets when the read began.
    using read_callback = std::function<void(instant began_at)>;

    rules_follower(collection_store& store, kj::Timer& timer, read_pacer pacer,
                   follower_settings settings, rules_callback on_rules,
                   read_callback on_read, fetch_rules_function fetch);

    /// Reads the rules and their changes until the promise is dropped.
    kj::Promise<void> follow();

    /// Fetches and applies the rules of a peer if they are newer than the
    /// current ones. A call during a fetch or within `peer_fetch_interval_`
    /// after it is ignored.
    kj::Promise<void> handle_newer_rules(newer_rules newer);

    /// Returns the active rules, which peers can fetch. Their version is zero
    /// if there are none yet.
    const rules_text& current() const
    {
        return current_;
    }

    /// Applies the rules in `text` if they are newer than the current ones.
    /// Rules that can't be parsed are logged and ignored; the function then
    /// returns false.
    bool apply_text(const std::string& text, rules_source source);

    /// Applies the newest of the rules that several peers gave, if they are
    /// newer than the current ones. A peer that was paused or cut off may have
    /// rules that have been replaced; applying its rules first would use a
    /// removed rule again after a restart.
    void apply_newest(const std::vector<rules_text>& responses);

private:
    kj::Promise<void> watch_and_read();
    kj::Promise<void> read();
    kj::Promise<void> read_until_response();
    void handle_page(const object_page& page, instant began_at);
    kj::Promise<void> read_until_watch_fails();
    kj::Promise<void> watch();
    kj::Promise<void> read_and_watch();
    kj::Promise<void>
    handle_changes(tl::expected<object_changes, error> changes);
    kj::Promise<void> wait_for_retry();
    void handle_store_failure(const error& cause);

    collection_store& store_;
    kj::Timer& timer_;
    read_pacer pacer_;
    follower_settings settings_;
    rules_callback on_rules_;
    read_callback on_read_;
    fetch_rules_function fetch_;
    rules_text current_;
    /// The store's version at the last read or change; watches continue there.
    object_version store_version_ = no_object_version;
    bool store_reachable_ = true;
    /// The read that `shared_read_` stands for has not ended.
    bool read_active_ = false;
    kj::ForkedPromise<void> shared_read_ =
        kj::Promise<void>(kj::READY_NOW).fork();
    /// A fetch from a peer runs, or ended less than `peer_fetch_interval_` ago.
    bool peer_fetch_active_ = false;
};

} // namespace galenafork

#endif
