/// \file
/// Rules and rosters for tests and benchmarks.

#ifndef GALENAFORK_LIBBALANCER_SAMPLES_H
#define GALENAFORK_LIBBALANCER_SAMPLES_H

#include <galenafork/replicated_state.h>

#include <string>
#include <vector>

namespace galenafork::samples
{

/// Returns member `i` of a service. Its ports are 10000 + `i`.
inline member make_member(std::uint16_t i, std::uint64_t incarnation_number = 1)
{
    member m;
    m.instance_ = instance_id("m-" + std::to_string(i));
    m.incarnation_ = incarnation(incarnation_number);
    m.data_centre_ = data_centre("dc-" + std::to_string(i % 3));
    m.packet_endpoint_ = {make_v4(10, 0, 0, 1),
                          static_cast<std::uint16_t>(10'000 + i)};
    m.control_endpoint_ = {make_v4(10, 0, 0, 2),
                           static_cast<std::uint16_t>(10'000 + i)};
    m.slots_ = slot_count(3);
    m.state_ = member_state::serving;
    return m;
}

/// Returns the change that adds member `i`.
inline roster_change make_join(std::uint16_t i,
                               std::uint64_t incarnation_number = 1)
{
    return {roster_change_kind::join, make_member(i, incarnation_number),
            write_id("w" + std::to_string(i) + "." +
                     std::to_string(incarnation_number))};
}

/// Returns the change that removes member `i`.
inline roster_change make_remove(std::uint16_t i,
                                 std::uint64_t incarnation_number = 1)
{
    return {roster_change_kind::remove, make_member(i, incarnation_number),
            write_id("r" + std::to_string(i) + "." +
                     std::to_string(incarnation_number))};
}

/// Returns the name of service `i`.
inline service_name make_service(std::size_t i)
{
    return service_name("service-" + std::to_string(i));
}

/// Returns the roster of `service` after members 0 to `members` - 1 joined.
inline roster make_roster(const service_name& service, std::uint16_t members)
{
    roster r;
    r.service_ = service;
    for (std::uint16_t i = 0; i < members; ++i)
    {
        r = *apply(r, make_join(i));
    }
    return r;
}

/// Returns the address of rule `i`.
inline endpoint make_address(std::size_t i)
{
    return {make_v4(10, 9, static_cast<std::uint8_t>(i / 250),
                    static_cast<std::uint8_t>(1 + i % 250)),
            5683};
}

/// Returns rules for `count` services with one address each.
inline active_rules make_rules(std::uint64_t version, std::size_t count)
{
    std::vector<rule> rules;
    for (std::size_t i = 0; i < count; ++i)
    {
        rules.push_back(
            {make_address(i), rule_kind::udp, make_service(i), "Jana", i + 1});
    }
    return *make_active_rules(rules_version(version), format_rules(rules), "");
}

/// Returns the state with rules and rosters of `services` services, each with
/// `members` members.
inline replicated_state make_state(std::size_t services, std::uint16_t members)
{
    replicated_state state;
    merge(state, make_rules(1, services));
    for (std::size_t i = 0; i < services; ++i)
    {
        merge(state, make_roster(make_service(i), members));
    }
    return state;
}

} // namespace galenafork::samples

#endif
