#include <libplatform/call_policy.h>

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::pvt;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

const instant start{seconds(1000)};

call_progress new_progress()
{
    call_progress progress;
    progress.deadline_ = start + seconds(5);
    return progress;
}

call_state tripped_state(const platform_settings& settings)
{
    call_state state = new_call_state(settings, start);
    for (unsigned i = 0; i < settings.breaker_failure_threshold_; ++i)
    {
        record_failure(state.breaker_, settings, start, 0.5);
    }
    return state;
}

platform_object object(std::uint64_t version, const std::string& value)
{
    return {"o", object_version(version), value};
}

} // namespace

TEST_CASE("a token bucket allows its burst at once and then its rate")
{
    const token_rate rate{2, 3};
    token_bucket bucket = full_bucket(rate, start);
    for (int i = 0; i < 3; ++i)
    {
        REQUIRE(time_to_token(bucket, rate, start) == duration::zero());
        consume_token(bucket, rate, start);
    }
    CHECK(time_to_token(bucket, rate, start) == milliseconds(500));
    CHECK(time_to_token(bucket, rate, start + milliseconds(500)) ==
          duration::zero());
    // An idle bucket refills up to its burst only, and a clock that goes back
    // adds no tokens.
    const instant later = start + std::chrono::hours(1);
    for (int i = 0; i < 3; ++i)
    {
        consume_token(bucket, rate, later);
    }
    CHECK(time_to_token(bucket, rate, later) > duration::zero());
    CHECK(time_to_token(bucket, rate, start) > duration::zero());
}

TEST_CASE("the backoff doubles up to its cap and never exceeds it")
{
    const platform_settings settings;
    CHECK(backoff_delay(settings, 1, 0.5) == settings.backoff_first_ / 2);
    CHECK(backoff_delay(settings, 3, 0.5) == settings.backoff_first_ * 2);
    for (unsigned attempt = 0; attempt < 100; ++attempt)
    {
        CHECK(backoff_delay(settings, attempt, 0.999) < settings.backoff_cap_);
    }
    CHECK(backoff_delay(settings, 4'000'000'000U, 0.5) ==
          settings.backoff_cap_ / 2);
}

TEST_CASE("the breaker opens after consecutive failures and then allows probes")
{
    const platform_settings settings;
    circuit_breaker breaker = tripped_state(settings).breaker_;
    CHECK_FALSE(allows_call(breaker, settings, start));
    const instant probe_at = breaker.open_until_;
    CHECK(probe_at == start + settings.breaker_open_first_ * 3 / 4);
    REQUIRE(allows_call(breaker, settings, probe_at));
    record_attempt(breaker, settings, probe_at);
    CHECK_FALSE(allows_call(breaker, settings, probe_at));

    SUBCASE("a failed probe doubles the open time")
    {
        record_failure(breaker, settings, probe_at, 0.5);
        CHECK(breaker.open_until_ ==
              probe_at + settings.breaker_open_first_ * 3 / 2);
    }
    SUBCASE("a successful probe closes the breaker")
    {
        record_success(breaker);
        CHECK(allows_call(breaker, settings, probe_at));
    }
    SUBCASE("after the timeout of a dropped probe the next one is allowed")
    {
        CHECK(allows_call(breaker, settings,
                          probe_at + settings.attempt_timeout_));
    }
    SUBCASE("the open time is capped")
    {
        instant now = probe_at;
        for (int i = 0; i < 50; ++i)
        {
            record_failure(breaker, settings, now, 0.999);
            CHECK(breaker.open_until_ <= now + settings.breaker_open_cap_);
            now = breaker.open_until_;
            record_attempt(breaker, settings, now);
        }
    }
}

TEST_CASE("successes between failures keep the breaker closed")
{
    const platform_settings settings;
    circuit_breaker breaker;
    for (int i = 0; i < 100; ++i)
    {
        record_failure(breaker, settings, start, 0.5);
        record_success(breaker);
    }
    CHECK(allows_call(breaker, settings, start));
}

TEST_CASE(
    "a call gives up at its deadline, on an open breaker or without budget")
{
    const platform_settings settings;
    call_state state = new_call_state(settings, start);
    call_progress progress = new_progress();

    SUBCASE("deadline")
    {
        const auto decision =
            next_step(state, settings, progress, start + seconds(5));
        CHECK(decision.step_ == call_step::give_up);
        CHECK(decision.reason_.code_ == error_code::timed_out);
    }
    SUBCASE("breaker")
    {
        state = tripped_state(settings);
        const auto decision = next_step(state, settings, progress, start);
        CHECK(decision.step_ == call_step::give_up);
        CHECK(decision.reason_.code_ == error_code::unavailable);
    }
    SUBCASE("retry budget")
    {
        state.retries_.tokens_ = 0;
        CHECK(next_step(state, settings, progress, start).step_ ==
              call_step::attempt);
        const auto decision = next_step(state, settings, progress, start);
        CHECK(decision.step_ == call_step::give_up);
        CHECK(decision.reason_.code_ == error_code::refused);
    }
    SUBCASE("call budget")
    {
        state.calls_.tokens_ = 0;
        CHECK(next_step(state, settings, progress, start).step_ ==
              call_step::wait);
        progress.deadline_ = start + milliseconds(1);
        CHECK(next_step(state, settings, progress, start).step_ ==
              call_step::give_up);
    }
}

TEST_CASE("a write that may have taken effect waits for breaker and budgets")
{
    const platform_settings settings;
    call_progress progress = new_progress();
    progress.must_resolve_ = true;
    progress.attempts_ = 1;

    call_state state = tripped_state(settings);
    auto decision = next_step(state, settings, progress, start);
    CHECK(decision.step_ == call_step::wait);
    CHECK(start + decision.wait_ == state.breaker_.open_until_);

    state = new_call_state(settings, start);
    state.retries_.tokens_ = 0;
    decision = next_step(state, settings, progress, start);
    CHECK(decision.step_ == call_step::wait);
    CHECK(decision.wait_ == milliseconds(500));
}

TEST_CASE("calls keep to their budget over a long time")
{
    platform_settings settings;
    settings.call_rate_ = {10, 5};
    call_state state = new_call_state(settings, start);
    int attempts = 0;
    for (instant now = start; now < start + seconds(10); now += milliseconds(7))
    {
        call_progress progress;
        progress.deadline_ = now + seconds(5);
        const auto decision = next_step(state, settings, progress, now);
        attempts += decision.step_ == call_step::attempt ? 1 : 0;
    }
    CHECK(attempts <= 105);
    CHECK(attempts >= 95);
}

TEST_CASE("a read after a refused write shows the outcome of the write")
{
    write_progress progress;
    progress.expected_version_ = object_version(4);
    progress.write_id_ = make_write_id(1, 2);
    progress.conflict_version_ = object_version(5);
    const std::string ours =
        R"({"write_id":")" + progress.write_id_.value() + "\"}";
    const std::string other = R"({"write_id":"x"})";

    CHECK(classify_read_back(progress, object(5, other)) ==
          read_back_result::not_accepted);
    CHECK(classify_read_back(progress, object(4, other)) ==
          read_back_result::stale);
    progress.may_have_been_applied_ = true;
    CHECK(classify_read_back(progress, object(5, ours)) ==
          read_back_result::accepted);
    CHECK(classify_read_back(progress, object(5, other)) ==
          read_back_result::not_accepted);
    progress.conflict_version_ = object_version(6);
    CHECK(classify_read_back(progress, object(6, other)) ==
          read_back_result::unknown);
    CHECK(classify_read_back(progress, object(5, other)) ==
          read_back_result::stale);
}

TEST_CASE("a write id inside another JSON string does not match")
{
    const write_id id = make_write_id(0xabcd, 0x1234);
    CHECK(id.value() == "000000000000abcd0000000000001234");
    CHECK(holds_write_id("[\"" + id.value() + "\"]", id));
    CHECK_FALSE(holds_write_id(R"(["\")" + id.value() + R"(\""])", id));
    CHECK_FALSE(holds_write_id("\"\"", write_id()));
}
