/// \file
/// Settings of the load policy, with their defaults.

#ifndef GALENAFORK_LOAD_SETTINGS_H
#define GALENAFORK_LOAD_SETTINGS_H

#include <galenafork/ids.h>
#include <galenafork/time.h>

#include <cstdint>
#include <string>
#include <vector>

namespace galenafork
{

/// Settings for the choice of a new flow's owner.
struct placement_settings
{
    /// Difference in load score, in requests per slot, by which the home must
    /// be above a candidate before the flow is assigned to the candidate.
    double home_margin_ = 0.1;
    /// Additional difference required of a candidate in another data centre.
    double locality_margin_ = 0.1;
    /// Maximum fraction by which an upstream's report may raise its load.
    double report_influence_ = 0.05;
    /// Adds the flows assigned to a member since its last report to its load.
    bool local_correction_ = true;
    /// A member is slow if its service time is above the median of all members
    /// by more than this factor.
    double slowness_tolerance_ = 1.25;
    /// Maximum factor by which slowness raises a member's load score; 1 turns
    /// this effect off.
    double slowness_limit_ = 1.5;
};

/// Rise of a member's weight after its start.
struct slow_start_settings
{
    /// Fraction of its full weight that a member has right after its start.
    double floor_ = 0.1;
    /// Time from the start until a member has its full weight. Zero turns slow
    /// start off.
    duration length_ = std::chrono::seconds(5);
};

/// Limits beyond which a request is refused.
struct admission_settings
{
    /// Maximum number of queued requests per slot.
    double queue_per_slot_ = 8;
    /// Maximum time that a request is expected to wait for a slot.
    duration max_wait_ = std::chrono::seconds(1);
    /// Shortest and longest retry hint in a refusal.
    duration min_retry_after_ = std::chrono::milliseconds(100);
    duration max_retry_after_ = std::chrono::seconds(10);
};

/// Limits on the number of retries.
struct retry_settings
{
    /// Retries allowed for each first request.
    double retry_ratio_ = 0.1;
    /// Maximum number of tokens in the retry budget.
    double retry_burst_ = 20;
};

/// Time limits of a request.
struct deadline_settings
{
    /// Maximum time that an upstream gets for a request.
    duration request_time_limit_ = std::chrono::seconds(10);
    /// Time reserved for the answer to reach the caller.
    duration return_time_ = std::chrono::milliseconds(5);
};

/// All settings of the load policy.
struct load_settings
{
    placement_settings placement_;
    slow_start_settings slow_start_;
    admission_settings admission_;
    retry_settings retry_;
    deadline_settings deadline_;
};

/// Returns the errors in `settings`, one sentence each that begins with the
/// setting's name; empty if there is none.
std::vector<std::string> validation_errors(const load_settings& settings);

} // namespace galenafork

#endif
