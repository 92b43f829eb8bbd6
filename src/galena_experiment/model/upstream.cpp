#include "upstream.h"

#include <algorithm>
#include <cmath>

namespace galenafork::pvt
{

namespace
{

// Weight of the latest request in the smoothed service time.
constexpr double service_time_weight = 0.02;

// What an upstream that reports a full queue claims, in requests per slot.
constexpr double full_report = 4;

double share_of(duration part, duration whole)
{
    return static_cast<double>(part.count()) /
           static_cast<double>(whole.count());
}

double lagging_report(upstream& u, duration lag, instant now)
{
    while (u.history_.size() > 1 && u.history_[1].first <= now - lag)
    {
        u.history_.pop_front();
    }
    return u.history_.front().second;
}

double upstream_report(upstream& u, const fault_setup& faults, instant now)
{
    const double slots = u.slots_.value();
    const double honest = in_flight(u);
    u.history_.emplace_back(now, honest);
    switch (u.fault_)
    {
    case fault_kind::report_lags:
        return lagging_report(u, faults.report_lag_, now);
    case fault_kind::report_zero:
        return 0;
    case fault_kind::report_inverted:
        return std::max(2 * slots - honest, 0.0);
    case fault_kind::report_full:
        return full_report * slots;
    default:
        lagging_report(u, faults.report_lag_, now);
        return honest;
    }
}

} // namespace

std::uint32_t in_flight(const upstream& u)
{
    return u.running_ + static_cast<std::uint32_t>(u.queue_.size());
}

bool has_free_slot(const upstream& u)
{
    return u.running_ < u.slots_.value();
}

void count(upstream& u, instant now, duration time_constant)
{
    u.smoothed_ =
        smooth(u.smoothed_, in_flight(u), now - u.counted_at_, time_constant);
    u.counted_at_ = now;
}

void note_service_time(upstream& u, duration taken)
{
    const double next =
        (static_cast<double>(u.service_time_.count()) *
         (1 - service_time_weight)) +
        (static_cast<double>(taken.count()) * service_time_weight);
    u.service_time_ = duration(std::llround(next));
}

double cost_factor(const upstream& u, const fault_setup& faults, instant now)
{
    if (u.fault_ == fault_kind::slow_upstream)
    {
        return faults.slow_cost_factor_;
    }
    if (u.fault_ != fault_kind::cold_start)
    {
        return 1;
    }
    const double age = share_of(now - u.fault_since_, faults.cold_length_);
    return 1 + ((faults.cold_cost_factor_ - 1) * std::max(1 - age, 0.0));
}

duration serving_for(const upstream& u, instant now)
{
    return u.serving_since_ == instant::min() ? duration::max()
                                              : now - u.serving_since_;
}

load_sample report_of(upstream& u, const fault_setup& faults, instant now)
{
    load_sample report;
    report.in_flight_ = u.smoothed_;
    report.upstream_report_ = upstream_report(u, faults, now);
    report.service_time_ = u.service_time_;
    report.serving_for_ = serving_for(u, now);
    return report;
}

} // namespace galenafork::pvt
