#include "results.h"

#include "simulation.h"

#include <cmath>
#include <nlohmann/json.hpp>
#include <utility>

namespace galenafork::pvt
{

namespace
{

using json = nlohmann::ordered_json;

bool applies_to(strategy s, const scenario& sc)
{
    return s != strategy::no_shedding || sc.load_ > 1;
}

// Rounds to four decimals, which is precise enough for every metric and keeps
// the output readable.
double rounded(double value)
{
    return std::round(value * 1e4) / 1e4;
}

using named_metric = std::pair<const char*, double>;

std::vector<named_metric> named_metrics(const run_metrics& metrics)
{
    return {
        {"max_over_mean_now", metrics.instantaneous_.max_over_mean_},
        {"integer_bound_now", metrics.integer_bound_},
        {"variation_now", metrics.instantaneous_.variation_},
        {"max_over_mean_1s", metrics.one_second_windows_.max_over_mean_},
        {"variation_1s", metrics.one_second_windows_.variation_},
        {"max_over_mean_run", metrics.whole_run_.max_over_mean_},
        {"variation_run", metrics.whole_run_.variation_},
        {"max_over_mean_after_change", metrics.after_change_.max_over_mean_},
        {"max_over_mean_data_centres",
         metrics.across_data_centres_.max_over_mean_},
        {"variation_data_centres", metrics.across_data_centres_.variation_},
        {"p50_ms", metrics.p50_ms_},
        {"p99_ms", metrics.p99_ms_},
        {"p999_ms", metrics.p999_ms_},
        {"offered", metrics.offered_load_},
        {"goodput", metrics.goodput_},
        {"refused_share", metrics.refused_fraction_},
        {"failed_share", metrics.failed_fraction_},
        {"retries_sent", metrics.retries_per_request_},
        {"retries_admitted", metrics.admitted_retry_ratio_},
        {"first_member_share", metrics.first_member_fraction_},
        {"given_away", metrics.placed_off_home_fraction_},
        {"last_open_after_drain_ms", metrics.last_open_after_drain_ms_},
    };
}

json ratios(const run_metrics& own, const run_metrics& other)
{
    json ratio;
    const auto own_metrics = named_metrics(own);
    const auto other_metrics = named_metrics(other);
    for (std::size_t i = 0; i < own_metrics.size(); ++i)
    {
        if (other_metrics[i].second > 0)
        {
            ratio[own_metrics[i].first] =
                rounded(own_metrics[i].second / other_metrics[i].second);
        }
    }
    return ratio;
}

} // namespace

results run_all(const experiment_setup& setup, std::uint64_t seed,
                const std::vector<strategy>& strategies)
{
    results all;
    const duration length = setup.run_.warm_up_ + setup.run_.length_;
    for (const service_setup& service : setup.services_)
    {
        for (const scenario& sc : setup.scenarios_)
        {
            const auto workload =
                make_workload(service, sc.load_, length, seed);
            for (const strategy s : strategies)
            {
                if (!applies_to(s, sc))
                {
                    continue;
                }
                run_output out =
                    run({&setup, &service, &sc, &workload, s, seed});
                all.push_back({service.name_, sc, s, out.metrics_,
                               std::move(out.windows_)});
            }
        }
    }
    return all;
}

std::vector<results> run_seeds(const experiment_setup& setup,
                               std::uint64_t first, std::uint64_t count,
                               const std::vector<strategy>& strategies)
{
    std::vector<results> by_seed;
    for (std::uint64_t i = 0; i < count; ++i)
    {
        by_seed.push_back(run_all(setup, first + i, strategies));
    }
    return by_seed;
}

results mean_of(const std::vector<results>& by_seed)
{
    results mean = by_seed.front();
    for (std::size_t i = 0; i < mean.size(); ++i)
    {
        std::vector<run_metrics> runs;
        runs.reserve(by_seed.size());
        for (const results& one : by_seed)
        {
            runs.push_back(one[i].metrics_);
        }
        mean[i].metrics_ = mean_of(runs);
    }
    return mean;
}

const result* find_result(const results& all, const std::string& service,
                          const std::string& scenario, strategy s)
{
    for (const result& r : all)
    {
        if (r.service_ == service && r.scenario_.name_ == scenario &&
            r.strategy_ == s)
        {
            return &r;
        }
    }
    return nullptr;
}

std::string to_json_line(const result& r, const results& all)
{
    json line;
    line["service"] = r.service_;
    line["scenario"] = r.scenario_.name_;
    line["strategy"] = to_string(r.strategy_);
    line["requests"] = r.metrics_.requests_;
    line["broken_flows"] = r.metrics_.broken_flows_;
    for (const auto& [name, value] : named_metrics(r.metrics_))
    {
        line[name] = rounded(value);
    }
    for (const strategy s : all_strategies)
    {
        const result* other =
            find_result(all, r.service_, r.scenario_.name_, s);
        if (other != nullptr && s != r.strategy_)
        {
            line["ratio_to"][to_string(s)] =
                ratios(r.metrics_, other->metrics_);
        }
    }
    return line.dump();
}

} // namespace galenafork::pvt
