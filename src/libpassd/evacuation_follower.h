/// \file
/// Reads the evacuated data centres from the store.

#ifndef LIBPASSD_EVACUATION_FOLLOWER_H
#define LIBPASSD_EVACUATION_FOLLOWER_H

#include <galenafork/evacuation.h>
#include <galenafork/platform.h>

#include <functional>
#include <kj/timer.h>
#include <optional>
#include <set>

namespace galenafork
{

/// Reads the collection of evacuations at intervals. It is not watched: a watch
/// by each balancer would cost more than the reads that all of them share.
class evacuation_follower
{
public:
    /// `random` returns numbers in [0, 1). `on_state` is called with the state
    /// of each successful read, changed or not.
    evacuation_follower(collection_store& store, kj::Timer& timer,
                        std::function<double()> random,
                        evacuation_read_settings settings,
                        std::function<void(const evacuation_state&)> on_state);

    /// Reads the collection until the promise is dropped.
    kj::Promise<void> follow();

    /// Sets how many balancers share the reads, this one included.
    void set_balancers(std::size_t count)
    {
        balancers_ = count;
    }

    /// Adds data centres that have members. Evacuations of any other have no
    /// effect; each is logged once, after the next call.
    void add_known_data_centres(const std::vector<data_centre>& known);

    /// Returns whether the store has given no response to the reads for
    /// `failing_after_`.
    bool is_store_failing() const;

private:
    kj::Promise<void> read();
    duration handle_page(tl::expected<object_page, error> page);
    void log_ignored(std::size_t ignored);
    void log_unknown(const std::vector<data_centre>& evacuated);

    collection_store& store_;
    kj::Timer& timer_;
    std::function<double()> random_;
    evacuation_read_settings settings_;
    std::function<void(const evacuation_state&)> on_state_;
    std::size_t balancers_ = 1;
    /// The number of balancers at the last successful read.
    std::size_t balancers_at_read_ = 0;
    /// When the first read without a response since the last successful one
    /// began, on the timer's clock.
    std::optional<kj::TimePoint> unanswered_since_;
    bool failure_logged_ = false;
    /// The last read failed, or there was none.
    bool last_failed_ = true;
    std::vector<data_centre> evacuated_;
    std::set<data_centre> known_;
    /// Evacuated data centres without members that have been logged.
    std::set<data_centre> logged_unknown_;
    /// Number of ignored entries that was last logged.
    std::size_t logged_ignored_ = 0;
};

} // namespace galenafork

#endif
