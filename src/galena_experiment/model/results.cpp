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

bool applies(strategy s, const scenario& sc)
{
    return s != strategy::no_shedding || sc.load_ > 1;
}

// Four decimals: enough for every figure, and stable to read.
double rounded(double value)
{
    return std::round(value * 1e4) / 1e4;
}

using named_figure = std::pair<const char*, double>;

std::vector<named_figure> list_of(const figures& f)
{
    return {
        {"max_over_mean_now", f.now_.max_over_mean_},
        {"integer_bound_now", f.integer_bound_},
        {"variation_now", f.now_.variation_},
        {"max_over_mean_1s", f.per_second_.max_over_mean_},
        {"variation_1s", f.per_second_.variation_},
        {"max_over_mean_run", f.whole_.max_over_mean_},
        {"variation_run", f.whole_.variation_},
        {"max_over_mean_after_change", f.after_change_.max_over_mean_},
        {"max_over_mean_data_centres", f.data_centres_.max_over_mean_},
        {"variation_data_centres", f.data_centres_.variation_},
        {"p50_ms", f.p50_ms_},
        {"p99_ms", f.p99_ms_},
        {"p999_ms", f.p999_ms_},
        {"offered", f.offered_},
        {"goodput", f.goodput_},
        {"refused_share", f.refused_share_},
        {"failed_share", f.failed_share_},
        {"retries_sent", f.retries_sent_},
        {"retries_admitted", f.retries_admitted_},
        {"first_member_share", f.first_member_share_},
        {"given_away", f.given_away_},
        {"last_open_after_drain_ms", f.last_open_after_drain_ms_},
    };
}

json ratios(const figures& own, const figures& other)
{
    json ratio;
    const auto mine = list_of(own);
    const auto theirs = list_of(other);
    for (std::size_t i = 0; i < mine.size(); ++i)
    {
        if (theirs[i].second > 0)
        {
            ratio[mine[i].first] = rounded(mine[i].second / theirs[i].second);
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
            const auto trace = make_trace(service, sc.load_, length, seed);
            for (const strategy s : strategies)
            {
                if (!applies(s, sc))
                {
                    continue;
                }
                run_output out = run({&setup, &service, &sc, &trace, s, seed});
                all.push_back({service.name_, sc, s, out.figures_,
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
        std::vector<figures> runs;
        for (const results& one : by_seed)
        {
            runs.push_back(one[i].figures_);
        }
        mean[i].figures_ = mean_of(runs);
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
    line["requests"] = r.figures_.requests_;
    line["broken_flows"] = r.figures_.broken_flows_;
    for (const auto& [name, value] : list_of(r.figures_))
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
                ratios(r.figures_, other->figures_);
        }
    }
    return line.dump();
}

} // namespace galenafork::pvt
