#include "run_metrics.h"

#include <array>

namespace galenafork::pvt
{

namespace
{

constexpr std::array imbalance_metrics{
    &run_metrics::instantaneous_,       &run_metrics::one_second_windows_,
    &run_metrics::whole_run_,           &run_metrics::after_change_,
    &run_metrics::across_data_centres_,
};

constexpr std::array scalar_metrics{
    &run_metrics::integer_bound_,
    &run_metrics::p50_ms_,
    &run_metrics::p99_ms_,
    &run_metrics::p999_ms_,
    &run_metrics::offered_load_,
    &run_metrics::goodput_,
    &run_metrics::refused_fraction_,
    &run_metrics::failed_fraction_,
    &run_metrics::retries_per_request_,
    &run_metrics::admitted_retry_ratio_,
    &run_metrics::first_member_fraction_,
    &run_metrics::last_open_after_drain_ms_,
    &run_metrics::placed_off_home_fraction_,
};

} // namespace

run_metrics mean_of(const std::vector<run_metrics>& runs)
{
    const auto count = static_cast<double>(runs.size());
    run_metrics mean;
    for (const auto metric : imbalance_metrics)
    {
        mean.*metric = {0, 0};
    }
    for (const run_metrics& run : runs)
    {
        for (const auto metric : imbalance_metrics)
        {
            (mean.*metric).max_over_mean_ +=
                (run.*metric).max_over_mean_ / count;
            (mean.*metric).variation_ += (run.*metric).variation_ / count;
        }
        for (const auto metric : scalar_metrics)
        {
            mean.*metric += run.*metric / count;
        }
        mean.broken_flows_ += run.broken_flows_;
        mean.requests_ += run.requests_;
    }
    return mean;
}

} // namespace galenafork::pvt
