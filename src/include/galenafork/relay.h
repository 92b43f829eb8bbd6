/// \file
/// Election of relays: the few balancers of a data centre that watch the
/// platform and forward updates to the others. Surplus relays cost extra
/// platform calls and missing relays delay updates, but routing stays correct.

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

/// One relay in the list.
struct relay_entry
{
    instance_id instance_;
    incarnation incarnation_;
    /// Where the relay accepts RPC calls.
    endpoint rpc_endpoint_;
    /// Increases with each renewal of the lease.
    std::uint64_t renewal_count_ = 0;
};

/// The relays of one data centre. The list is the value of one platform object,
/// which is changed by conditional updates only.
struct relay_list
{
    std::vector<relay_entry> relays_;
    write_id last_write_id_;
};

/// Target number of relays and the length of their leases.
struct relay_settings
{
    std::uint64_t relay_count_ = 2;
    /// A relay without a renewal for this time is dropped from the list.
    duration lease_ = std::chrono::seconds(6);
};

/// One balancer's view of the list.
struct relay_view
{
    relay_list list_;
    /// When the current renewal count of each relay was first seen.
    std::map<instance_id, instant> renewal_seen_at_;
    /// When this balancer last wrote its own entry.
    instant last_renewed_at_;
};

/// Returns the name of the platform object that holds the relays of `dc`.
std::string relay_object_name(const data_centre& dc);

/// Updates `view` with a list that was read at `now`.
void update_relay_view(relay_view& view, const relay_list& list, instant now);

/// True if `self` is on the list with its current incarnation.
bool is_relay(const relay_view& view, const relay_entry& self);

/// Returns the list to write in place of the one in `view`: relays with an
/// expired lease are dropped, and `self` is renewed if its renewal is due, or
/// added if there are fewer relays than wanted. Returns nothing if `self` is
/// neither to be renewed nor added.
std::optional<relay_list> next_relay_list(const relay_view& view,
                                          const relay_entry& self,
                                          const relay_settings& settings,
                                          instant now);

/// True if `relay` is the one of `list` that watches the roster of `service`
/// and forwards its updates. Rosters are assigned to relays by rendezvous
/// hashing, so that a change of the list reassigns few of them.
bool is_assigned_relay(const relay_list& list, const instance_id& relay,
                       const service_name& service);

/// Returns the JSON form that is stored in the platform.
std::string to_json(const relay_list& list);

/// Parses the output of `to_json`. Fails with `bad_message`.
tl::expected<relay_list, error> relay_list_from_json(const std::string& text);

} // namespace galenafork

#endif
