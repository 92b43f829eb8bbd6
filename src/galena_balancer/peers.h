/// \file
/// Replication among balancers: gossip, digest exchange and subscriptions.

#ifndef GALENAFORK_GALENA_BALANCER_PEERS_H
#define GALENAFORK_GALENA_BALANCER_PEERS_H

#include "state_replica.h"

#include <galenafork/control_loop.h>
#include <libdaemon/control.capnp.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenafork
{

/// Applies updates that `source` pushed; those that can't be decoded are logged
/// and skipped. True if one of them builds on a version that `replica` lacks.
bool apply_pushed(state_replica& replica,
                  capnp::List<rpc::Update>::Reader updates,
                  const std::string& source);

/// Pushes updates to the balancers that subscribed.
class subscribers
{
public:
    /// Both must outlive this object.
    subscribers(control_loop& loop, state_replica& replica);

    /// Pushes every later update to `client`, until a push to it fails.
    void add(rpc::Subscriber::Client client);

    /// Notifies all subscribers that no more updates will come and removes
    /// them.
    void end_subscriptions();

    /// Returns the number of subscribers.
    std::size_t count() const
    {
        return clients_.size();
    }

private:
    void schedule(const state_update& update);
    void push_pending();
    kj::Promise<void> push(std::uint64_t id);

    control_loop& loop_;
    // By pointer, because std::pair can't hold a capability: its copy
    // constructor takes a non-const reference.
    std::map<std::uint64_t, std::unique_ptr<rpc::Subscriber::Client>> clients_;
    std::uint64_t next_id_ = 0;
    std::vector<state_update> pending_updates_;
    bool push_scheduled_ = false;
};

/// Receives the updates that a relay pushes to this balancer.
class subscriber_server final : public rpc::Subscriber::Server
{
public:
    /// Callbacks to the owner of the subscription.
    struct event_handlers
    {
        /// An update builds on a version that is missing here.
        std::function<void()> on_gap_;
        /// The relay will push no more updates.
        std::function<void()> on_ended_;
    };

    /// `replica` must outlive this object; `source` names the relay in the log.
    subscriber_server(state_replica& replica, std::string source,
                      event_handlers handlers);

    kj::Promise<void> push(PushContext context) override;
    kj::Promise<void> ended(EndedContext context) override;

private:
    state_replica& replica_;
    std::string source_;
    event_handlers handlers_;
};

/// The other balancers whose addresses this balancer has. An update is gossiped
/// to a few random peers at once; a periodic digest exchange with a random peer
/// recovers what the gossip missed.
class peers
{
public:
    /// The references must outlive this object. `self` is the RPC address of
    /// this balancer; `random` is uniform in [0, 1).
    peers(control_loop& loop, state_replica& replica, metrics_registry& metrics,
          const endpoint& self, std::function<double()> random);

    /// Adds a peer that is never removed.
    void add_seed(const endpoint& peer);

    /// Adds a peer unless the list is full. It is removed after several failed
    /// calls; an exchange that succeeds resets the count.
    void add(const endpoint& peer);

    /// Returns random peers for another balancer to add; a peer may occur
    /// twice.
    std::vector<endpoint> sample();

    /// Reads the digest of a random peer and pulls the updates that are missing
    /// here.
    kj::Promise<void> exchange();

    /// As `exchange`, with `peer` over an open connection; `source` names it in
    /// the log.
    kj::Promise<void> exchange_with(rpc::Balancer::Client peer,
                                    const std::string& source);

    /// Returns the addresses of all peers.
    std::vector<endpoint> all() const;

    /// Returns why the last call to a peer failed; empty if an exchange has
    /// succeeded since.
    const std::string& last_failure() const
    {
        return last_failure_;
    }

private:
    struct peer_record
    {
        bool seed_ = false;
        unsigned failures_ = 0;
    };

    void schedule_gossip(const state_update& update);
    void send_gossip();
    kj::Promise<void> push_to(const endpoint& peer,
                              const std::vector<state_update>& updates);
    bool pick_random(endpoint& picked);
    void record_success(const endpoint& peer);
    void record_failure(const endpoint& peer, const std::string& reason);
    void add_peers(capnp::List<rpc::Endpoint>::Reader addresses);
    kj::Promise<void> pull(rpc::Balancer::Client peer,
                           const state_versions& have,
                           const std::string& source, bool peer_is_ready);

    control_loop& loop_;
    state_replica& replica_;
    counter& exchanges_;
    counter& failed_exchanges_;
    counter& pulls_;
    endpoint self_;
    std::function<double()> random_;
    std::map<endpoint, peer_record> peers_;
    std::vector<state_update> pending_gossip_;
    bool gossip_scheduled_ = false;
    std::string last_failure_ = "no exchange with a peer yet";
};

} // namespace galenafork

#endif
