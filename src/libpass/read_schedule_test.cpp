// Tests of how balancers share their reads of the store. They guard against
// changes that are found too late and against reads that grow with the fleet.

#include "samples.h"

#include <galenafork/read_schedule.h>

#include <doctest/doctest.h>
#include <random>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint32_t first_host = 0x0a010001;

// Balancers that read the store as their schedule requires, and exchange hellos
// in virtual time. The store also lists balancers that are gone.
class reading_fleet
{
public:
    reading_fleet(std::size_t running, std::size_t gone)
    {
        for (std::size_t i = 0; i < running; ++i)
        {
            pass_balancer_settings settings;
            settings.host_ = host_of(i);
            balancers_.push_back(
                new_pass_balancer(settings, static_cast<std::uint32_t>(i + 1)));
            update_rules(balancers_.back(), make_rules(3));
            due_.push_back(now_);
            based_on_.emplace_back();
        }
        listed_ = running + gone;
        list_members();
    }

    void run(duration length)
    {
        constexpr duration tick = milliseconds(10);
        constexpr std::size_t ticks_per_round = hello_round_interval / tick;
        for (const instant end = now_ + length; now_ < end; now_ += tick)
        {
            ++ticks_;
            if (ticks_ % (8 * ticks_per_round) == 0)
            {
                list_members();
            }
            for (std::size_t i = 0; i < balancers_.size(); ++i)
            {
                if (i >= alive_)
                {
                    continue;
                }
                if (ticks_ % ticks_per_round == i % ticks_per_round)
                {
                    pass_actions out;
                    send_hellos(balancers_[i], now_, out);
                    deliver(out);
                }
                read_if_due(i);
                note_age(balancers_[i].rules_read_at_);
                note_age(balancers_[i].evacuations_read_at_);
            }
        }
    }

    // Ends all balancers but the first `count`.
    void keep(std::size_t count)
    {
        alive_ = count;
    }

    // Drops a message in this many; none if zero.
    unsigned lost_of_ = 0;
    // The age of the oldest read that a balancer relied on.
    duration oldest_{0};
    std::size_t reads_ = 0;
    std::size_t hellos_to_gone_ = 0;
    duration max_age_ = max_read_age(seconds(3));

private:
    static host_address host_of(std::size_t i)
    {
        return host_address(first_host + static_cast<std::uint32_t>(i));
    }

    void note_age(const std::optional<instant>& read_at)
    {
        if (read_at)
        {
            oldest_ = std::max(
                oldest_, std::chrono::duration_cast<duration>(now_ - *read_at));
        }
    }

    void list_members()
    {
        for (pass_balancer_state& balancer : balancers_)
        {
            pass_actions out;
            for (std::size_t i = 0; i < listed_; ++i)
            {
                add_listed_peer(balancer, host_of(i), now_, out);
            }
            deliver(out);
        }
    }

    void read_if_due(std::size_t i)
    {
        pass_balancer_state& balancer = balancers_[i];
        const instant known = balancer.rules_read_at_.value_or(instant());
        if (known > based_on_[i])
        {
            based_on_[i] = known;
            due_[i] = known + read_delay(max_age_, uniform_(random_));
        }
        if (now_ < due_[i])
        {
            return;
        }
        ++reads_;
        pass_actions out;
        store_reads reads;
        reads.rules_at_ = now_;
        reads.evacuations_at_ = now_;
        note_store_reads(balancer, reads, now_, out);
        deliver(out);
    }

    void deliver(const pass_actions& out)
    {
        for (const pass_datagram& datagram : out.datagrams_)
        {
            const std::size_t to = datagram.host_.value() - first_host;
            const auto* hello = std::get_if<hello_message>(&*datagram.message_);
            if (to >= alive_ || to >= balancers_.size())
            {
                ++hellos_to_gone_;
            }
            else if (lost_of_ == 0 || random_() % lost_of_ != 0)
            {
                handle_hello(balancers_[to], *hello, now_);
            }
        }
    }

    instant now_ = start;
    std::size_t ticks_ = 0;
    std::size_t alive_ = SIZE_MAX;
    std::size_t listed_ = 0;
    std::vector<pass_balancer_state> balancers_;
    std::vector<instant> due_;
    std::vector<instant> based_on_;
    std::minstd_rand random_{7};
    std::uniform_real_distribution<double> uniform_{0.0, 1.0};
};

} // namespace

// Guards against review/7 and review/9: the time between two reads of a
// balancer grew with the number of listed balancers, running or not.
TEST_CASE("each balancer relies on a read that is recent by its own clock")
{
    for (const std::size_t running : {1U, 2U, 4U, 17U, 50U})
    {
        for (const std::size_t gone : {0U, 1U, 60U, 300U})
        {
            CAPTURE(running);
            CAPTURE(gone);
            reading_fleet fleet(running, gone);
            fleet.run(seconds(40));
            // Rules must be applied within 3 s, of which 1.5 s are for a read
            // whose first attempt fails.
            CHECK(fleet.oldest_ <= milliseconds(1500));
        }
    }
}

// Guards against calls to the store that grow with the fleet.
TEST_CASE("a fleet reads about as often as a few balancers do")
{
    for (const std::size_t running : {4U, 17U, 50U, 100U})
    {
        CAPTURE(running);
        reading_fleet fleet(running, 100);
        fleet.run(seconds(10));
        fleet.reads_ = 0;
        fleet.run(seconds(30));
        // One read in 0.45 s; with more balancers the first of them is due
        // earlier, at 0.3 of the maximum age or later.
        CHECK(fleet.reads_ <= 30 / 0.45 * 1.1);
    }
}

// Load pattern: all balancers start at the same time, for example after a loss
// of power. Guards against intervals without a read by any balancer.
TEST_CASE("evacuations are read in time after all balancers start together")
{
    reading_fleet fleet(25, 0);
    fleet.max_age_ = max_read_age(seconds(5));
    fleet.run(seconds(120));
    CHECK(fleet.oldest_ <= milliseconds(3500));
    // One read every 0.7 s, with 10% of tolerance.
    CHECK(fleet.reads_ < 189);
}

// Guards against a bound that holds only while peers are running or their
// messages arrive.
TEST_CASE("reads stay recent when most balancers end at once")
{
    for (const std::size_t kept : {1U, 2U, 7U})
    {
        CAPTURE(kept);
        reading_fleet fleet(50, 20);
        fleet.lost_of_ = 4;
        fleet.run(seconds(20));
        fleet.keep(kept);
        fleet.run(seconds(40));
        CHECK(fleet.oldest_ <= milliseconds(1500));
        // Those that have ended get one hello in each round of a balancer.
        fleet.hellos_to_gone_ = 0;
        fleet.run(seconds(10));
        CHECK(fleet.hellos_to_gone_ <= kept * 21);
    }
}

TEST_CASE("the age of a read depends on the time limit")
{
    CHECK(max_read_age(seconds(5)) == milliseconds(3500));
    CHECK(max_read_age(seconds(1)) == milliseconds(250));
    CHECK(read_delay(seconds(4), 0.0) >= seconds(1));
    CHECK(read_delay(seconds(4), 0.999) <= seconds(4));
}

// Guards against a balancer that takes a peer's read of older rules for one
// that covers its own, and against reads that are taken for more recent than
// they are.
TEST_CASE("a hello tells of a read only for the rules that it names")
{
    pass_balancer_state state = new_pass_balancer({}, 1);
    update_rules(state, make_rules(3));
    hello_message hello;
    hello.host_ = balancer_x;
    hello.version_ = pass_rules_version(4);
    hello.rules_read_age_ = milliseconds(200);
    CHECK(handle_hello(state, hello, start));
    CHECK_FALSE(state.rules_read_at_);
    hello.version_ = pass_rules_version(3);
    CHECK_FALSE(handle_hello(state, hello, start));
    CHECK(state.rules_read_at_ == start - milliseconds(200));
    hello.rules_read_age_ = milliseconds(900);
    handle_hello(state, hello, start);
    CHECK(state.rules_read_at_ == start - milliseconds(200));
    hello.rules_read_age_.reset();
    handle_hello(state, hello, start + seconds(9));
    CHECK(state.rules_read_at_ == start - milliseconds(200));

    hello.evacuations_.revision_ = object_version(9);
    hello.evacuations_read_age_ = milliseconds(100);
    handle_hello(state, hello, start);
    CHECK_FALSE(state.evacuations_read_at_);
    state.evacuations_.revision_ = object_version(9);
    handle_hello(state, hello, start);
    CHECK(state.evacuations_read_at_ == start - milliseconds(100));
}
