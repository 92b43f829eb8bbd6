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

/// Where a new flow goes.
struct placement_settings
{
    /// Requests per slot by which the home's load must be above a candidate's
    /// before the flow is given away.
    double home_margin_ = 0.1;
    /// What a candidate in another data centre must be better by on top.
    double locality_margin_ = 0.1;
    /// Most that an upstream's report may raise its load, as a share of it.
    double report_influence_ = 0.05;
    /// Counts the flows given to a member since its last report.
    bool local_correction_ = true;
    /// A member is slow once a request takes this many times the usual.
    double slowness_tolerance_ = 1.25;
    /// Most that slowness multiplies a member's load by. One turns it off.
    double slowness_limit_ = 1.5;
};

/// How a member's weight rises after a start.
struct slow_start_settings
{
    /// Share of its full weight that a member has right after the start.
    double floor_ = 0.1;
    /// Time until it has its full weight. Zero turns slow start off.
    duration length_ = std::chrono::seconds(5);
};

/// When a request is refused.
struct admission_settings
{
    /// Requests that may wait for each slot.
    double queue_per_slot_ = 8;
    /// Longest time that a request may be expected to wait for a slot.
    duration max_wait_ = std::chrono::seconds(1);
    /// Shortest and longest retry hint.
    duration min_retry_after_ = std::chrono::milliseconds(100);
    duration max_retry_after_ = std::chrono::seconds(10);
};

/// How many retries are let through.
struct retry_settings
{
    /// Retries for each first request.
    double retry_ratio_ = 0.1;
    /// Most tokens that the budget holds.
    double retry_burst_ = 20;
};

/// Which deadline travels with a request.
struct deadline_settings
{
    /// Longest time that an upstream is given.
    duration request_time_limit_ = std::chrono::seconds(10);
    /// Time that the answer needs on its way back.
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

/// What is wrong with `settings`, one sentence for each fault, each beginning
/// with the setting's name; empty if all is well.
std::vector<std::string> validation_errors(const load_settings& settings);

} // namespace galenafork

#endif
