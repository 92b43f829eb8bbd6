#include "evacuation_follower.h"
#include "fake_store.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>

using namespace galenafork;
using std::chrono::milliseconds;

namespace
{

class fixture
{
public:
    fixture()
        : io_(kj::setupAsyncIo()), timer_(io_.provider->getTimer()),
          store_(timer_),
          follower_(
              store_, timer_,
              read_pacer(milliseconds(4),
                         {timer_, read_monotonic_clock, [] { return 0.5; },
                          [this] { return latest_read_(); }}),
              {milliseconds(4), milliseconds(40)},
              [this](const evacuation_state& state, instant /*began_at*/)
              { states_.push_back(state); })
    {
    }

    void run_for(int ms)
    {
        timer_.afterDelay(ms * kj::MILLISECONDS).wait(io_.waitScope);
    }

    /// Waits until `condition` is true, but at most 10 s, which allows for a
    /// busy machine. Returns whether it is true.
    template <class Condition>
    bool eventually(Condition condition)
    {
        for (int i = 0; i < 2000 && !condition(); ++i)
        {
            run_for(5);
        }
        return condition();
    }

    bool knows(const std::vector<data_centre>& expected) const
    {
        return !states_.empty() && states_.back().data_centres_ == expected;
    }

    kj::AsyncIoContext io_;
    kj::Timer& timer_;
    samples::fake_store store_;
    std::vector<evacuation_state> states_;
    std::function<instant()> latest_read_ = [] { return instant(); };
    evacuation_follower follower_;
};

} // namespace

// Guards against entries that are not read, or stay in force after their
// removal.
TEST_CASE_FIXTURE(fixture, "entries are read until they are removed")
{
    const auto following = follower_.follow();
    CHECK(eventually([this] { return knows({}); }));
    store_.put("evacuations/b", "null");
    store_.put("evacuations/a", "{}");
    store_.put("config/evacuations", "{}");
    CHECK(eventually(
        [this] {
            return knows({data_centre("a"), data_centre("b")});
        }));
    CHECK(states_.back().revision_ == object_version(13));
    store_.objects_.erase("evacuations/a");
    CHECK(eventually([this] { return knows({data_centre("b")}); }));
}

// Guards against a lost state while the store is unavailable, and against a
// fleet that is not ready because the store fails.
TEST_CASE_FIXTURE(fixture, "a failing store changes no state and is reported")
{
    store_.put("evacuations/a", "{}");
    store_.down_ = true;
    const auto following = follower_.follow();
    CHECK_FALSE(follower_.is_store_failing());
    CHECK(eventually([this] { return follower_.is_store_failing(); }));
    CHECK(states_.empty());
    CHECK(store_.collection_reads_ > 1);
    store_.down_ = false;
    CHECK(eventually([this] { return knows({data_centre("a")}); }));
    CHECK_FALSE(follower_.is_store_failing());

    store_.down_ = true;
    store_.objects_.clear();
    CHECK(eventually([this] { return follower_.is_store_failing(); }));
    CHECK(knows({data_centre("a")}));
}

// Guards against reads whose cost grows with the number of balancers, and
// against an evacuation that is found too late once the peers have ended.
TEST_CASE_FIXTURE(fixture, "reads of peers replace own reads while they go on")
{
    latest_read_ = read_monotonic_clock;
    const auto following = follower_.follow();
    run_for(100);
    CHECK(store_.collection_reads_ == 1);
    const instant ended_at = read_monotonic_clock();
    latest_read_ = [ended_at] { return ended_at; };
    follower_.add_known_data_centres({data_centre("a")});
    store_.put("evacuations/a", "{}");
    store_.put("evacuations/unknown", "{}");
    CHECK(eventually(
        [this] {
            return knows({data_centre("a"), data_centre("unknown")});
        }));
    follower_.add_known_data_centres({data_centre("a")});
}
