#include <galenafork/load_policy.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;

namespace
{

// Every run uses the same cases, unless RC_PARAMS is set in the environment.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=20261204", 0);

load_candidate make_candidate(double in_flight, bool accepts_new_flows = true)
{
    load_candidate c;
    c.slots_ = slot_count(3);
    c.in_flight_ = in_flight;
    c.accepts_new_flows_ = accepts_new_flows;
    return c;
}

double random_fraction()
{
    constexpr int steps = 1000;
    return *rc::gen::inRange(0, steps) / static_cast<double>(steps);
}

placement_random_values generate_random_values()
{
    const double first = random_fraction();
    return {first, random_fraction()};
}

load_candidate random_candidate()
{
    load_candidate c = make_candidate(*rc::gen::inRange(0, 40));
    c.accepts_new_flows_ = *rc::gen::arbitrary<bool>();
    c.same_data_centre_ = *rc::gen::arbitrary<bool>();
    c.slots_ = slot_count(*rc::gen::inRange<std::uint32_t>(0, 9));
    c.assigned_since_report_ = *rc::gen::inRange(0, 5);
    c.service_time_ = duration(*rc::gen::inRange(0, 100000));
    c.serving_for_ = std::chrono::milliseconds(*rc::gen::inRange(0, 9000));
    if (*rc::gen::arbitrary<bool>())
    {
        c.upstream_report_ = *rc::gen::inRange(-10, 1000);
    }
    return c;
}

std::vector<load_candidate> random_candidates()
{
    const auto count = *rc::gen::inRange<std::size_t>(1, 8);
    std::vector<load_candidate> all;
    for (std::size_t i = 0; i < count; ++i)
    {
        all.push_back(random_candidate());
    }
    return all;
}

// Returns the fraction of placements, over a grid of random numbers, that go to
// `index`.
double fraction_placed_on(const std::vector<load_candidate>& all,
                          std::size_t home, std::size_t index)
{
    constexpr int grid = 100;
    int hits = 0;
    for (int i = 0; i < grid * grid; ++i)
    {
        const int row = i / grid;
        const int column = i % grid;
        const placement_random_values random_values{(row + 0.5) / grid,
                                                    (column + 0.5) / grid};
        hits +=
            choose_owner(all, home, {}, random_values)->index_ == index ? 1 : 0;
    }
    return hits / static_cast<double>(grid * grid);
}

} // namespace

TEST_CASE(
    "a flow goes to a member that accepts new flows, to none if none does")
{
    CHECK(rc::check(
        []
        {
            const auto all = random_candidates();
            const auto home = *rc::gen::inRange<std::size_t>(0, all.size());
            const auto chosen =
                choose_owner(all, home, {}, generate_random_values());
            const bool any = std::any_of(all.begin(), all.end(),
                                         [](const load_candidate& c)
                                         { return c.accepts_new_flows_; });
            RC_ASSERT(chosen.has_value() == any);
            RC_ASSERT(!any || all[chosen->index_].accepts_new_flows_);
        }));
}

TEST_CASE(
    "an upstream's report raises the load score within limits, never lowers it")
{
    CHECK(rc::check(
        []
        {
            load_candidate c = random_candidate();
            const duration median(*rc::gen::inRange(0, 100000));
            const load_settings settings;
            const double reported = load_score(c, median, settings);
            c.upstream_report_.reset();
            const double own = load_score(c, median, settings);
            const double max_factor = 1 + settings.placement_.report_influence_;
            RC_ASSERT(reported >= own);
            RC_ASSERT(reported <= own * max_factor * (1 + 1e-12));
        }));
}

TEST_CASE(
    "the home keeps the flow unless its load score is higher by the margin")
{
    std::vector<load_candidate> all{make_candidate(2), make_candidate(2),
                                    make_candidate(2)};
    CHECK(choose_owner(all, 0, {}, {})->reason_ == placement_reason::home);
    all[0].in_flight_ = 4;
    CHECK(choose_owner(all, 0, {}, {})->reason_ ==
          placement_reason::less_loaded);
}

TEST_CASE(
    "a member in another data centre must be better by the locality margin too")
{
    const load_settings settings;
    std::vector<load_candidate> all{make_candidate(0), make_candidate(0)};
    all[1].same_data_centre_ = false;
    const double home_margin = settings.placement_.home_margin_ * 3;
    const double margin = settings.placement_.locality_margin_ * 3;
    all[0].in_flight_ = home_margin + (margin / 2);
    CHECK(choose_owner(all, 0, settings, {})->index_ == 0);
    all[0].in_flight_ = home_margin + margin + 0.01;
    const auto chosen = choose_owner(all, 0, settings, {});
    CHECK(chosen->reason_ == placement_reason::less_loaded_remote);
}

TEST_CASE("candidates are picked in proportion to their slots")
{
    std::vector<load_candidate> all{make_candidate(0, false), make_candidate(0),
                                    make_candidate(0)};
    all[2].slots_ = slot_count(9);
    // One more request raises the load score less on nine slots, so the larger
    // member always wins.
    CHECK(fraction_placed_on(all, 0, 2) == doctest::Approx(1));
    // At equal load per slot the first random number decides, 3 to 9.
    all[1].in_flight_ = 2;
    all[2].in_flight_ = 8;
    CHECK(fraction_placed_on(all, 0, 2) == doctest::Approx(0.75).epsilon(0.02));
}

TEST_CASE(
    "slow start raises a member's weight from the floor to its full value")
{
    const slow_start_settings settings;
    CHECK(slow_start_factor(duration(0), settings) == settings.floor_);
    CHECK(slow_start_factor(settings.length_, settings) == 1);
    CHECK(slow_start_factor(settings.length_ / 2, settings) ==
          doctest::Approx((1 + settings.floor_) / 2));
    CHECK(slow_start_factor(duration(0), {0.1, duration(0)}) == 1);
}

TEST_CASE("the slowness factor is relative to the median and limited")
{
    const placement_settings settings;
    const duration median(1000);
    CHECK(slowness_factor(median, median, settings) == 1);
    CHECK(slowness_factor(duration(0), median, settings) == 1);
    CHECK(slowness_factor(median, duration(0), settings) == 1);
    CHECK(slowness_factor(median * 100, median, settings) ==
          settings.slowness_limit_);
    std::vector<load_candidate> all(3);
    all[0].service_time_ = duration(100);
    all[1].service_time_ = duration(900);
    all[2].service_time_ = duration(200);
    CHECK(median_service_time(all) == duration(200));
    all[2].accepts_new_flows_ = false;
    CHECK(median_service_time(all) == duration(100));
}

TEST_CASE("the count of assigned flows decays with the service time")
{
    const duration service_time(1000);
    assigned_flows flows = add_flow({}, service_time, instant(duration(5000)));
    CHECK(flows.count_ == doctest::Approx(1));
    flows = add_flow(flows, service_time, instant(duration(6000)));
    CHECK(flows.count_ == doctest::Approx(1 + std::exp(-1)));
    CHECK(decay(flows, service_time, instant(duration(60000))).count_ < 1e-9);
}
