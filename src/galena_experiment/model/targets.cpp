#include "targets.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>

namespace galenafork::pvt
{

namespace
{

constexpr double max_steady_imbalance = 1.05;
constexpr double max_imbalance_after_change = 1.25;
constexpr double max_p999_over_unloaded = 2;
// Offered load from which goodput is checked, as a fraction of the capacity.
constexpr double min_overload = 2;
constexpr double min_goodput_fraction_of_peak = 0.95;
constexpr double max_admitted_retry_ratio = 0.1;
constexpr double max_load_moved_by_report = 0.1;
constexpr double max_last_open_after_drain_ms = 3000;

// A missed target counts as at the limit up to this ratio of the metric to that
// of the omniscient strategy.
constexpr double max_ratio_to_omniscient = 1.15;

using checks = std::vector<target_check>;

// Adds the check of a metric that must be at most `max_value`.
void add_check(checks& out, const result& r, const char* target, double value,
               double max_value)
{
    target_check c;
    c.service_ = r.service_;
    c.scenario_ = r.scenario_.name_;
    c.target_ = target;
    c.value_ = value;
    c.max_value_ = max_value;
    c.outcome_ =
        value <= max_value ? target_outcome::met : target_outcome::missed;
    out.push_back(c);
}

// Adds a check as `add_check` does, with the outcome `at_limit` if the target
// is missed, but `omniscient_value`, the best value that any placement could
// reach, misses it too and `value` is close to that.
void add_limited_check(checks& out, const result& r, const char* target,
                       double value, double max_value, double omniscient_value)
{
    add_check(out, r, target, value, max_value);
    out.back().omniscient_value_ = omniscient_value;
    if (value > max_value && omniscient_value > max_value &&
        value <= omniscient_value * max_ratio_to_omniscient)
    {
        out.back().outcome_ = target_outcome::at_limit;
    }
}

bool changes_capacity(fault_kind fault)
{
    return fault == fault_kind::cold_start || fault == fault_kind::drain ||
           fault == fault_kind::slow_upstream ||
           fault == fault_kind::member_lost ||
           fault == fault_kind::data_centre_leaves;
}

bool falsifies_reports(fault_kind fault)
{
    return fault == fault_kind::report_lags ||
           fault == fault_kind::report_zero ||
           fault == fault_kind::report_inverted ||
           fault == fault_kind::report_full;
}

void check_steady(checks& out, const results& all, const result& r,
                  const result& omniscient_result)
{
    const run_metrics& own = r.metrics_;
    const run_metrics& omniscient_metrics = omniscient_result.metrics_;
    add_limited_check(out, r, "max_over_mean_run",
                      own.whole_run_.max_over_mean_, max_steady_imbalance,
                      omniscient_metrics.whole_run_.max_over_mean_);
    add_limited_check(out, r, "max_over_mean_1s",
                      own.one_second_windows_.max_over_mean_,
                      max_steady_imbalance,
                      omniscient_metrics.one_second_windows_.max_over_mean_);
    add_limited_check(out, r, "max_over_mean_now",
                      own.instantaneous_.max_over_mean_, max_steady_imbalance,
                      omniscient_metrics.instantaneous_.max_over_mean_);
    out.back().integer_bound_ = own.integer_bound_;
    const result* unloaded =
        find_result(all, r.service_, unloaded_scenario, r.strategy_);
    if (unloaded != nullptr)
    {
        const double base = unloaded->metrics_.p999_ms_;
        add_limited_check(out, r, "p999_over_unloaded", own.p999_ms_ / base,
                          max_p999_over_unloaded,
                          omniscient_metrics.p999_ms_ / base);
    }
}

void check_false_report(checks& out, const results& all, const result& r)
{
    const result* steady =
        find_result(all, r.service_, steady_scenario, r.strategy_);
    if (steady == nullptr)
    {
        return;
    }
    const double steady_fraction = steady->metrics_.first_member_fraction_;
    const double moved =
        std::abs(r.metrics_.first_member_fraction_ - steady_fraction) /
        steady_fraction;
    add_check(out, r, "load_moved_by_report", moved, max_load_moved_by_report);
}

double peak_goodput(const results& all, const result& reference)
{
    double peak = 0;
    for (const result& r : all)
    {
        if (r.service_ == reference.service_ &&
            r.strategy_ == reference.strategy_)
        {
            peak = std::max(peak, r.metrics_.goodput_);
        }
    }
    return peak;
}

void check_result(checks& out, const results& all, const result& r)
{
    const result* omniscient_result =
        find_result(all, r.service_, r.scenario_.name_, strategy::omniscient);
    const run_metrics& metrics = r.metrics_;
    if (r.scenario_.name_ == steady_scenario)
    {
        check_steady(out, all, r, *omniscient_result);
    }
    if (changes_capacity(r.scenario_.fault_))
    {
        add_limited_check(
            out, r, "max_over_mean_after_change",
            metrics.after_change_.max_over_mean_, max_imbalance_after_change,
            omniscient_result->metrics_.after_change_.max_over_mean_);
    }
    if (r.scenario_.fault_ == fault_kind::drain)
    {
        add_check(out, r, "last_open_after_drain_ms",
                  metrics.last_open_after_drain_ms_,
                  max_last_open_after_drain_ms);
        add_check(out, r, "broken_flows",
                  static_cast<double>(metrics.broken_flows_), 0);
    }
    if (falsifies_reports(r.scenario_.fault_))
    {
        check_false_report(out, all, r);
    }
    if (metrics.offered_load_ >= min_overload)
    {
        const double lost = 1 - (metrics.goodput_ / peak_goodput(all, r));
        add_check(out, r, "goodput_lost_to_overload", lost,
                  1 - min_goodput_fraction_of_peak);
    }
    add_check(out, r, "retries_admitted", metrics.admitted_retry_ratio_,
              max_admitted_retry_ratio);
}

checks check_policy_results(const results& all)
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

void update_worst_seed_value(checks& out, const target_check& single)
{
    for (target_check& c : out)
    {
        if (c.service_ == single.service_ && c.scenario_ == single.scenario_ &&
            c.target_ == single.target_)
        {
            c.worst_seed_value_ = std::max(c.worst_seed_value_, single.value_);
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
    case target_outcome::at_limit:
        return "limit";
    case target_outcome::missed:
        return "missed";
    }
    return "missed";
}

std::vector<target_check> check_targets(const std::vector<results>& by_seed)
{
    checks out = check_policy_results(mean_of(by_seed));
    for (const results& one : by_seed)
    {
        for (const target_check& single : check_policy_results(one))
        {
            update_worst_seed_value(out, single);
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
    line["worst_seed"] = rounded(check.worst_seed_value_);
    line["bound"] = check.max_value_;
    if (check.omniscient_value_ > 0)
    {
        line["omniscient"] = rounded(check.omniscient_value_);
        line["ratio_to_omniscient"] =
            rounded(check.value_ / check.omniscient_value_);
    }
    if (check.integer_bound_ > 0)
    {
        line["integer_bound"] = rounded(check.integer_bound_);
    }
    line["outcome"] = to_string(check.outcome_);
    return line.dump();
}

} // namespace galenafork::pvt
