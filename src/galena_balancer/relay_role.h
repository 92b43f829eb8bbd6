/// \file
/// Election of this balancer as a relay of its data centre, and its
/// subscriptions to the relays.

#ifndef GALENAFORK_GALENA_BALANCER_RELAY_ROLE_H
#define GALENAFORK_GALENA_BALANCER_RELAY_ROLE_H

#include "peers.h"
#include "platform_watch.h"

#include <galenafork/relay.h>

#include <functional>
#include <map>
#include <set>

namespace galenafork
{

/// This balancer's data centre and its entry in the relay list.
struct relay_identity
{
    data_centre data_centre_;
    relay_entry self_;
};

/// Dependencies of `relay_role`; the references must outlive it.
struct relay_dependencies
{
    control_loop& loop_;
    platform_store& store_;
    platform_watch& watch_;
    state_replica& replica_;
    peers& peers_;
    subscribers& subscribers_;
    std::function<double()> random_;
    std::function<std::uint64_t()> random_bits_;
};

/// As a relay, follows the platform and subscribes to the other relays;
/// otherwise subscribes to relays only. Calls the platform only while this
/// balancer is a relay or lacks subscriptions.
class relay_role
{
public:
    relay_role(relay_identity identity, const relay_settings& settings,
               relay_dependencies dependencies);

    /// Starts the periodic work. Call once.
    void start();

    /// True while this balancer is a relay and follows the platform.
    bool is_relay_now() const
    {
        return is_relay_;
    }

    /// Returns the number of relays that this balancer is connected to.
    std::size_t link_count() const
    {
        return links_.size();
    }

    /// Gets the newest roster of `service` after an agent's notice that the one
    /// here is stale: from the platform if this balancer is a relay or
    /// connected to none, otherwise from a relay.
    void catch_up(const service_name& service);

private:
    struct link
    {
        std::unique_ptr<rpc_connection> connection_;
        rpc::Balancer::Client client_;
        std::string name_;
    };

    void tick();
    kj::Promise<void> read_relay_list();
    kj::Promise<void> write_relay_list(unsigned attempts);
    void handle_relay_list(object_version version, const relay_list& list);
    void set_relay(bool relay);
    void link_to_relays();
    kj::Promise<void> open_link(const endpoint& relay);
    void add_link(const endpoint& relay,
                  std::unique_ptr<rpc_connection> connection,
                  rpc::Balancer::Client client);
    kj::Promise<void> subscribe(const endpoint& relay,
                                rpc::Balancer::Client client);
    void drop_link_later(const endpoint& relay);
    void exchange_over_link();

    relay_identity identity_;
    relay_settings settings_;
    relay_dependencies dependencies_;
    relay_view relay_view_;
    object_version list_version_ = no_object_version;
    std::map<endpoint, std::unique_ptr<link>> links_;
    /// Relays whose connection is being opened.
    std::set<endpoint> connecting_;
    /// On a relay: the relays among which the rosters are currently
    /// distributed.
    std::vector<relay_entry> assigned_relays_;
    bool is_relay_ = false;
    bool list_call_pending_ = false;
    bool exchanging_ = false;
    instant next_list_call_at_;
};

} // namespace galenafork

#endif
