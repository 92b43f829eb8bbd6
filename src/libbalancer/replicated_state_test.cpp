#include "samples.h"

#include <galenafork/replicated_state_codec.h>

#include <algorithm>
#include <capnp/message.h>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace galenafork;
using namespace galenafork::samples;

namespace
{

/// Returns all updates of service `seed` in order: joins and removals, each as
/// a delta and as a whole roster, and an expiry.
std::vector<state_update> make_history(std::uint16_t seed)
{
    std::vector<state_update> updates;
    roster r;
    r.service_ = make_service(seed);
    const auto apply_change = [&](const roster_change& change)
    {
        r = *apply(r, change);
        updates.emplace_back(roster_delta{r.service_, r.epoch_, change});
        updates.emplace_back(r);
    };
    for (std::uint16_t i = 0; i < 5; ++i)
    {
        apply_change(make_join(i));
    }
    const auto removed_index = static_cast<std::uint16_t>(seed % 5);
    updates.emplace_back(
        expired_members_update{r.service_,
                               {{make_member(removed_index).instance_,
                                 make_member(removed_index).incarnation_}}});
    apply_change(make_remove(removed_index));
    apply_change(make_join(removed_index, 2));
    return updates;
}

/// Returns the state after merging all `updates`.
replicated_state final_state(const std::vector<state_update>& updates)
{
    replicated_state state;
    for (const state_update& update : updates)
    {
        merge(state, update);
    }
    return state;
}

std::uint64_t epoch_in(const replicated_state& state,
                       const service_name& service)
{
    const auto at = state.services_.find(service);
    return at == state.services_.end() || !at->second.roster_
               ? 0
               : at->second.roster_->epoch_.value();
}

state_update through_codec(const state_update& update)
{
    capnp::MallocMessageBuilder message;
    auto builder = message.initRoot<rpc::Update>();
    write(builder, update);
    const auto copy = read(builder.asReader());
    REQUIRE(copy.has_value());
    return *copy;
}

/// Lets `receiver` pull what it lacks from `sender`, through the RPC encoding.
void pull(replicated_state& receiver, const replicated_state& sender)
{
    const auto versions = differing_versions(receiver, digest_of(sender));
    for (const state_update& update : updates_since(sender, versions))
    {
        merge(receiver, through_codec(update));
    }
}

} // namespace

TEST_CASE("versions never go back, in whatever order updates are merged")
{
    const bool held = rc::check(
        [](const std::vector<std::uint8_t>& indexes)
        {
            auto updates = make_history(3);
            updates.emplace_back(make_rules(1, 2));
            updates.emplace_back(make_rules(2, 3));
            replicated_state state;
            for (const std::uint8_t index : indexes)
            {
                const std::uint64_t rules_before =
                    state.rules_ ? state.rules_->version_.value() : 0;
                const std::uint64_t epoch_before =
                    epoch_in(state, make_service(3));
                merge(state, updates[index % updates.size()]);
                const std::uint64_t rules_after =
                    state.rules_ ? state.rules_->version_.value() : 0;
                RC_ASSERT(rules_after >= rules_before);
                RC_ASSERT(epoch_in(state, make_service(3)) >= epoch_before);
            }
        });
    CHECK(held);
}

TEST_CASE("replicas that merged the same rosters in any order are equal")
{
    const bool held = rc::check(
        [](const std::vector<std::uint8_t>& swaps)
        {
            auto updates = make_history(4);
            updates.emplace_back(make_rules(1, 2));
            updates.emplace_back(make_rules(2, 3));
            const state_digest expected = digest_of(final_state(updates));
            for (std::size_t i = 0; i < swaps.size(); ++i)
            {
                std::swap(updates[i % updates.size()],
                          updates[swaps[i] % updates.size()]);
            }
            const auto copies = updates;
            updates.insert(updates.end(), copies.begin(), copies.end());
            RC_ASSERT(digest_of(final_state(updates)) == expected);
        });
    CHECK(held);
}

TEST_CASE("one pull restores all missed updates")
{
    const bool held = rc::check(
        [](const std::vector<std::uint8_t>& removed_positions)
        {
            std::vector<state_update> complete;
            for (std::uint16_t i = 0; i < 10; ++i)
            {
                const auto history = make_history(i);
                complete.insert(complete.end(), history.begin(), history.end());
            }
            complete.emplace_back(make_rules(7, 10));
            auto incomplete = complete;
            for (const std::uint8_t at : removed_positions)
            {
                incomplete.erase(incomplete.begin() +
                                 at % static_cast<int>(incomplete.size()));
                if (incomplete.empty())
                {
                    break;
                }
            }
            const replicated_state complete_state = final_state(complete);
            replicated_state behind = final_state(incomplete);
            pull(behind, complete_state);
            RC_ASSERT(digest_of(behind) == digest_of(complete_state));
            RC_ASSERT(
                updates_since(complete_state, all_versions(behind)).size() ==
                updates_since(complete_state, all_versions(complete_state))
                    .size());
        });
    CHECK(held);
}

TEST_CASE("a delta whose predecessor is missing is a gap and changes nothing")
{
    roster r = make_roster(make_service(0), 2);
    replicated_state state;
    merge(state, r);
    const epoch third(r.epoch_.value() + 2);
    CHECK(merge(state, roster_delta{r.service_, third, make_join(7)}) ==
          merge_result::gap);
    CHECK(epoch_in(state, r.service_) == r.epoch_.value());
    const epoch next(r.epoch_.value() + 1);
    CHECK(merge(state, roster_delta{r.service_, next, make_remove(9)}) ==
          merge_result::bad);
}

TEST_CASE(
    "a lagging peer gets deltas, a peer without a roster gets the whole one")
{
    roster r = make_roster(make_service(0), 2);
    replicated_state ahead;
    merge(ahead, r);
    const replicated_state behind = ahead;
    for (std::uint16_t i = 10; i < 12; ++i)
    {
        r = *apply(r, make_join(i));
        merge(ahead, r);
    }
    const auto deltas = updates_since(ahead, all_versions(behind));
    REQUIRE(deltas.size() == 2);
    CHECK(std::holds_alternative<roster_delta>(deltas[0]));
    const auto whole = updates_since(ahead, all_versions(replicated_state()));
    REQUIRE(whole.size() == 1);
    CHECK(std::holds_alternative<roster>(whole[0]));
}

TEST_CASE("an update of the rules is sent as the lines that changed")
{
    const auto rules_text = [](int port)
    {
        return "udp 10.9.0.1:1 -> a # J\nudp 10.9.0.2:" + std::to_string(port) +
               " -> b # J\nudp 10.9.0.3:3 -> c # J\n";
    };
    replicated_state relay;
    merge(relay, *make_active_rules(rules_version(1), rules_text(1), ""));
    replicated_state other = relay;
    for (int version = 2; version < 5; ++version)
    {
        const state_update whole(*make_active_rules(
            rules_version(static_cast<std::uint64_t>(version)),
            rules_text(version), ""));
        CHECK(merge(relay, whole) == merge_result::applied);
        const auto delta = through_codec(compact_update(relay, whole));
        REQUIRE(std::holds_alternative<rules_delta>(delta));
        CHECK(std::get<rules_delta>(delta).edit_.added_.size() == 1);
        CHECK(merge(other, delta) == merge_result::applied);
        CHECK(merge(other, delta) == merge_result::old);
    }
    CHECK(other.rules_->text_ == relay.rules_->text_);
    CHECK(other.rules_->rules_ == relay.rules_->rules_);
    // Each of the versions 1 to 3 has one address that the next version
    // removes.
    CHECK(other.rules_->retired_.size() == 3);

    replicated_state older;
    merge(older, *make_active_rules(rules_version(1), "", ""));
    const rules_delta unfitting{rules_version(2), {7, {"x"}, {}}};
    CHECK(merge(older, unfitting) == merge_result::bad);
    const rules_delta later{rules_version(3), {}};
    CHECK(merge(older, later) == merge_result::gap);
}

TEST_CASE("the number of expired incarnations outside the roster is limited")
{
    replicated_state state;
    merge(state, make_roster(make_service(0), 3));
    expired_members_update update{make_service(0),
                                  {{instance_id("m-1"), incarnation(1)}}};
    for (std::uint64_t i = 0; i < 10 * max_expired_members; ++i)
    {
        update.incarnations_.push_back({instance_id("a-gone"), incarnation(i)});
    }
    CHECK(merge(state, update) == merge_result::applied);
    const auto& expired = state.services_[make_service(0)].expired_members_;
    CHECK(expired.incarnations_.size() == max_expired_members + 1);
    CHECK(expired.contains(make_member(1)));
}

TEST_CASE("a removed rule is retired unless an active rule has its address")
{
    const rules_proposal first{"udp 10.9.0.1:1 -> a # J\n"
                               "udp 10.9.0.2:1 -> b # J\n",
                               "J", "2026-01-01T00:00:00Z", write_id("1")};
    const rules_proposal second{"udp 10.9.0.1:1 -> c # J\n", "J",
                                "2026-01-01T00:00:01Z", write_id("2")};
    const auto object =
        next_rules_object(next_rules_object(std::nullopt, first), second);
    const auto rules = make_active_rules(object);
    REQUIRE(rules.has_value());
    REQUIRE(rules->retired_.size() == 1);
    CHECK(rules->retired_[0].service_ == service_name("b"));
    const auto copy =
        std::get<active_rules>(through_codec(state_update(*rules)));
    CHECK(copy.rules_ == rules->rules_);
    CHECK(copy.retired_ == rules->retired_);
}
