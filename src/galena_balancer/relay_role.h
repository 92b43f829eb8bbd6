/// \file
/// This balancer's part among the relays of its data centre.

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

/// Who this balancer is among the relays.
struct relay_identity
{
    data_centre data_centre_;
    relay_entry self_;
};

/// What the relay role works with; all outlive it.
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

/// Either follows the platform as a relay, or subscribes to relays. Calls the
/// platform only while it is a relay or lacks subscriptions.
class relay_role
{
public:
    relay_role(relay_identity identity, const relay_settings& settings,
               relay_dependencies dependencies);

    /// Begins.
    void start();

    /// True while it follows the platform.
    bool is_relay_now() const
    {
        return relay_;
    }

    /// Relays that this balancer is subscribed to.
    std::size_t link_count() const
    {
        return links_.size();
    }

    /// Catches up on `service` after an agent told of a newer roster: from the
    /// platform on a relay, else from a relay.
    void catch_up(const service_name& service);

private:
    struct link
    {
        std::unique_ptr<rpc_connection> connection_;
        rpc::Balancer::Client client_;
        std::string name_;
    };

    void tick();
    kj::Promise<void> read_list();
    kj::Promise<void> write_list(unsigned attempts);
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
    relay_view view_;
    object_version version_ = no_object_version;
    std::map<endpoint, std::unique_ptr<link>> links_;
    /// Relays that are being connected to.
    std::set<endpoint> connecting_;
    /// The relays that share the rosters out now.
    std::vector<relay_entry> assigned_relays_;
    bool relay_ = false;
    bool list_call_pending_ = false;
    bool exchanging_ = false;
    instant next_read_;
};

} // namespace galenafork

#endif
