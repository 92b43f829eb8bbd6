#include "fake_store.h"
#include "rules_follower.h"
#include "store_registration.h"

#include <doctest/doctest.h>
#include <kj/async-io.h>

using namespace galenafork;
using std::chrono::milliseconds;

namespace
{

constexpr const char* entry = "agents/10.0.0.1";

std::string rules_of(int version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"limits":{"idle_timeout_ms":15000}})";
}

class fixture
{
public:
    fixture()
        : io_(kj::setupAsyncIo()), timer_(io_.provider->getTimer()),
          store_(timer_), keeper_(store_, timer_, [this] { return ++drawn_; },
                                  {milliseconds(10), milliseconds(4)}),
          follower_(
              store_, timer_, [] { return 0.0; },
              {milliseconds(4), milliseconds(1)},
              [this](const std::shared_ptr<const pass_rules>& rules,
                     bool announce)
              {
                  taken_.push_back(rules->version_.value());
                  spread_ = announce;
              },
              [this](host_address) {
                  return kj::Promise<tl::expected<rules_text, error>>(
                      peer_answer_);
              })
    {
    }

    void run_for(int ms)
    {
        timer_.afterDelay(ms * kj::MILLISECONDS).wait(io_.waitScope);
    }

    /// Waits until `holds`, for seconds on a busy machine.
    template <class Condition>
    bool eventually(Condition holds)
    {
        for (int i = 0; i < 2000 && !holds(); ++i)
        {
            run_for(5);
        }
        return holds();
    }

    kj::AsyncIoContext io_;
    kj::Timer& timer_;
    samples::fake_store store_;
    std::uint64_t drawn_ = 0;
    store_registration keeper_;
    std::vector<std::uint64_t> taken_;
    bool spread_ = false;
    tl::expected<rules_text, error> peer_answer_ =
        tl::unexpected(error{error_code::unavailable, "no peer"});
    rules_follower follower_;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "an entry is written once and then looked at")
{
    const auto kept = keeper_.maintain(entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return keeper_.is_written(); }));
    run_for(60);
    CHECK(store_.objects_.at(entry).version_ == object_version(11));
    CHECK(store_.fresh_reads_ == 0);
}

TEST_CASE_FIXTURE(fixture, "an entry that lapsed is written again")
{
    const auto kept = keeper_.maintain(entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return keeper_.is_written(); }));
    store_.objects_.erase(entry);
    CHECK(eventually([this] { return store_.objects_.count(entry) == 1; }));
}

TEST_CASE_FIXTURE(fixture, "an entry that lapsed in an outage is back after it")
{
    const auto kept = keeper_.maintain(entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return keeper_.is_written(); }));
    store_.down_ = true;
    store_.objects_.erase(entry);
    run_for(40);
    CHECK(store_.objects_.count(entry) == 0);
    store_.down_ = false;
    CHECK(eventually([this] { return store_.objects_.count(entry) == 1; }));
}

TEST_CASE_FIXTURE(fixture, "an entry of an earlier process is taken over")
{
    store_.put(entry, R"({"host":"10.0.0.1","write_id":"x"})");
    const auto version = store_.objects_.at(entry).version_;
    const auto kept = keeper_.maintain(entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return keeper_.is_written(); }));
    run_for(40);
    CHECK(store_.objects_.at(entry).version_ == version);
}

TEST_CASE_FIXTURE(fixture, "an entry that another writer spoiled is mended")
{
    const auto kept = keeper_.maintain(entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return keeper_.is_written(); }));
    store_.put(entry, R"([1])");
    CHECK(eventually(
        [this]
        {
            return store_.objects_.at(entry).value_.find("10.0.0.1") !=
                   std::string::npos;
        }));
}

TEST_CASE_FIXTURE(fixture, "rules are followed through a watch, oldest never")
{
    store_.put("config/main", rules_of(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return taken_.size() == 1; }));
    store_.put("config/main", rules_of(9));
    CHECK(eventually([this] { return taken_.size() == 2; }));
    store_.put("config/main", rules_of(7));
    run_for(30);
    CHECK(taken_ == std::vector<std::uint64_t>{5, 9});
}

TEST_CASE_FIXTURE(fixture, "rules that a deaf watch missed are read")
{
    // CONFIG of chk-edge-grown scale-1.
    store_.put("config/main", rules_of(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return taken_.size() == 1; }));
    store_.deaf_ = true;
    store_.put("config/main", rules_of(6));
    CHECK(eventually([this] { return taken_.size() == 2; }));
    CHECK(taken_ == std::vector<std::uint64_t>{5, 6});
    CHECK(spread_);
}

TEST_CASE_FIXTURE(fixture, "a watch without an answer leads to a read at once")
{
    // Its wait and time-out have taken most of the time that new rules have.
    follower_settings settings;
    settings.retry_interval_ = std::chrono::minutes(10);
    std::vector<std::uint64_t> taken;
    rules_follower follower(
        store_, timer_, [] { return 0.0; }, settings,
        [&](const std::shared_ptr<const pass_rules>& rules, bool /*spread*/)
        { taken.push_back(rules->version_.value()); },
        [this](host_address)
        { return kj::Promise<tl::expected<rules_text, error>>(peer_answer_); });
    store_.silent_ = true;
    store_.put("config/main", rules_of(5));
    const auto following = follower.follow();
    CHECK(eventually([&] { return taken.size() == 1; }));
    store_.put("config/main", rules_of(6));
    CHECK(eventually([&] { return taken.size() == 2; }));
}

TEST_CASE_FIXTURE(fixture, "events do not put off the next read")
{
    store_.put("config/main", rules_of(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return taken_.size() == 1; }));
    int version = 6;
    CHECK(eventually(
        [&]
        {
            store_.put("config/main", rules_of(version++));
            run_for(100);
            return store_.page_reads_ > 1 || version > 40;
        }));
    CHECK(store_.page_reads_ > 1);
}

TEST_CASE_FIXTURE(fixture, "lost history and outages end in a fresh read")
{
    store_.put("config/main", rules_of(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return taken_.size() == 1; }));
    store_.history_gone_ = true;
    store_.put("config/main", rules_of(6));
    CHECK(eventually([this] { return taken_.size() == 2; }));
    store_.down_ = true;
    store_.put("config/main", rules_of(8));
    run_for(20);
    CHECK(taken_ == std::vector<std::uint64_t>{5, 6});
    store_.down_ = false;
    CHECK(eventually([this] { return taken_.size() == 3; }));
    CHECK(taken_ == std::vector<std::uint64_t>{5, 6, 8});
}

TEST_CASE_FIXTURE(fixture, "unreadable rules leave those in force")
{
    store_.put("config/main", rules_of(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return taken_.size() == 1; }));
    store_.put("config/main", R"({"version":6,"routes":[{}]})");
    run_for(30);
    CHECK(follower_.current().version_ == pass_rules_version(5));
}

TEST_CASE_FIXTURE(fixture, "a peer's newer rules are taken, older ones are not")
{
    store_.down_ = true;
    const auto following = follower_.follow();
    peer_answer_ = rules_text{pass_rules_version(4), rules_of(4)};
    follower_.handle_newer_rules({host_address(1), pass_rules_version(4)})
        .wait(io_.waitScope);
    CHECK(taken_ == std::vector<std::uint64_t>{4});
    peer_answer_ = rules_text{pass_rules_version(3), rules_of(3)};
    follower_.handle_newer_rules({host_address(1), pass_rules_version(9)})
        .wait(io_.waitScope);
    CHECK(taken_ == std::vector<std::uint64_t>{4});
    CHECK(spread_);
}
