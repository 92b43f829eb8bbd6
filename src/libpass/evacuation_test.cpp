#include "samples.h"

#include <doctest/doctest.h>

using namespace galenafork;
using namespace galenafork::samples;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

evacuation_state make_evacuations(std::uint64_t revision,
                                  const std::vector<std::string>& data_centres,
                                  std::uint64_t era = 0)
{
    evacuation_state state;
    state.era_ = store_era(era);
    state.revision_ = object_version(revision);
    for (const std::string& name : data_centres)
    {
        state.data_centres_.emplace_back(name);
    }
    return state;
}

// Agents a and b are in data centre "a", agent c is in "b".
pass_balancer_state make_following_balancer()
{
    pass_balancer_state state = make_balancer();
    state.settings_.follows_evacuations_ = true;
    return state;
}

pass_agent_state make_following_agent()
{
    pass_agent_state state = make_agent();
    state.settings_.data_centre_ = data_centre("a");
    state.settings_.follows_evacuations_ = true;
    return state;
}

evacuation_update evacuate(pass_balancer_state& state, std::uint64_t revision,
                           const std::vector<std::string>& data_centres,
                           pass_actions& out)
{
    return update_evacuations(state, make_evacuations(revision, data_centres),
                              start, out);
}

evacuation_update evacuate(pass_agent_state& state, std::uint64_t revision,
                           const std::vector<std::string>& data_centres,
                           pass_actions& out)
{
    return update_evacuations(state, make_evacuations(revision, data_centres),
                              start, out);
}

// Returns the hellos in `out` that `host` gets.
std::vector<hello_message> hellos_to(const pass_actions& out, host_address host)
{
    std::vector<hello_message> hellos;
    for (const pass_datagram& datagram : out.datagrams_)
    {
        if (datagram.target_ == pass_target::peer && datagram.host_ == host &&
            std::holds_alternative<hello_message>(*datagram.message_))
        {
            hellos.push_back(std::get<hello_message>(*datagram.message_));
        }
    }
    return hellos;
}

std::vector<host_address> receivers_of_places(const pass_actions& out)
{
    std::vector<host_address> hosts;
    for (const pass_datagram& datagram : out.datagrams_)
    {
        if (datagram.target_ == pass_target::peer &&
            std::holds_alternative<place_message>(*datagram.message_))
        {
            hosts.push_back(datagram.host_);
        }
    }
    return hosts;
}

} // namespace

// Guards against a removed evacuation that a late message brings back.
TEST_CASE("the later state by era and revision wins")
{
    evacuation_state state;
    CHECK(apply_evacuations(state, make_evacuations(0, {"a"}, 5)) ==
          evacuation_update::ignored);
    CHECK(state.data_centres_.empty());
    CHECK(apply_evacuations(state, make_evacuations(8, {})) ==
          evacuation_update::renewed);
    CHECK(apply_evacuations(state, make_evacuations(9, {"a", "b"})) ==
          evacuation_update::changed);
    CHECK(apply_evacuations(state, make_evacuations(10, {"b", "a"})) ==
          evacuation_update::renewed);
    CHECK(apply_evacuations(state, make_evacuations(10, {})) ==
          evacuation_update::ignored);
    CHECK(apply_evacuations(state, make_evacuations(9, {})) ==
          evacuation_update::ignored);
    CHECK(is_evacuated(state, data_centre("a")));
    CHECK(apply_evacuations(state, make_evacuations(3, {"b"}, 1)) ==
          evacuation_update::changed);
    CHECK(apply_evacuations(state, make_evacuations(99, {"a"})) ==
          evacuation_update::ignored);
    CHECK_FALSE(is_evacuated(state, data_centre("a")));
}

// Guards against entries of other writers that make hellos too long to send.
TEST_CASE("odd names are ignored, and known data centres take precedence")
{
    std::vector<std::string> names{"", "x\n", std::string(64, 'x'),
                                   std::string("y\0z", 3)};
    for (int i = 100; i < 200; ++i)
    {
        names.push_back(std::to_string(i) + std::string(60, 'n'));
    }
    names.emplace_back("west");
    names.emplace_back("west");
    const evacuation_names selected =
        select_evacuations(names, {data_centre("west"), data_centre("east")});
    CHECK(selected.data_centres_.size() == max_evacuated_data_centres);
    CHECK(selected.ignored_ == 4 + 101 - max_evacuated_data_centres);
    evacuation_state state;
    state.data_centres_ = selected.data_centres_;
    CHECK(is_evacuated(state, data_centre("west")));
    CHECK_FALSE(is_evacuated(state, data_centre("east")));

    hello_message hello;
    hello.evacuations_ = state;
    CHECK(encode(hello).size() < 2048);
}

// Guards against flows that are opened in an evacuated data centre.
TEST_CASE("a balancer places no flow in an evacuated data centre")
{
    pass_balancer_state state = make_following_balancer();
    pass_actions out;
    REQUIRE(evacuate(state, 9, {"a", "nowhere"}, out) ==
            evacuation_update::changed);
    CHECK(candidates_for(state, orders, start) ==
          std::vector<host_address>{agent_c});
    // A status of an agent that does not know the evacuation changes nothing.
    handle_status(state, make_status(agent_a, "a"), start, out);
    CHECK(candidates_for(state, orders, start) ==
          std::vector<host_address>{agent_c});
    CHECK(evacuate(state, 10, {}, out) == evacuation_update::changed);
    handle_status(state, make_status(agent_a, "a"), start, out);
    handle_status(state, make_status(agent_b, "a"), start, out);
    CHECK(candidates_for(state, orders, start).size() == 3);
}

// Guards against evacuations that are applied where they are not enabled.
TEST_CASE("processes without the setting ignore evacuations")
{
    pass_balancer_state balancer = make_balancer();
    pass_actions out;
    CHECK(evacuate(balancer, 9, {"a"}, out) == evacuation_update::ignored);
    CHECK(candidates_for(balancer, orders, start).size() == 3);
    CHECK(out.datagrams_.empty());
    CHECK_FALSE(is_known(balancer.evacuations_));

    pass_agent_state agent = make_agent();
    agent.settings_.data_centre_ = data_centre("a");
    CHECK(evacuate(agent, 9, {"a"}, out) == evacuation_update::ignored);
    CHECK(accepts_new_flows(agent, start));
}

// Guards against peers and agents that learn of an evacuation too late, and
// against hellos for each read of an unchanged collection.
TEST_CASE("a change is announced to all peers and agents at once")
{
    pass_balancer_state state = make_following_balancer();
    const host_address peer(0x0a010002);
    pass_actions listed;
    add_listed_peer(state, peer, start, listed);
    pass_actions out;
    evacuate(state, 9, {"a"}, out);
    for (const host_address host : {peer, agent_a, agent_b, agent_c})
    {
        CAPTURE(to_string(host));
        const auto hellos = hellos_to(out, host);
        REQUIRE(hellos.size() == 1);
        CHECK(hellos[0].evacuations_.revision_ == object_version(9));
        CHECK(hellos[0].evacuations_.data_centres_ ==
              std::vector<data_centre>{data_centre("a")});
        // Evacuated agents have no subscription.
        CHECK(hellos[0].probe_ == (host == agent_a || host == agent_b));
    }
    pass_actions renewed;
    CHECK(evacuate(state, 10, {"a"}, renewed) == evacuation_update::renewed);
    CHECK(renewed.datagrams_.empty());
    CHECK(evacuate(state, 8, {}, renewed) == evacuation_update::ignored);

    pass_actions regular;
    send_hellos(state, start + seconds(5), regular);
    const auto hellos = hellos_to(regular, agent_a);
    REQUIRE_FALSE(hellos.empty());
    CHECK(hellos[0].evacuations_.revision_ == object_version(10));
}

// Load pattern: the data centre of the balancer is evacuated, and its callers
// continue to arrive there. Guards against too few agents for them.
TEST_CASE("agents of other data centres replace the evacuated ones")
{
    pass_balancer_state state = make_following_balancer();
    pass_actions out;
    for (std::uint32_t i = 0; i < 20; ++i)
    {
        handle_status(state, make_status(host_address(0x0a020000 + i), "a"),
                      start, out);
        handle_status(state, make_status(host_address(0x0a030000 + i), "b"),
                      start, out);
    }
    evacuate(state, 9, {"a"}, out);
    const auto& subscribed = state.services_.at(orders).subscribed_;
    CHECK(subscribed.size() == state.settings_.subscriptions_.min_total_);
    CHECK(std::all_of(subscribed.begin(), subscribed.end(),
                      [&](host_address host) {
                          return state.agents_.at(host).status_.data_centre_ ==
                                 data_centre("b");
                      }));
}

// Guards against opening segments that reach an evacuated data centre as
// retransmissions, at an agent that does not know the evacuation.
TEST_CASE("a retransmission leaves the evacuated data centre")
{
    pass_balancer_state state = make_following_balancer();
    pass_actions placed;
    handle_caller_segment(state, make_opening(1), sample_bytes(), start,
                          placed);
    const host_address first = state.flows_.at(make_flow(1)).owner_;
    REQUIRE(first != agent_c);
    pass_actions out;
    evacuate(state, 9, {"a"}, out);
    segment_header again = make_opening(1);
    again.ack_number_ = 1;
    pass_actions retransmitted;
    handle_caller_segment(state, again, sample_bytes(),
                          start + milliseconds(200), retransmitted);
    CHECK(receivers_of_places(retransmitted) ==
          std::vector<host_address>{agent_c});
    CHECK(find_message<place_message>(retransmitted)->earlier_agent_ == first);

    // With no agent left, the segment is dropped: a reset would end a flow that
    // the first agent has opened.
    evacuate(state, 10, {"a", "b"}, out);
    pass_actions dropped;
    handle_caller_segment(state, again, sample_bytes(),
                          start + milliseconds(400), dropped);
    handle_tick(state, start + seconds(2), dropped);
    CHECK(receivers_of_places(dropped).empty());
    CHECK(count(dropped, pass_target::reset) == 0);
}

// Guards against openings from balancers that do not know the evacuation yet.
TEST_CASE("an evacuated agent passes opening segments on and says so")
{
    pass_agent_state state = make_following_agent();
    pass_actions out;
    CHECK(evacuate(state, 9, {"b"}, out) == evacuation_update::changed);
    CHECK(accepts_new_flows(state, start));
    state.status_changed_ = false;
    CHECK(evacuate(state, 10, {"a"}, out) == evacuation_update::changed);
    CHECK(state.status_changed_);
    CHECK_FALSE(status_of(state, start).accepting_);

    handle_place(state, make_place({agent_b, agent_c}), make_opening(1), start,
                 out);
    CHECK(count(out, pass_target::upstream) == 0);
    CHECK(receivers_of_places(out) == std::vector<host_address>{agent_b});

    // Without another agent the opening is refused; it was never offered.
    pass_actions refused;
    handle_place(state, make_place(), make_opening(2), start, refused);
    CHECK(count(refused, pass_target::upstream) == 0);
    CHECK(count(refused, pass_target::reset) == 1);

    CHECK(evacuate(state, 11, {}, out) == evacuation_update::changed);
    CHECK(accepts_new_flows(state, start));
}

// Guards against a status to all balancers with each report.
TEST_CASE("reports do not change the status of an evacuated agent")
{
    pass_agent_state state = make_following_agent();
    pass_actions out;
    evacuate(state, 9, {"a"}, out);
    state.status_changed_ = false;
    apply_report(state, make_report(1000, 2), start + seconds(1), out);
    CHECK_FALSE(state.status_changed_);
}

// Guards against waiting opening segments that the upstream gets after the
// evacuation, and against resets of open flows.
TEST_CASE("queued segments leave an evacuated agent, and open flows stay")
{
    pass_agent_state state = make_following_agent();
    for (std::uint16_t port = 1; port <= 5; ++port)
    {
        open_flow(state, port, start);
    }
    place_message place = make_place();
    place.visits_ = {{agent_b, 9.0}};
    pass_actions queued;
    handle_place(state, place, make_opening(9), start, queued);
    REQUIRE(state.queue_.size() == 1);
    pass_actions out;
    evacuate(state, 9, {"a"}, out);
    CHECK(state.queue_.empty());
    CHECK(receivers_of_places(out) == std::vector<host_address>{agent_b});
    CHECK(count(out, pass_target::reset) == 0);

    pass_actions segments;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, start + milliseconds(10), segments);
    CHECK(count(segments, pass_target::upstream) == 1);
    handle_upstream_segment(state, make_answer(1), sample_bytes(),
                            start + milliseconds(20), segments);
    CHECK(count(segments, pass_target::caller) == 1);
}

// Guards against a retransmission that opens a flow at an evacuated upstream,
// and against a reset of the flow that it may have opened already.
TEST_CASE("an evacuated agent sends retransmissions to another one")
{
    pass_agent_state state = make_following_agent();
    pass_actions out;
    handle_place(state, make_place({agent_b}), make_opening(1), start, out);
    REQUIRE(count(out, pass_target::upstream) == 1);
    evacuate(state, 9, {"a"}, out);
    pass_actions retransmitted;
    handle_place(state, make_place({agent_b}), make_opening(1),
                 start + milliseconds(20), retransmitted);
    CHECK(count(retransmitted, pass_target::upstream) == 0);
    CHECK(receivers_of_places(retransmitted) ==
          std::vector<host_address>{agent_b});
    CHECK(find_message<place_message>(retransmitted)->earlier_agent_ ==
          agent_a);

    // The second agent may not refuse the segment with a reset.
    pass_agent_state second = make_agent(agent_b);
    second.shutting_down_ = true;
    pass_actions refused;
    handle_place(second, *find_message<place_message>(retransmitted),
                 make_opening(1), start + milliseconds(20), refused);
    CHECK(count(refused, pass_target::reset) == 0);

    // The first agent still has the flow if the caller accepts its answer.
    handle_upstream_segment(state, make_opening_answer(1, 9000), sample_bytes(),
                            start + milliseconds(21), out);
    pass_actions request;
    handle_caller_segment(state, make_request(1, 9000), sample_bytes(),
                          balancer_x, start + milliseconds(30), request);
    CHECK(count(request, pass_target::upstream) == 1);

    pass_actions late;
    handle_place(state, make_place({agent_b}), make_opening(1),
                 start + milliseconds(200), late);
    CHECK(count(late, pass_target::upstream) == 0);
    CHECK(receivers_of_places(late).empty());
    CHECK(count(late, pass_target::reset) == 0);
}

// Load pattern: steady openings while a data centre is evacuated, and one of
// the two kinds of processes does not get the state. Guards against checks
// that depend on each other.
TEST_CASE("balancers and agents evacuate independently of each other")
{
    for (const bool balancer_knows : {false, true})
    {
        CAPTURE(balancer_knows);
        pass_balancer_state balancer = make_following_balancer();
        std::unordered_map<host_address, pass_agent_state> agents;
        for (const host_address host : {agent_a, agent_b, agent_c})
        {
            agents.emplace(host, make_agent(host));
            agents.at(host).settings_.follows_evacuations_ = true;
            agents.at(host).settings_.data_centre_ =
                data_centre(host == agent_c ? "b" : "a");
        }
        pass_actions ignored;
        if (balancer_knows)
        {
            evacuate(balancer, 9, {"a"}, ignored);
        }
        else
        {
            for (auto& entry : agents)
            {
                evacuate(entry.second, 9, {"a"}, ignored);
            }
        }
        std::size_t offered_elsewhere = 0;
        for (std::uint16_t port = 1; port <= 100; ++port)
        {
            const instant now = start + milliseconds(port);
            pass_actions placed;
            handle_caller_segment(balancer, make_opening(port), sample_bytes(),
                                  now, placed);
            std::vector<pass_datagram> pending = placed.datagrams_;
            while (!pending.empty())
            {
                const pass_datagram datagram = pending.back();
                pending.pop_back();
                if (datagram.target_ != pass_target::peer ||
                    !std::holds_alternative<place_message>(*datagram.message_))
                {
                    continue;
                }
                pass_actions out;
                handle_place(agents.at(datagram.host_),
                             std::get<place_message>(*datagram.message_),
                             make_opening(port), now, out);
                if (count(out, pass_target::upstream) > 0)
                {
                    CHECK(datagram.host_ == agent_c);
                    ++offered_elsewhere;
                }
                pending.insert(pending.end(), out.datagrams_.begin(),
                               out.datagrams_.end());
            }
        }
        CHECK(offered_elsewhere > 0);
    }
}
