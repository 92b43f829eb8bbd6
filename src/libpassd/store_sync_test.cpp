#include "fake_store.h"
#include "rules_follower.h"
#include "store_registration.h"

#include <libpassd/daemon_setup.h>

#include <doctest/doctest.h>
#include <kj/async-io.h>

using namespace galenafork;
using std::chrono::milliseconds;

namespace
{

constexpr const char* agent_entry = "agents/10.0.0.1";

std::string rules_json(int version)
{
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[],"limits":{"idle_timeout_ms":15000}})";
}

class fixture
{
public:
    fixture()
        : io_(kj::setupAsyncIo()), timer_(io_.provider->getTimer()),
          store_(timer_),
          registration_(store_, timer_, [this] { return ++next_random_; },
                        {milliseconds(10), milliseconds(4)}),
          follower_(
              store_, timer_,
              read_pacer(milliseconds(100),
                         {timer_, read_monotonic_clock, [] { return 0.0; },
                          [this] { return latest_read_; }}),
              {milliseconds(4), milliseconds(1)},
              [this](const std::shared_ptr<const pass_rules>& rules,
                     bool announce)
              {
                  applied_versions_.push_back(rules->version_.value());
                  announced_ = announce;
              },
              [this](instant began_at) { reads_.push_back(began_at); },
              [this](host_address) {
                  return kj::Promise<tl::expected<rules_text, error>>(
                      peer_response_);
              })
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

    kj::AsyncIoContext io_;
    kj::Timer& timer_;
    samples::fake_store store_;
    std::uint64_t next_random_ = 0;
    store_registration registration_;
    std::vector<std::uint64_t> applied_versions_;
    bool announced_ = false;
    std::vector<instant> reads_;
    /// The latest read that peers have told of.
    instant latest_read_{};
    tl::expected<rules_text, error> peer_response_ =
        tl::unexpected(error{error_code::unavailable, "no peer"});
    rules_follower follower_;
};

} // namespace

TEST_CASE_FIXTURE(fixture, "an entry is written once and then only checked")
{
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    run_for(60);
    CHECK(store_.objects_.at(agent_entry).version_ == object_version(11));
    CHECK(store_.current_reads_ == 0);
}

TEST_CASE_FIXTURE(fixture, "an expired entry is written again")
{
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    store_.objects_.erase(agent_entry);
    CHECK(
        eventually([this] { return store_.objects_.count(agent_entry) == 1; }));
}

TEST_CASE_FIXTURE(fixture,
                  "an entry that expired during an outage is written again")
{
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    store_.down_ = true;
    store_.objects_.erase(agent_entry);
    run_for(40);
    CHECK(store_.objects_.count(agent_entry) == 0);
    store_.down_ = false;
    CHECK(
        eventually([this] { return store_.objects_.count(agent_entry) == 1; }));
}

TEST_CASE_FIXTURE(fixture, "an entry of an earlier process is kept unchanged")
{
    store_.put(agent_entry, R"({"host":"10.0.0.1","write_id":"x"})");
    const auto version = store_.objects_.at(agent_entry).version_;
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    run_for(40);
    CHECK(store_.objects_.at(agent_entry).version_ == version);
}

TEST_CASE_FIXTURE(fixture, "an entry that another writer changed is restored")
{
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    store_.put(agent_entry, R"([1])");
    CHECK(eventually(
        [this]
        {
            return store_.objects_.at(agent_entry).value_.find("10.0.0.1") !=
                   std::string::npos;
        }));
}

TEST_CASE_FIXTURE(fixture, "a removed entry is not written again")
{
    // The process of an agent ends some time after the removal. An entry that
    // its checks write again would outlive it.
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    CHECK(eventually([this] { return registration_.is_written(); }));
    registration_.remove(agent_entry).wait(io_.waitScope);
    CHECK(store_.objects_.count(agent_entry) == 0);
    run_for(60);
    CHECK(store_.objects_.count(agent_entry) == 0);
}

TEST_CASE_FIXTURE(fixture, "a write that is under way at the removal is undone")
{
    store_.write_delay_ = 30 * kj::MILLISECONDS;
    const auto maintaining =
        registration_.maintain(agent_entry, R"({"host":"10.0.0.1"})");
    registration_.remove(agent_entry).wait(io_.waitScope);
    CHECK(eventually([this] { return registration_.is_written(); }));
    run_for(60);
    CHECK(store_.objects_.count(agent_entry) == 0);
}

TEST_CASE_FIXTURE(fixture, "a watch applies newer rules and ignores older ones")
{
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    store_.put("config/main", rules_json(9));
    CHECK(eventually([this] { return applied_versions_.size() == 2; }));
    store_.put("config/main", rules_json(7));
    run_for(30);
    CHECK(applied_versions_ == std::vector<std::uint64_t>{5, 9});
}

TEST_CASE_FIXTURE(fixture, "rules that a watch missed are found by a read")
{
    // CONFIG of chk-edge-grown scale-1: watches missed a change without an
    // error. Without scheduled reads the balancer would keep the old rules.
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    store_.drops_watch_events_ = true;
    store_.put("config/main", rules_json(6));
    CHECK(eventually([this] { return applied_versions_.size() == 2; }));
    CHECK(applied_versions_ == std::vector<std::uint64_t>{5, 6});
    CHECK(announced_);
}

TEST_CASE_FIXTURE(fixture,
                  "a watch that times out is followed by a read at once")
{
    // A watch that timed out has already used most of the time within which new
    // rules must be applied.
    follower_settings settings;
    settings.retry_interval_ = std::chrono::minutes(10);
    std::vector<std::uint64_t> applied_versions;
    rules_follower follower(
        store_, timer_,
        read_pacer(std::chrono::hours(1),
                   {timer_, read_monotonic_clock, [] { return 0.0; },
                    [] { return instant(); }}),
        settings,
        [&](const std::shared_ptr<const pass_rules>& rules, bool /*announce*/)
        { applied_versions.push_back(rules->version_.value()); },
        [](instant /*began_at*/) {},
        [this](host_address) {
            return kj::Promise<tl::expected<rules_text, error>>(peer_response_);
        });
    store_.watch_times_out_ = true;
    store_.put("config/main", rules_json(5));
    const auto following = follower.follow();
    CHECK(eventually([&] { return applied_versions.size() == 1; }));
    store_.put("config/main", rules_json(6));
    CHECK(eventually([&] { return applied_versions.size() == 2; }));
}

TEST_CASE_FIXTURE(fixture, "changes do not postpone the next scheduled read")
{
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    int version = 6;
    CHECK(eventually(
        [&]
        {
            store_.put("config/main", rules_json(version++));
            run_for(100);
            return store_.collection_reads_ > 1 || version > 40;
        }));
    CHECK(store_.collection_reads_ > 1);
}

// Guards against balancers that rely on peers which have ended.
TEST_CASE_FIXTURE(fixture, "rules are read once the reads of peers stop")
{
    store_.put("config/main", rules_json(5));
    store_.drops_watch_events_ = true;
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    latest_read_ = read_monotonic_clock() + std::chrono::seconds(1);
    store_.put("config/main", rules_json(6));
    run_for(200);
    CHECK(reads_.size() == 1);
    CHECK(eventually([this] { return applied_versions_.size() == 2; }));
    CHECK(read_monotonic_clock() >= latest_read_);
}

// Guards against twice as many calls while the store is away: both the watch
// and the timer of the reads then ask for a read.
TEST_CASE_FIXTURE(fixture, "one read at a time is repeated during an outage")
{
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    store_.down_ = true;
    run_for(120);
    const int reads_before = store_.collection_reads_;
    const instant began_at = read_monotonic_clock();
    run_for(200);
    const auto elapsed = read_monotonic_clock() - began_at;
    // One read for each retry interval of 4 ms.
    CHECK(store_.collection_reads_ - reads_before <=
          elapsed / milliseconds(4) + 1);
}

TEST_CASE_FIXTURE(fixture,
                  "rules are read again after lost history and after an outage")
{
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    store_.history_gone_ = true;
    store_.put("config/main", rules_json(6));
    CHECK(eventually([this] { return applied_versions_.size() == 2; }));
    store_.down_ = true;
    store_.put("config/main", rules_json(8));
    run_for(20);
    CHECK(applied_versions_ == std::vector<std::uint64_t>{5, 6});
    store_.down_ = false;
    CHECK(eventually([this] { return applied_versions_.size() == 3; }));
    CHECK(applied_versions_ == std::vector<std::uint64_t>{5, 6, 8});
}

TEST_CASE_FIXTURE(fixture, "malformed rules leave the active ones unchanged")
{
    store_.put("config/main", rules_json(5));
    const auto following = follower_.follow();
    CHECK(eventually([this] { return applied_versions_.size() == 1; }));
    store_.put("config/main", R"({"version":6,"routes":[{}]})");
    run_for(30);
    CHECK(follower_.current().version_ == pass_rules_version(5));
}

TEST_CASE_FIXTURE(fixture,
                  "newer rules of a peer are applied, older ones are ignored")
{
    store_.down_ = true;
    const auto following = follower_.follow();
    peer_response_ = rules_text{pass_rules_version(4), rules_json(4)};
    follower_.handle_newer_rules({host_address(1), pass_rules_version(4)})
        .wait(io_.waitScope);
    CHECK(applied_versions_ == std::vector<std::uint64_t>{4});
    peer_response_ = rules_text{pass_rules_version(3), rules_json(3)};
    follower_.handle_newer_rules({host_address(1), pass_rules_version(9)})
        .wait(io_.waitScope);
    CHECK(applied_versions_ == std::vector<std::uint64_t>{4});
    CHECK(announced_);
}

TEST_CASE_FIXTURE(fixture,
                  "a restarted balancer does not use rules that were replaced")
{
    // The store can't be reached, and the first seed was cut off before version
    // 6 removed a rule.
    store_.down_ = true;
    const auto following = follower_.follow();
    follower_.apply_newest({{pass_rules_version(5), rules_json(5)},
                            {},
                            {pass_rules_version(6), rules_json(6)}});
    CHECK(applied_versions_ == std::vector<std::uint64_t>{6});
    follower_.apply_newest({{pass_rules_version(5), rules_json(5)}});
    follower_.apply_newest({});
    CHECK(applied_versions_ == std::vector<std::uint64_t>{6});
}

TEST_CASE("an agent's entry says whether its upstream accepts connections")
{
    // review/4: a restarted agent took refused connections as a proof that its
    // upstream was gone, although that upstream never accepted any.
    const platform_adapter::instance_settings settings;
    const auto accepted = [](const std::string& value)
    {
        return accepts_connections(
            {"galenafork-agents/10.0.0.1", object_version(3), value});
    };
    CHECK(accepted(agent_entry_value(settings, true)));
    CHECK_FALSE(accepted(agent_entry_value(settings, false)));
    CHECK(agent_entry_value(settings, false) == entry_value(settings));
    for (const char* odd :
         {"", "[]", "7", R"({"accepts_connections":"yes"})",
          R"({"accepts_connections":1})", R"({"accepts_connections":null})"})
    {
        CAPTURE(odd);
        CHECK_FALSE(accepted(odd));
    }
}
