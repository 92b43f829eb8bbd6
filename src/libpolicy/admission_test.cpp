#include <galenafork/load_policy.h>

#include <cstdlib>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;

namespace
{

// Every run uses the same cases, unless RC_PARAMS is set in the environment.
[[maybe_unused]] const int seeded = setenv("RC_PARAMS", "seed=20261204", 0);

constexpr instant now{std::chrono::seconds(100)};

upstream_load make_load(std::uint32_t in_flight)
{
    upstream_load load;
    load.slots_ = slot_count(3);
    load.in_flight_ = in_flight;
    load.service_time_ = std::chrono::milliseconds(5);
    return load;
}

admission_decision admit_plain(const upstream_load& load,
                               const admission_request& request)
{
    return admit(load, request, {}, {}, now, 0);
}

} // namespace

TEST_CASE("a refusal is did_not_run with a reason and a bounded retry hint")
{
    CHECK(rc::check(
        []
        {
            upstream_load load = make_load(*rc::gen::inRange(0, 60));
            load.draining_ = *rc::gen::arbitrary<bool>();
            load.service_time_ = duration(*rc::gen::inRange(0, 10000000));
            admission_request request;
            request.opens_flow_ = *rc::gen::arbitrary<bool>();
            request.is_retry_ = *rc::gen::arbitrary<bool>();
            request.deadline_ = now + duration(*rc::gen::inRange(-100, 100000));
            const load_settings settings;
            const double jitter = *rc::gen::inRange(0, 100) / 100.0;
            const auto decision =
                admit(load, request, {}, settings, now, jitter);
            RC_ASSERT(decision.admitted_ ==
                      (decision.verdict_.reason_ == refusal::none));
            RC_ASSERT(decision.admitted_ ||
                      decision.verdict_.run_state_ == run_state::did_not_run);
            const auto& bounds = settings.admission_;
            RC_ASSERT(decision.verdict_.reason_ != refusal::overloaded ||
                      (decision.retry_after_ >= bounds.min_retry_after_ &&
                       decision.retry_after_ <= bounds.max_retry_after_));
        }));
}

TEST_CASE("requests are refused once the queue is full")
{
    CHECK(admit_plain(make_load(26), {}).admitted_);
    const admission_decision full = admit_plain(make_load(27), {});
    CHECK(full.verdict_.reason_ == refusal::overloaded);
    upstream_load slow = make_load(10);
    slow.service_time_ = std::chrono::seconds(1);
    CHECK_FALSE(admit_plain(slow, {}).admitted_);
}

TEST_CASE("a draining member refuses new flows and serves existing ones")
{
    upstream_load load = make_load(0);
    load.draining_ = true;
    admission_request request;
    CHECK(admit_plain(load, request).admitted_);
    request.opens_flow_ = true;
    CHECK(admit_plain(load, request).verdict_.reason_ == refusal::draining);
}

TEST_CASE("a request whose deadline cannot be met is refused")
{
    admission_request request;
    request.deadline_ = now;
    CHECK(admit_plain(make_load(0), request).verdict_.reason_ ==
          refusal::deadline_passed);
    request.deadline_ = now + std::chrono::milliseconds(20);
    CHECK(admit_plain(make_load(0), request).admitted_);
    CHECK(admit_plain(make_load(20), request).verdict_.reason_ ==
          refusal::overloaded);
}

TEST_CASE("retries never exceed retry_ratio times the first requests")
{
    CHECK(rc::check(
        []
        {
            const retry_settings settings;
            retry_budget budget;
            int first_requests = 0;
            int retries = 0;
            for (const bool retry : *rc::gen::arbitrary<std::vector<bool>>())
            {
                if (!retry)
                {
                    budget = credit_request(budget, settings);
                    ++first_requests;
                }
                else if (allows_retry(budget))
                {
                    budget = consume_retry(budget);
                    ++retries;
                }
                RC_ASSERT(retries <=
                          (settings.retry_ratio_ * first_requests) + 1e-9);
            }
        }));
}

TEST_CASE("the retry budget never exceeds retry_burst or falls below zero")
{
    const retry_settings settings{0.5, 1};
    retry_budget budget;
    CHECK(consume_retry(budget).tokens_ == 0);
    for (int i = 0; i < 10; ++i)
    {
        budget = credit_request(budget, settings);
    }
    CHECK(budget.tokens_ == settings.retry_burst_);
    admission_request retry;
    retry.is_retry_ = true;
    CHECK(admit(make_load(0), retry, budget, {}, now, 0).admitted_);
    CHECK_FALSE(admit(make_load(0), retry, {}, {}, now, 0).admitted_);
}

TEST_CASE("the upstream gets the time left until the caller's deadline")
{
    const deadline_settings settings;
    CHECK(time_for_upstream({}, settings, now) == settings.request_time_limit_);
    CHECK(time_for_upstream(now + std::chrono::hours(1), settings, now) ==
          settings.request_time_limit_);
    const duration left = std::chrono::milliseconds(50);
    CHECK(time_for_upstream(now + settings.return_time_ + left, settings,
                            now) == left);
    CHECK_FALSE(time_for_upstream(now + settings.return_time_, settings, now));
}

TEST_CASE("a smoothed value moves from the previous to the observed value")
{
    const duration constant = std::chrono::milliseconds(100);
    CHECK(smooth(2, 4, duration(0), constant) == 2);
    CHECK(smooth(2, 4, constant * 50, constant) == doctest::Approx(4));
    CHECK(smooth(2, 4, duration(1), duration(0)) == 4);
}

TEST_CASE("all settings out of range are reported together")
{
    CHECK(validation_errors({}).empty());
    load_settings settings;
    settings.placement_.home_margin_ = -1;
    settings.slow_start_.floor_ = 0;
    settings.admission_.max_retry_after_ = duration(1);
    settings.retry_.retry_ratio_ = 2;
    const auto errors = validation_errors(settings);
    REQUIRE(errors.size() == 4);
    CHECK(errors[0] == "home_margin is below 0");
}
