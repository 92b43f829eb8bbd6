/// \file
/// Transfers the decisions of a traffic thread to the log.

#ifndef LIBPASSD_DECISION_LOG_H
#define LIBPASSD_DECISION_LOG_H

#include <galenafork/metrics.h>
#include <galenafork/pass_actions.h>

#include <mutex>
#include <vector>

namespace galenafork
{

/// Limits on the logged decisions. Important ones (such as refusals, resets and
/// changes of an upstream's state) have a separate budget, so that ordinary
/// placements never displace them.
struct decision_log_settings
{
    std::size_t ordinary_per_second_ = 60;
    std::size_t important_per_second_ = 200;
};

/// Collects the decisions of one thread and writes them from another, in
/// batches. Adding never waits for the output: decisions beyond the budget are
/// dropped and counted.
class decision_log
{
public:
    decision_log(const decision_log_settings& settings,
                 metrics_registry& metrics);

    /// Adds `decisions` as far as the budget allows, and clears the vector.
    /// Called by the traffic thread.
    void add(std::vector<pass_decision>& decisions, instant now);

    /// Writes the collected decisions, and one line with the number of dropped
    /// ones. Called by the control thread.
    void flush();

private:
    struct entry
    {
        instant added_at_;
        pass_decision decision_;
    };

    /// Counts `decision` against its budget. Returns false if that is used up.
    bool consume_budget(const pass_decision& decision, instant now);

    decision_log_settings settings_;
    counter& omitted_total_;
    std::mutex mutex_;
    std::vector<entry> entries_;
    instant window_started_at_{};
    std::size_t ordinary_count_ = 0;
    std::size_t important_count_ = 0;
    std::uint64_t omitted_ = 0;
};

} // namespace galenafork

#endif
