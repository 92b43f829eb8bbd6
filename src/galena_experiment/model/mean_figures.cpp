#include "measures.h"

#include <array>

namespace galenafork::pvt
{

namespace
{

constexpr std::array evenness_figures{
    &figures::now_,          &figures::per_second_,   &figures::whole_,
    &figures::after_change_, &figures::data_centres_,
};

constexpr std::array number_figures{
    &figures::integer_bound_,
    &figures::p50_ms_,
    &figures::p99_ms_,
    &figures::p999_ms_,
    &figures::offered_,
    &figures::goodput_,
    &figures::refused_share_,
    &figures::failed_share_,
    &figures::retries_sent_,
    &figures::retries_admitted_,
    &figures::first_member_share_,
    &figures::last_open_after_drain_ms_,
    &figures::given_away_,
};

} // namespace

figures mean_of(const std::vector<figures>& runs)
{
    const auto count = static_cast<double>(runs.size());
    figures mean;
    for (const auto field : evenness_figures)
    {
        mean.*field = {0, 0};
    }
    for (const figures& run : runs)
    {
        for (const auto field : evenness_figures)
        {
            (mean.*field).max_over_mean_ += (run.*field).max_over_mean_ / count;
            (mean.*field).variation_ += (run.*field).variation_ / count;
        }
        for (const auto field : number_figures)
        {
            mean.*field += run.*field / count;
        }
        mean.broken_flows_ += run.broken_flows_;
        mean.requests_ += run.requests_;
    }
    return mean;
}

} // namespace galenafork::pvt
