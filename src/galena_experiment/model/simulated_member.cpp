#include "simulated_member.h"

#include <algorithm>
#include <cmath>

namespace galenafork::pvt
{

namespace
{

// Weight of the latest request in the average service time.
constexpr double service_time_weight = 0.02;

// Requests per slot that an upstream with the fault `report_full` reports.
constexpr double full_queue_report_per_slot = 4;

double ratio(duration part, duration whole)
{
    return static_cast<double>(part.count()) /
           static_cast<double>(whole.count());
}

// Returns the requests in flight at the last heartbeat that is at least `lag`
// ago, or else at the oldest one. Drops the history before that heartbeat.
double lagged_in_flight(simulated_member& m, duration lag, instant now)
{
    while (m.in_flight_history_.size() > 1 &&
           m.in_flight_history_[1].first <= now - lag)
    {
        m.in_flight_history_.pop_front();
    }
    return m.in_flight_history_.front().second;
}

double reported_in_flight(simulated_member& m, const fault_setup& faults,
                          instant now)
{
    const double slots = m.slots_.value();
    const double actual = in_flight(m);
    m.in_flight_history_.emplace_back(now, actual);
    switch (m.fault_)
    {
    case fault_kind::report_lags:
        return lagged_in_flight(m, faults.report_lag_, now);
    case fault_kind::report_zero:
        return 0;
    case fault_kind::report_inverted:
        return std::max(2 * slots - actual, 0.0);
    case fault_kind::report_full:
        return full_queue_report_per_slot * slots;
    default:
        lagged_in_flight(m, faults.report_lag_, now);
        return actual;
    }
}

} // namespace

std::uint32_t in_flight(const simulated_member& m)
{
    return m.running_ + static_cast<std::uint32_t>(m.queue_.size());
}

bool has_free_slot(const simulated_member& m)
{
    return m.running_ < m.slots_.value();
}

void update_smoothed_in_flight(simulated_member& m, instant now,
                               duration time_constant)
{
    m.smoothed_in_flight_ = smooth(m.smoothed_in_flight_, in_flight(m),
                                   now - m.smoothed_at_, time_constant);
    m.smoothed_at_ = now;
}

void update_service_time(simulated_member& m, duration service_time)
{
    const double next =
        (static_cast<double>(m.service_time_.count()) *
         (1 - service_time_weight)) +
        (static_cast<double>(service_time.count()) * service_time_weight);
    m.service_time_ = duration(std::llround(next));
}

double cost_factor(const simulated_member& m, const fault_setup& faults,
                   instant now)
{
    if (m.fault_ == fault_kind::slow_upstream)
    {
        return faults.slow_cost_factor_;
    }
    if (m.fault_ != fault_kind::cold_start)
    {
        return 1;
    }
    const double age = ratio(now - m.fault_since_, faults.cold_length_);
    return 1 + ((faults.cold_cost_factor_ - 1) * std::max(1 - age, 0.0));
}

duration serving_for(const simulated_member& m, instant now)
{
    return m.serving_since_ == instant::min() ? duration::max()
                                              : now - m.serving_since_;
}

load_sample make_load_report(simulated_member& m, const fault_setup& faults,
                             instant now)
{
    load_sample report;
    report.in_flight_ = m.smoothed_in_flight_;
    report.upstream_report_ = reported_in_flight(m, faults, now);
    report.service_time_ = m.service_time_;
    report.serving_for_ = serving_for(m, now);
    return report;
}

} // namespace galenafork::pvt
