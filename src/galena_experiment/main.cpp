/// \file
/// Program that measures the load policy against baselines.

#include "model/plot.h"
#include "model/results.h"
#include "model/setup.h"
#include "model/targets.h"

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>

namespace
{

namespace options = boost::program_options;
using namespace galenafork::pvt;

constexpr int exit_ok = 0;
constexpr int exit_target_missed = 1;
constexpr int exit_usage = 2;

options::options_description make_options()
{
    options::options_description all(
        "usage: galena-experiment [options] SETUP.toml\n"
        "Runs every scenario of every service under the policy and the\n"
        "baselines; prints one line of JSON for each run");
    auto add = all.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("check", "only check the setup file");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the trace");
    add("seeds", options::value<std::uint64_t>()->default_value(1),
        "number of seeds, from --seed on; figures are means");
    add("strategy", options::value<std::vector<std::string>>(),
        "run this strategy only; may be given several times");
    add("targets", "print the targets' outcomes only; exit with 1 if one is "
                   "missed");
    add("plot", options::value<std::string>(), "write an SVG to this file");
    add("setup", options::value<std::string>(), "setup file");
    return all;
}

options::variables_map read_options(int argc, char** argv,
                                    const options::options_description& all)
{
    options::positional_options_description positions;
    positions.add("setup", 1);
    options::variables_map values;
    options::store(options::command_line_parser(argc, argv)
                       .options(all)
                       .positional(positions)
                       .run(),
                   values);
    options::notify(values);
    return values;
}

void print_results(const results& all)
{
    for (const result& r : all)
    {
        std::cout << to_json_line(r, all) << '\n';
    }
}

int print_targets(const std::vector<results>& by_seed)
{
    int status = exit_ok;
    for (const target_check& check : check_targets(by_seed))
    {
        std::cout << to_json_line(check) << '\n';
        if (check.outcome_ == target_outcome::missed)
        {
            status = exit_target_missed;
        }
    }
    return status;
}

int write_plot(const std::string& path, const results& all)
{
    std::ofstream file(path);
    file << plot(all) << std::flush;
    if (!file)
    {
        std::cerr << "cannot write " << path << '\n';
        return exit_usage;
    }
    return exit_ok;
}

// The strategies that were asked for. Throws if one is unknown.
std::vector<strategy> chosen_strategies(const options::variables_map& values)
{
    if (values.count("strategy") == 0)
    {
        return {all_strategies.begin(), all_strategies.end()};
    }
    std::vector<strategy> chosen;
    for (const auto& name : values["strategy"].as<std::vector<std::string>>())
    {
        const auto found = strategy_named(name);
        if (!found)
        {
            throw options::invalid_option_value(name);
        }
        chosen.push_back(*found);
    }
    return chosen;
}

int experiment(const options::variables_map& values)
{
    const auto setup = read_setup(values["setup"].as<std::string>());
    if (!setup)
    {
        for (const std::string& fault : setup.error())
        {
            std::cerr << fault << '\n';
        }
        return exit_usage;
    }
    if (values.count("check") > 0)
    {
        return exit_ok;
    }
    const auto seeds =
        std::max<std::uint64_t>(values["seeds"].as<std::uint64_t>(), 1);
    const auto by_seed = run_seeds(*setup, values["seed"].as<std::uint64_t>(),
                                   seeds, chosen_strategies(values));
    const results all = mean_of(by_seed);
    int status = exit_ok;
    if (values.count("plot") > 0)
    {
        status = write_plot(values["plot"].as<std::string>(), all);
    }
    if (values.count("targets") > 0)
    {
        return std::max(status, print_targets(by_seed));
    }
    print_results(all);
    return status;
}

int run_program(int argc, char** argv)
{
    const auto all = make_options();
    const auto values = read_options(argc, argv, all);
    if (values.count("help") > 0)
    {
        std::cout << all;
        return exit_ok;
    }
    if (values.count("version") > 0)
    {
        std::cout << "galena-experiment " << GALENA_VERSION << '\n';
        return exit_ok;
    }
    if (values.count("setup") == 0)
    {
        std::cerr << all;
        return exit_usage;
    }
    return experiment(values);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run_program(argc, argv);
    }
    catch (const std::exception& e)
    {
        std::cerr << "galena-experiment: " << e.what() << '\n';
        return exit_usage;
    }
}
