/// \file
/// Sample rosters and members for unit tests.

#ifndef GALENAFORK_LIBVIRTUAL_ROSTER_SAMPLES_H
#define GALENAFORK_LIBVIRTUAL_ROSTER_SAMPLES_H

#include <galenafork/roster.h>

namespace galenafork::testing
{

/// Returns the serving member `orders-N` with three slots, in one of three data
/// centres.
inline member make_member(int n)
{
    member m;
    m.instance_ = instance_id("orders-" + std::to_string(n));
    m.incarnation_ = incarnation(static_cast<std::uint64_t>(100 + n));
    m.data_centre_ = data_centre("dc-" + std::to_string(n % 3));
    m.packet_endpoint_ =
        endpoint{make_v4(127, 0, 0, 1), static_cast<std::uint16_t>(7000 + n)};
    m.control_endpoint_ =
        endpoint{make_v4(127, 0, 0, 1), static_cast<std::uint16_t>(8000 + n)};
    m.slots_ = slot_count(3);
    m.state_ = member_state::serving;
    return m;
}

/// Returns the roster change by which `m` joins.
inline roster_change join_change(const member& m)
{
    return roster_change{roster_change_kind::join, m, write_id("w")};
}

/// Returns a roster of members 1 to `count` that joined one after another.
inline roster make_roster(int count)
{
    roster r;
    r.service_ = service_name("orders");
    for (int n = 1; n <= count; ++n)
    {
        r = *apply(r, join_change(make_member(n)));
    }
    return r;
}

} // namespace galenafork::testing

#endif
