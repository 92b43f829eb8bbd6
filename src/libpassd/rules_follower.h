/// \file
/// Keeps a balancer's rules up to date from the store, or from peers while the
/// store can't be reached.

#ifndef LIBPASSD_RULES_FOLLOWER_H
#define LIBPASSD_RULES_FOLLOWER_H

#include <galenafork/pass_types.h>
#include <galenafork/platform.h>
#include <galenafork/rules_watch.h>

#include <functional>
#include <kj/timer.h>
#include <memory>

namespace galenafork
{

/// Rules with the text that they were read from.
struct rules_text
{
    pass_rules_version version_;
    std::string text_;
};

/// A peer has newer rules.
struct newer_rules
{
    host_address host_;
    pass_rules_version version_;
};

/// Where rules came from.
enum class rules_source
{
    store,
    /// A watch: peers hear the same.
    watch,
    peer,
};

/// How rules are followed.
struct follower_settings
{
    /// Between two tries while the store does not answer.
    duration retry_interval_ = std::chrono::milliseconds(400);
    /// Between two reads because of a peer's newer version.
    duration hint_interval_ = std::chrono::milliseconds(250);
};

/// Follows the operator's rules. Versions only grow within one process.
class rules_follower
{
public:
    /// Takes new rules; `announce` if peers may not have heard of them.
    using rules_callback =
        std::function<void(std::shared_ptr<const pass_rules>, bool announce)>;
    /// Asks a peer for its rules.
    using fetch_rules_function =
        std::function<kj::Promise<tl::expected<rules_text, error>>(
            host_address)>;

    rules_follower(collection_store& store, kj::Timer& timer,
                   std::function<double()> random, follower_settings settings,
                   rules_callback taken, fetch_rules_function ask);

    /// Follows until the promise is dropped.
    kj::Promise<void> follow();

    /// How many balancers follow the rules, this one included.
    void set_balancers(std::size_t count)
    {
        balancers_ = count;
    }

    /// A peer has a newer version.
    kj::Promise<void> handle_newer_rules(newer_rules hint);

    /// The rules in force, for peers; version zero if there are none yet.
    const rules_text& current() const
    {
        return current_;
    }

    /// Takes rules from a peer or the store if they are newer.
    void apply_text(const std::string& text, rules_source source);

private:
    kj::Promise<void> read(read_trigger trigger);
    kj::Promise<void> watch();
    kj::Promise<void> take_changes(tl::expected<object_changes, error> changes);
    void plan_read(read_trigger trigger);
    kj::Promise<void> retry();
    void store_failed(const error& why);

    collection_store& store_;
    kj::Timer& timer_;
    follower_settings settings_;
    rules_callback on_rules_;
    fetch_rules_function ask_;
    rules_text current_;
    object_version seen_ = no_object_version;
    std::function<double()> random_;
    std::size_t balancers_ = 1;
    /// When the next read is due, by the timer.
    kj::TimePoint read_due_ = kj::origin<kj::TimePoint>();
    bool reachable_ = true;
    bool hinted_ = false;
};

} // namespace galenafork

#endif
