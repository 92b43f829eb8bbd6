/// \file
/// Reads the evacuated data centres from the store.

#ifndef LIBPASSD_EVACUATION_FOLLOWER_H
#define LIBPASSD_EVACUATION_FOLLOWER_H

#include <galenafork/evacuation.h>
#include <galenafork/platform.h>
#include <libpassd/read_pacer.h>

#include <functional>
#include <kj/timer.h>
#include <optional>
#include <set>

namespace galenafork
{

/// Reads the collection of evacuations at intervals. It is not watched: a watch
/// by each balancer would cost more than the reads, which all of them share.
class evacuation_follower
{
public:
    /// Called with the state of each successful read, changed or not, and when
    /// the read began.
    using state_callback =
        std::function<void(const evacuation_state&, instant began_at)>;

    evacuation_follower(collection_store& store, kj::Timer& timer,
                        read_pacer pacer, evacuation_read_settings settings,
                        state_callback on_state);

    /// Reads the collection until the promise is dropped.
    kj::Promise<void> follow();

    /// Adds data centres that have members. Evacuations of any other have no
    /// effect; each is logged once, after the next call.
    void add_known_data_centres(const std::vector<data_centre>& known);

    /// Returns whether the store has given no response to the reads for
    /// `failing_after_`.
    bool is_store_failing() const;

private:
    kj::Promise<void> read();
    kj::Promise<void> handle_failure(const error& cause);
    void handle_page(const object_page& page, instant began_at);
    void log_ignored(std::size_t ignored);
    void log_unknown(const std::vector<data_centre>& evacuated);

    collection_store& store_;
    kj::Timer& timer_;
    read_pacer pacer_;
    evacuation_read_settings settings_;
    state_callback on_state_;
    /// When the first read without a response since the last successful one
    /// began, on the timer's clock.
    std::optional<kj::TimePoint> unanswered_since_;
    bool failure_logged_ = false;
    std::vector<data_centre> evacuated_;
    std::set<data_centre> known_;
    /// Evacuated data centres without members that have been logged.
    std::set<data_centre> logged_unknown_;
    /// Number of ignored entries that was last logged.
    std::size_t logged_ignored_ = 0;
};

} // namespace galenafork

#endif
