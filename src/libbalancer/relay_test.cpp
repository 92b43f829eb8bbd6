#include <galenafork/relay.h>

#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

using std::chrono::seconds;

const relay_settings settings{2, seconds(6)};

instant at(int second)
{
    return instant(seconds(second));
}

relay_entry make_relay(int index)
{
    return {instance_id("b-" + std::to_string(index)),
            incarnation(1),
            {make_v4(127, 0, 0, 1), static_cast<std::uint16_t>(index)},
            0};
}

/// Lets `self` read the list and, if due, write the next one. Returns whether
/// `self` is a relay afterwards.
bool run_election(relay_list& object, relay_view& view, const relay_entry& self,
                  instant now)
{
    update_relay_view(view, object, now);
    const auto next = next_relay_list(view, self, settings, now);
    if (next)
    {
        object = *next;
        update_relay_view(view, object, now);
        view.last_renewed_at_ = now;
    }
    return is_relay(view, self);
}

} // namespace

TEST_CASE(
    "the wanted number of balancers become relays and stay relays by renewing")
{
    relay_list object;
    std::map<int, relay_view> views;
    for (int second = 100; second < 160; ++second)
    {
        for (int index = 1; index <= 4; ++index)
        {
            const bool relay = run_election(object, views[index],
                                            make_relay(index), at(second));
            CHECK(relay == (index <= 2));
        }
    }
    CHECK(object.relays_.size() == 2);
    // A relay renews its lease every 2 s for 60 s.
    CHECK(object.relays_[0].renewal_count_ <= 31);
}

TEST_CASE("a relay that stops renewing is replaced when its lease expires")
{
    relay_list object;
    relay_view view_1;
    relay_view view_2;
    relay_view view_3;
    run_election(object, view_1, make_relay(1), at(100));
    run_election(object, view_2, make_relay(2), at(100));
    CHECK_FALSE(run_election(object, view_3, make_relay(3), at(100)));
    for (int second = 101; second < 106; ++second)
    {
        run_election(object, view_1, make_relay(1), at(second));
        CHECK_FALSE(run_election(object, view_3, make_relay(3), at(second)));
    }
    CHECK(run_election(object, view_3, make_relay(3), at(106)));
    // The relay that was paused finds that it has been replaced.
    CHECK_FALSE(run_election(object, view_2, make_relay(2), at(107)));
}

TEST_CASE("a restarted relay replaces its entry with its new incarnation")
{
    relay_list object;
    relay_view before;
    run_election(object, before, make_relay(1), at(100));
    relay_view after;
    relay_entry restarted = make_relay(1);
    restarted.incarnation_ = incarnation(2);
    CHECK(run_election(object, after, restarted, at(101)));
    CHECK(object.relays_.size() == 1);
    CHECK(object.relays_[0].renewal_count_ == 2);
}

TEST_CASE("each roster is assigned to one relay, evenly over the relays")
{
    const relay_list list{{make_relay(1), make_relay(2), make_relay(3)}, {}};
    std::map<instance_id, int> roster_counts;
    for (int i = 0; i < 900; ++i)
    {
        const service_name service("service-" + std::to_string(i));
        int relay_count = 0;
        for (const relay_entry& relay : list.relays_)
        {
            const bool assigned =
                is_assigned_relay(list, relay.instance_, service);
            roster_counts[relay.instance_] += assigned ? 1 : 0;
            relay_count += assigned ? 1 : 0;
        }
        CHECK(relay_count == 1);
    }
    for (const auto& [relay, roster_count] : roster_counts)
    {
        // The expected count is 300; six standard deviations are 85.
        CHECK(roster_count > 215);
        CHECK(roster_count < 385);
    }
}

TEST_CASE("a list survives the JSON round trip; malformed text is rejected")
{
    relay_list list{{make_relay(1), make_relay(2)}, write_id("w")};
    const auto copy = relay_list_from_json(to_json(list));
    REQUIRE(copy.has_value());
    CHECK(to_json(*copy) == to_json(list));
    CHECK_FALSE(relay_list_from_json("{}").has_value());
    CHECK_FALSE(relay_list_from_json("]").has_value());
}
