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

relay_entry make_relay(int number)
{
    return {instance_id("b-" + std::to_string(number)),
            incarnation(1),
            {make_v4(127, 0, 0, 1), static_cast<std::uint16_t>(number)},
            0};
}

/// `self` reads the list, decides and writes, as one step.
bool act(relay_list& object, relay_view& view, const relay_entry& self,
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

TEST_CASE("as many balancers become relays as wanted, and stay while they beat")
{
    relay_list object;
    std::map<int, relay_view> views;
    for (int second = 100; second < 160; ++second)
    {
        for (int number = 1; number <= 4; ++number)
        {
            const bool relay =
                act(object, views[number], make_relay(number), at(second));
            CHECK(relay == (number <= 2));
        }
    }
    CHECK(object.relays_.size() == 2);
    // 60 s, a renewal every 2 s.
    CHECK(object.relays_[0].renewal_count_ <= 31);
}

TEST_CASE("a relay that stops loses its place after the lease, not before")
{
    relay_list object;
    relay_view one;
    relay_view two;
    relay_view three;
    act(object, one, make_relay(1), at(100));
    act(object, two, make_relay(2), at(100));
    CHECK_FALSE(act(object, three, make_relay(3), at(100)));
    for (int second = 101; second < 106; ++second)
    {
        act(object, one, make_relay(1), at(second));
        CHECK_FALSE(act(object, three, make_relay(3), at(second)));
    }
    CHECK(act(object, three, make_relay(3), at(106)));
    // The relay that was paused finds its place gone.
    CHECK_FALSE(act(object, two, make_relay(2), at(107)));
}

TEST_CASE("a restarted relay takes its own place back under a new life")
{
    relay_list object;
    relay_view before;
    act(object, before, make_relay(1), at(100));
    relay_view after;
    relay_entry reborn = make_relay(1);
    reborn.incarnation_ = incarnation(2);
    CHECK(act(object, after, reborn, at(101)));
    CHECK(object.relays_.size() == 1);
    CHECK(object.relays_[0].renewal_count_ == 2);
}

TEST_CASE("each roster is watched by one relay, about as many by each")
{
    const relay_list list{{make_relay(1), make_relay(2), make_relay(3)}, {}};
    std::map<instance_id, int> shares;
    for (int i = 0; i < 900; ++i)
    {
        const service_name service("service-" + std::to_string(i));
        int watchers = 0;
        for (const relay_entry& relay : list.relays_)
        {
            const bool mine = is_assigned_relay(list, relay.instance_, service);
            shares[relay.instance_] += mine ? 1 : 0;
            watchers += mine ? 1 : 0;
        }
        CHECK(watchers == 1);
    }
    for (const auto& [relay, share] : shares)
    {
        // 300 expected; six standard deviations are 85.
        CHECK(share > 215);
        CHECK(share < 385);
    }
}

TEST_CASE("a list is read back as it was written; other text is refused")
{
    relay_list list{{make_relay(1), make_relay(2)}, write_id("w")};
    const auto copy = relay_list_from_json(to_json(list));
    REQUIRE(copy.has_value());
    CHECK(to_json(*copy) == to_json(list));
    CHECK_FALSE(relay_list_from_json("{}").has_value());
    CHECK_FALSE(relay_list_from_json("]").has_value());
}
