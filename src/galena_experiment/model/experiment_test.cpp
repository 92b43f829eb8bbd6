#include "results.h"
#include "simulation.h"
#include "targets.h"

#include <algorithm>
#include <cstdio>
#include <doctest/doctest.h>
#include <fstream>

using namespace galenafork;
using namespace galenafork::pvt;

namespace
{

constexpr std::uint64_t seed = 7;

service_setup make_service()
{
    service_setup s;
    s.name_ = "orders";
    s.servers_per_data_centre_ = {2, 1, 1};
    s.slots_ = slot_count(3);
    s.request_cost_ = std::chrono::milliseconds(5);
    s.flow_max_requests_ = 20;
    s.think_time_ = std::chrono::milliseconds(50);
    s.deadline_ = std::chrono::seconds(3);
    return s;
}

experiment_setup make_setup(const scenario& sc)
{
    experiment_setup setup;
    setup.services_ = {make_service()};
    setup.scenarios_ = {sc};
    setup.run_.warm_up_ = std::chrono::seconds(1);
    setup.run_.length_ = std::chrono::seconds(9);
    setup.policy_.retry_.retry_burst_ = 10;
    return setup;
}

run_metrics run_policy(fault_kind fault, double load = 0.5)
{
    scenario sc;
    sc.name_ = "test";
    sc.load_ = load;
    sc.fault_ = fault;
    sc.fault_at_ = std::chrono::seconds(3);
    return run_all(make_setup(sc), seed, {strategy::policy}).front().metrics_;
}

// A setup file that is removed when the object is destroyed.
class temporary_file
{
public:
    explicit temporary_file(const std::string& text)
    {
        std::ofstream(path_) << text;
    }
    ~temporary_file()
    {
        std::remove(path_.c_str());
    }
    temporary_file(const temporary_file&) = delete;
    temporary_file& operator=(const temporary_file&) = delete;

    const std::string path_ = "experiment_test.toml";
};

} // namespace

TEST_CASE("a workload offers the requested load")
{
    const service_setup service = make_service();
    const duration length = std::chrono::seconds(10);
    double requests = 0;
    for (const workload_flow& flow : make_workload(service, 0.5, length, seed))
    {
        requests += flow.request_count_;
    }
    CHECK(requests ==
          doctest::Approx(0.5 * capacity(service) * 10).epsilon(0.01));
}

TEST_CASE("the same seed gives the same results")
{
    scenario sc;
    sc.name_ = "steady";
    const auto setup = make_setup(sc);
    const results first = run_all(setup, seed, {strategy::policy});
    const results second = run_all(setup, seed, {strategy::policy});
    CHECK(to_json_line(first.front(), first) ==
          to_json_line(second.front(), second));
}

TEST_CASE("every request of a run without faults is answered in time")
{
    const run_metrics metrics = run_policy(fault_kind::none);
    CHECK(metrics.failed_fraction_ == 0);
    CHECK(metrics.broken_flows_ == 0);
    CHECK(metrics.goodput_ == doctest::Approx(0.5).epsilon(0.05));
    CHECK(metrics.p50_ms_ > 6);
}

TEST_CASE("a draining member keeps its flows, and gets no new ones after the "
          "roster delay")
{
    const run_metrics metrics = run_policy(fault_kind::drain);
    CHECK(metrics.broken_flows_ == 0);
    CHECK(metrics.failed_fraction_ == 0);
    CHECK(metrics.last_open_after_drain_ms_ <= 500);
}

TEST_CASE("flows of a lost member are counted as broken")
{
    CHECK(run_policy(fault_kind::member_lost).broken_flows_ > 0);
}

TEST_CASE("admitted retries stay within the budget under overload")
{
    const run_metrics metrics = run_policy(fault_kind::none, 2);
    CHECK(metrics.retries_per_request_ > 0.1);
    CHECK(metrics.admitted_retry_ratio_ <= 0.1);
}

TEST_CASE("buckets are distributed by slots, and only those of a draining "
          "member move")
{
    std::vector<simulated_member> members(4);
    members[0].slots_ = slot_count(5);
    bucket_homes homes = distribute_buckets({}, members);
    const auto bucket_count_of = [&](std::size_t member)
    { return std::count(homes.begin(), homes.end(), member); };
    CHECK(bucket_count_of(0) == 160);
    CHECK(bucket_count_of(1) == 32);
    members[1].draining_ = true;
    const bucket_homes homes_before = homes;
    homes = distribute_buckets(homes, members);
    CHECK(bucket_count_of(1) == 0);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < homes.size(); ++i)
    {
        moved += homes[i] != homes_before[i] ? 1 : 0;
    }
    CHECK(moved == 32);
}

TEST_CASE("imbalance leaves out members that accept no flows")
{
    const imbalance measured = measure_imbalance({1, 3, -1});
    CHECK(measured.max_over_mean_ == doctest::Approx(1.5));
    CHECK(measured.variation_ == doctest::Approx(0.5));
    CHECK(measure_imbalance({}).max_over_mean_ == 1);
}

TEST_CASE("a missed target is at the limit only near an omniscient value that "
          "misses too")
{
    result policy;
    policy.service_ = "orders";
    policy.scenario_.name_ = steady_scenario;
    policy.metrics_.whole_run_.max_over_mean_ = 1.2;
    result omniscient_result = policy;
    omniscient_result.strategy_ = strategy::omniscient;
    const auto outcome = [&](double omniscient_value)
    {
        omniscient_result.metrics_.whole_run_.max_over_mean_ = omniscient_value;
        return check_targets({{policy, omniscient_result}}).front().outcome_;
    };
    CHECK(outcome(1.15) == target_outcome::at_limit);
    CHECK(outcome(1.04) == target_outcome::missed);
    CHECK(outcome(1.051) == target_outcome::at_limit);
    policy.metrics_.whole_run_.max_over_mean_ = 1.3;
    CHECK(outcome(1.06) == target_outcome::missed);
}

TEST_CASE("targets are checked on the mean, and the worst seed is reported")
{
    result policy;
    policy.service_ = "orders";
    policy.scenario_.name_ = steady_scenario;
    result omniscient_result = policy;
    omniscient_result.strategy_ = strategy::omniscient;
    result worse = policy;
    policy.metrics_.whole_run_.max_over_mean_ = 1;
    worse.metrics_.whole_run_.max_over_mean_ = 1.2;
    const auto checks = check_targets(
        {{policy, omniscient_result}, {worse, omniscient_result}});
    CHECK(checks.front().value_ == doctest::Approx(1.1));
    CHECK(checks.front().worst_seed_value_ == doctest::Approx(1.2));
    CHECK(checks.front().outcome_ == target_outcome::missed);
}

TEST_CASE("every error of a setup file is reported with its line")
{
    const temporary_file file("[[service]]\n"
                              "name = \"Orders\"\n"
                              "slots = 0\n"
                              "servers_per_data_centre = [1, 1]\n"
                              "request_cost_ms = 5\n"
                              "deadline_ms = 100\n"
                              "colour = 1\n"
                              "[[scenario]]\n"
                              "name = \"steady\"\n"
                              "load = 0.7\n"
                              "fault = \"flood\"\n"
                              "[policy]\n"
                              "home_margin = -1\n");
    const auto setup = read_setup(file.path_);
    REQUIRE_FALSE(setup.has_value());
    const std::vector<std::string> expected{
        "2: name must be 1 to 63 of a-z, 0-9 and -",
        "3: slots must be a whole number between 1 and 1024",
        "7: colour is not a known setting",
        "11: fault has unknown value 'flood'",
        "13: home_margin must be a number between 0 and 1000000"};
    REQUIRE(setup.error().size() == expected.size());
    for (std::size_t i = 0; i < expected.size(); ++i)
    {
        CHECK(setup.error()[i] == file.path_ + ":" + expected[i]);
    }
}

TEST_CASE("a setup file that is not TOML is rejected with its line")
{
    const temporary_file file("[run]\nlength_ms = \n");
    const auto setup = read_setup(file.path_);
    REQUIRE_FALSE(setup.has_value());
    CHECK(setup.error().front().find("experiment_test.toml:2: ") == 0);
}
