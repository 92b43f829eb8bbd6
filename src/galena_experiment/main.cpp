/// \file
/// Program that compares the load policy with baselines in simulated time.

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
constexpr int exit_error = 2;

options::options_description make_options()
{
    options::options_description all(
        "usage: galena-experiment [options] SETUP.toml\n"
        "Simulates every scenario of every service under the policy and the\n"
        "baselines, and prints one line of JSON for each run");
    auto add = all.add_options();
    add("help", "print this text");
    add("version", "print the version");
    add("check", "only check the setup file");
    add("seed", options::value<std::uint64_t>()->default_value(1),
        "seed of the workload");
    add("seeds", options::value<std::uint64_t>()->default_value(1),
        "number of consecutive seeds, from --seed on; metrics are means, but "
        "requests and broken_flows are sums");
    add("strategy", options::value<std::vector<std::string>>(),
        "run only this strategy; may be given more than once");
    add("targets", "print only the outcomes of the targets; exit with 1 if one "
                   "is missed");
    add("plot", options::value<std::string>(),
        "write an SVG plot to this file");
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
    int exit_code = exit_ok;
    for (const target_check& check : check_targets(by_seed))
    {
        std::cout << to_json_line(check) << '\n';
        if (check.outcome_ == target_outcome::missed)
        {
            exit_code = exit_target_missed;
        }
    }
    return exit_code;
}

int write_plot(const std::string& path, const results& all)
{
    std::ofstream file(path);
    file << plot(all) << std::flush;
    if (!file)
    {
        std::cerr << "cannot write " << path << '\n';
        return exit_error;
    }
    return exit_ok;
}

// Returns the strategies given with --strategy, or all strategies if none is
// given. Throws `options::invalid_option_value` for an unknown strategy.
std::vector<strategy> chosen_strategies(const options::variables_map& values)
{
    if (values.count("strategy") == 0)
    {
        return {all_strategies.begin(), all_strategies.end()};
    }
    std::vector<strategy> chosen;
    for (const auto& name : values["strategy"].as<std::vector<std::string>>())
    {
        const auto found = parse_strategy(name);
        if (!found)
        {
            throw options::invalid_option_value(name);
        }
        chosen.push_back(*found);
    }
    return chosen;
}

int run_experiment(const options::variables_map& values)
{
    const auto setup = read_setup(values["setup"].as<std::string>());
    if (!setup)
    {
        for (const std::string& message : setup.error())
        {
            std::cerr << message << '\n';
        }
        return exit_error;
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
    int exit_code = exit_ok;
    if (values.count("plot") > 0)
    {
        exit_code = write_plot(values["plot"].as<std::string>(), all);
    }
    if (values.count("targets") > 0)
    {
        return std::max(exit_code, print_targets(by_seed));
    }
    print_results(all);
    return exit_code;
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
        return exit_error;
    }
    return run_experiment(values);
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
        return exit_error;
    }
}
