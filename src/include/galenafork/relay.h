/// \file
/// Election of relays: the few balancers of a data centre that follow the
/// platform and pass news on to the others. More or fewer relays than wanted
/// cost calls or time, never correctness.

#ifndef GALENAFORK_RELAY_H
#define GALENAFORK_RELAY_H

#include <galenafork/endpoint.h>
#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// One relay.
struct relay_entry
{
    instance_id instance_;
    incarnation incarnation_;
    /// Where it takes RPC calls.
    endpoint rpc_endpoint_;
    /// Rises with each renewal.
    std::uint64_t renewal_count_ = 0;
};

/// The relays of one data centre: the value of one platform object, changed
/// by conditional update only.
struct relay_list
{
    std::vector<relay_entry> relays_;
    write_id last_write_id_;
};

/// How many relays there should be, and how they hold their places.
struct relay_settings
{
    std::uint64_t relay_count_ = 2;
    /// A relay whose beat stood still for so long has lost its place.
    duration lease_ = std::chrono::seconds(6);
};

/// What one balancer has seen of the list.
struct relay_view
{
    relay_list list_;
    /// When the present beat of each relay was first seen.
    std::map<instance_id, instant> renewal_seen_at_;
    /// When this balancer last renewed or claimed its place.
    instant last_renewed_at_;
};

/// Name of the platform object that holds the relays of `dc`.
std::string relay_object_name(const data_centre& dc);

/// Takes a list that was read at `now`.
void update_relay_view(relay_view& view, const relay_list& list, instant now);

/// True if `self` is on the list in its present incarnation.
bool is_relay(const relay_view& view, const relay_entry& self);

/// The list to write in place of the one seen last: with a renewed beat of
/// `self` if that is due, or with `self` on a free place; without relays that
/// lost their place. Nothing if there is nothing to write.
std::optional<relay_list> next_relay_list(const relay_view& view,
                                          const relay_entry& self,
                                          const relay_settings& settings,
                                          instant now);

/// True if `relay` is the one of `list` that watches the roster of `service`:
/// relays share them out, and each passes its part on to the others. Moves few
/// services when the list changes.
bool is_assigned_relay(const relay_list& list, const instance_id& relay,
                       const service_name& service);

/// The JSON form kept in the platform.
std::string to_json(const relay_list& list);

/// Reads what `to_json` wrote. Fails with `bad_message`.
tl::expected<relay_list, error> relay_list_from_json(const std::string& text);

} // namespace galenafork

#endif
