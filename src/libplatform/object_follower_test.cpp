#include <galenafork/object_follower.h>
#include <standins/platform/memory_platform.h>

#include <doctest/doctest.h>
#include <kj/async-io.h>

using namespace galenafork;
using std::chrono::milliseconds;

namespace
{

constexpr const char* name = "roster/orders";

class fixture
{
public:
    fixture()
        : io_(kj::setupAsyncIo()), timer_(io_.provider->getTimer()),
          platform_(timer_),
          follower_(platform_, timer_, [] { return 0.5; }, events(),
                    {milliseconds(200), milliseconds(5)})
    {
    }

    void write()
    {
        const auto version = platform_.objects_.find(name).version_;
        platform_.objects_.put_if(name, version, "{}");
    }

    void run_for_ms(int ms)
    {
        timer_.afterDelay(ms * kj::MILLISECONDS).wait(io_.waitScope);
    }

private:
    follow_callbacks events()
    {
        follow_callbacks e;
        e.on_update_ = [this](const platform_object& o)
        { versions_.push_back(o.version_.value()); };
        e.on_failure_ = [this](const error&) { ++failures_; };
        e.on_response_ = [this] { ++responses_; };
        return e;
    }

public:
    kj::AsyncIoContext io_;
    kj::Timer& timer_;
    standin::memory_platform platform_;
    std::vector<std::uint64_t> versions_;
    int failures_ = 0;
    int responses_ = 0;
    object_follower follower_;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a follower continues after an outage")
{
    write();
    const auto following = follower_.follow(name, no_object_version);
    run_for_ms(10);
    CHECK(versions_ == std::vector<std::uint64_t>{1});
    platform_.outage_ = true;
    platform_.objects_.fail_watches();
    run_for_ms(30);
    CHECK(failures_ > 1);
    write();
    write();
    platform_.outage_ = false;
    run_for_ms(30);
    CHECK(versions_ == std::vector<std::uint64_t>{1, 3});
}

TEST_CASE_FIXTURE(fixture, "a follower has one call to the platform at a time")
{
    write();
    const auto following = follower_.follow(name, object_version(1));
    run_for_ms(100);
    CHECK(platform_.calls_ == 1);
    CHECK(responses_ == 0);
    CHECK(versions_.empty());
}

TEST_CASE_FIXTURE(fixture, "the in-memory store writes conditionally")
{
    const auto put = [&](std::uint64_t expected)
    {
        return platform_
            .put_if({name, object_version(expected), "{}", write_id("w")})
            .wait(io_.waitScope);
    };
    CHECK(put(0).outcome_ == write_outcome::accepted);
    const write_result lost = put(0);
    CHECK(lost.outcome_ == write_outcome::not_accepted);
    CHECK(lost.current_->version_ == object_version(1));
    platform_.lose_answer_next_writes_ = 1;
    CHECK(put(1).outcome_ == write_outcome::unknown);
    CHECK(platform_.get(name).wait(io_.waitScope)->version_ ==
          object_version(2));
    platform_.outage_ = true;
    CHECK(platform_.list("").wait(io_.waitScope).error().code_ ==
          error_code::unavailable);
}
