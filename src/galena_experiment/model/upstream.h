/// \file
/// Model of one upstream with its agent: slots, queue, counts and reports.

#ifndef GALENAFORK_EXPERIMENT_UPSTREAM_H
#define GALENAFORK_EXPERIMENT_UPSTREAM_H

#include "setup.h"

#include <galenafork/load_policy.h>

#include <cstdint>
#include <deque>
#include <utility>

namespace galenafork::pvt
{

/// State of one member. Times are those of the simulation.
struct upstream
{
    std::size_t data_centre_ = 0;
    slot_count slots_{1};
    /// False while the member is absent or lost.
    bool alive_ = true;
    /// What every home believes; news travels with a delay.
    bool accepts_new_flows_ = true;
    bool draining_ = false;
    /// Rises when the member is lost: voids its pending completions.
    std::uint32_t life_ = 0;
    instant serving_since_ = instant::min();
    /// What is wrong with it, if anything.
    fault_kind fault_ = fault_kind::none;
    instant fault_since_;

    std::uint32_t running_ = 0;
    /// Flows whose request waits for a slot.
    std::deque<std::uint32_t> queue_;

    /// Smoothed `in_flight`, up to date at `counted_at_`.
    double smoothed_ = 0;
    instant counted_at_;
    duration service_time_{0};
    retry_budget retries_;
    /// In flight at past heartbeats, for reports that lag.
    std::deque<std::pair<instant, double>> history_;
};

/// Requests that the agent holds, running or queued.
std::uint32_t in_flight(const upstream& u);

/// True if a request need not wait.
bool has_free_slot(const upstream& u);

/// Brings `smoothed_` up to `now`; call it before each change of the count.
void count(upstream& u, instant now, duration time_constant);

/// Takes a finished request's time into `service_time_`.
void note_service_time(upstream& u, duration taken);

/// How much longer than usual a request takes at `now`.
double cost_factor(const upstream& u, const fault_setup& faults, instant now);

/// Time that a member has been serving, for slow start.
duration serving_for(const upstream& u, instant now);

/// The heartbeat's report at `now`, with the lies of a faulty upstream.
load_sample report_of(upstream& u, const fault_setup& faults, instant now);

} // namespace galenafork::pvt

#endif
