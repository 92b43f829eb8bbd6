/// \file
/// Model of one member, an upstream with its agent: slots, queue, requests in
/// flight and load reports.

#ifndef GALENAFORK_EXPERIMENT_SIMULATED_MEMBER_H
#define GALENAFORK_EXPERIMENT_SIMULATED_MEMBER_H

#include "setup.h"

#include <galenafork/load_policy.h>

#include <cstdint>
#include <deque>
#include <utility>

namespace galenafork::pvt
{

/// State of one member. Instants are in simulated time.
struct simulated_member
{
    std::size_t data_centre_ = 0;
    slot_count slots_{1};
    /// False while the member is absent or lost.
    bool present_ = true;
    /// True if the roster that the homes have allows new flows for the member.
    /// The homes get changes of `present_` and `draining_` with a delay.
    bool serving_in_roster_ = true;
    bool draining_ = false;
    /// Increases when the member is lost, which invalidates its pending events.
    std::uint32_t incarnation_ = 0;
    instant serving_since_ = instant::min();
    /// Fault injected at this member.
    fault_kind fault_ = fault_kind::none;
    instant fault_since_;

    std::uint32_t running_ = 0;
    /// Flows with a request that waits for a slot.
    std::deque<std::uint32_t> queue_;

    /// Smoothed value of `in_flight`, last updated at `smoothed_at_`.
    double smoothed_in_flight_ = 0;
    instant smoothed_at_;
    duration service_time_{0};
    retry_budget retry_budget_;
    /// Requests in flight at past heartbeats, for lagging reports.
    std::deque<std::pair<instant, double>> in_flight_history_;
};

/// Returns the number of requests at the member, running or queued.
std::uint32_t in_flight(const simulated_member& m);

/// True if a request can start without waiting.
bool has_free_slot(const simulated_member& m);

/// Updates `smoothed_in_flight_` to `now`. It must be called before each change
/// of the number of requests in flight.
void update_smoothed_in_flight(simulated_member& m, instant now,
                               duration time_constant);

/// Adds the service time of a completed request to the average `service_time_`.
void update_service_time(simulated_member& m, duration service_time);

/// Returns the factor on the cost of a request that starts at `now`; 1 without
/// a fault.
double cost_factor(const simulated_member& m, const fault_setup& faults,
                   instant now);

/// Returns the time that a member has been serving, for slow start;
/// `duration::max()` if it has served since the start of the run.
duration serving_for(const simulated_member& m, instant now);

/// Returns the load report of the heartbeat at `now`, which contains the false
/// report of a faulty upstream. Adds the requests in flight to the history.
load_sample make_load_report(simulated_member& m, const fault_setup& faults,
                             instant now);

} // namespace galenafork::pvt

#endif
