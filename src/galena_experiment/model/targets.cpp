#include "targets.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace galenafork::pvt
{

namespace
{

constexpr double steady_max_over_mean = 1.05;
constexpr double changed_max_over_mean = 1.25;
constexpr double slowdown_at_steady_load = 2;
// Offered load from which goodput is checked, in shares of capacity.
constexpr double overload = 2;
constexpr double goodput_share_of_peak = 0.95;
constexpr double most_retries = 0.1;
constexpr double most_moved_by_report = 0.1;
constexpr double drain_limit_ms = 3000;

// A figure counts as at its limit only if it is no further above it.
constexpr double most_above_limit = 1.15;

using checks = std::vector<target_check>;

// A figure that must stay at or below `bound`.
void add_check(checks& out, const result& r, const char* target, double value,
               double bound)
{
    target_check c;
    c.service_ = r.service_;
    c.scenario_ = r.scenario_.name_;
    c.target_ = target;
    c.value_ = value;
    c.bound_ = bound;
    c.outcome_ = value <= bound ? target_outcome::met : target_outcome::missed;
    out.push_back(c);
}

// The same, where `limit` is the best that any placement could do.
void add_limited(checks& out, const result& r, const char* target, double value,
                 double bound, double limit)
{
    add_check(out, r, target, value, bound);
    out.back().limit_ = limit;
    if (value > bound && limit > bound && value <= limit * most_above_limit)
    {
        out.back().outcome_ = target_outcome::limit;
    }
}

bool is_change(fault_kind fault)
{
    return fault == fault_kind::cold_start || fault == fault_kind::drain ||
           fault == fault_kind::slow_upstream ||
           fault == fault_kind::member_lost ||
           fault == fault_kind::data_centre_leaves;
}

bool is_lie(fault_kind fault)
{
    return fault == fault_kind::report_lags ||
           fault == fault_kind::report_zero ||
           fault == fault_kind::report_inverted ||
           fault == fault_kind::report_full;
}

void check_steady(checks& out, const results& all, const result& r,
                  const result& best)
{
    const figures& own = r.figures_;
    const figures& limit = best.figures_;
    add_limited(out, r, "max_over_mean_run", own.whole_.max_over_mean_,
                steady_max_over_mean, limit.whole_.max_over_mean_);
    add_limited(out, r, "max_over_mean_1s", own.per_second_.max_over_mean_,
                steady_max_over_mean, limit.per_second_.max_over_mean_);
    add_limited(out, r, "max_over_mean_now", own.now_.max_over_mean_,
                steady_max_over_mean, limit.now_.max_over_mean_);
    out.back().integer_bound_ = own.integer_bound_;
    const result* unloaded =
        find_result(all, r.service_, unloaded_scenario, r.strategy_);
    if (unloaded != nullptr)
    {
        const double base = unloaded->figures_.p999_ms_;
        add_limited(out, r, "p999_over_unloaded", own.p999_ms_ / base,
                    slowdown_at_steady_load, limit.p999_ms_ / base);
    }
}

void check_lie(checks& out, const results& all, const result& r)
{
    const result* honest =
        find_result(all, r.service_, steady_scenario, r.strategy_);
    if (honest == nullptr)
    {
        return;
    }
    const double before = honest->figures_.first_member_share_;
    const double moved =
        std::abs(r.figures_.first_member_share_ - before) / before;
    add_check(out, r, "load_moved_by_report", moved, most_moved_by_report);
}

double peak_goodput(const results& all, const result& like)
{
    double peak = 0;
    for (const result& r : all)
    {
        if (r.service_ == like.service_ && r.strategy_ == like.strategy_)
        {
            peak = std::max(peak, r.figures_.goodput_);
        }
    }
    return peak;
}

void check_result(checks& out, const results& all, const result& r)
{
    const result* best =
        find_result(all, r.service_, r.scenario_.name_, strategy::omniscient);
    const figures& f = r.figures_;
    if (r.scenario_.name_ == steady_scenario)
    {
        check_steady(out, all, r, *best);
    }
    if (is_change(r.scenario_.fault_))
    {
        add_limited(out, r, "max_over_mean_after_change",
                    f.after_change_.max_over_mean_, changed_max_over_mean,
                    best->figures_.after_change_.max_over_mean_);
    }
    if (r.scenario_.fault_ == fault_kind::drain)
    {
        add_check(out, r, "last_open_after_drain_ms",
                  f.last_open_after_drain_ms_, drain_limit_ms);
        add_check(out, r, "broken_flows", static_cast<double>(f.broken_flows_),
                  0);
    }
    if (is_lie(r.scenario_.fault_))
    {
        check_lie(out, all, r);
    }
    if (f.offered_ >= overload)
    {
        const double lost = 1 - (f.goodput_ / peak_goodput(all, r));
        add_check(out, r, "goodput_lost_to_overload", lost,
                  1 - goodput_share_of_peak);
    }
    add_check(out, r, "retries_admitted", f.retries_admitted_, most_retries);
}

checks check_one(const results& all)
{
    checks out;
    for (const result& r : all)
    {
        if (r.strategy_ == strategy::policy)
        {
            check_result(out, all, r);
        }
    }
    return out;
}

void note_worst(checks& out, const target_check& single)
{
    for (target_check& c : out)
    {
        if (c.service_ == single.service_ && c.scenario_ == single.scenario_ &&
            c.target_ == single.target_)
        {
            c.worst_ = std::max(c.worst_, single.value_);
        }
    }
}

} // namespace

const char* to_string(target_outcome outcome)
{
    switch (outcome)
    {
    case target_outcome::met:
        return "met";
    case target_outcome::limit:
        return "limit";
    case target_outcome::missed:
        return "missed";
    }
    return "missed";
}

std::vector<target_check> check_targets(const std::vector<results>& by_seed)
{
    checks out = check_one(mean_of(by_seed));
    for (const results& one : by_seed)
    {
        for (const target_check& single : check_one(one))
        {
            note_worst(out, single);
        }
    }
    return out;
}

std::string to_json_line(const target_check& check)
{
    const auto rounded = [](double value)
    { return std::round(value * 1e4) / 1e4; };
    nlohmann::ordered_json line;
    line["service"] = check.service_;
    line["scenario"] = check.scenario_;
    line["target"] = check.target_;
    line["value"] = rounded(check.value_);
    line["worst_seed"] = rounded(check.worst_);
    line["bound"] = check.bound_;
    if (check.limit_ > 0)
    {
        line["omniscient"] = rounded(check.limit_);
        line["ratio_to_omniscient"] = rounded(check.value_ / check.limit_);
    }
    if (check.integer_bound_ > 0)
    {
        line["integer_bound"] = rounded(check.integer_bound_);
    }
    line["outcome"] = to_string(check.outcome_);
    return line.dump();
}

} // namespace galenafork::pvt
