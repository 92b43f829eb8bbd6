/// \file
/// Exchange with other balancers.

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

/// Takes updates that `source` pushed. True if one of them builds on something
/// that is not known here.
bool apply_pushed(state_replica& known,
                  capnp::List<rpc::Update>::Reader updates,
                  const std::string& source);

/// Sends news to those who subscribed.
class subscribers
{
public:
    /// Both outlive this.
    subscribers(control_loop& loop, state_replica& known);

    /// Sends every later update to `to`, until a call to it fails.
    void add(rpc::Subscriber::Client to);

    /// Tells all that nothing more will come, and forgets them.
    void end();

    /// How many there are.
    std::size_t count() const
    {
        return clients_.size();
    }

private:
    void schedule(const state_update& update);
    void push_pending();
    kj::Promise<void> push(std::uint64_t id);

    control_loop& loop_;
    // By pointer: a pair of the standard library cannot hold a capability,
    // whose copy constructor takes no const.
    std::map<std::uint64_t, std::unique_ptr<rpc::Subscriber::Client>> clients_;
    std::uint64_t next_id_ = 0;
    std::vector<state_update> pending_;
    bool scheduled_ = false;
};

/// Takes what another balancer pushes.
class subscriber_server final : public rpc::Subscriber::Server
{
public:
    /// What the owner of the subscription does.
    struct events
    {
        /// An update builds on something that is not known here.
        std::function<void()> gap_;
        /// Nothing more will come.
        std::function<void()> ended_;
    };

    /// `known` outlives this; `source` is for the log.
    subscriber_server(state_replica& known, std::string source, events on);

    kj::Promise<void> push(PushContext context) override;
    kj::Promise<void> ended(EndedContext context) override;

private:
    state_replica& replica_;
    std::string source_;
    events on_;
};

/// Other balancers: news goes to a few random ones at once, and a periodic
/// exchange with a random one heals what that missed.
class peers
{
public:
    /// All outlive this. `self` is where this balancer takes calls.
    peers(control_loop& loop, state_replica& known, metrics_registry& metrics,
          const endpoint& self, std::function<double()> random);

    /// A peer that is never forgotten.
    void add_seed(const endpoint& peer);

    /// A peer that was heard of; forgotten when it doesn't answer.
    void add(const endpoint& peer);

    /// Some peers to tell another balancer of.
    std::vector<endpoint> sample();

    /// Exchanges digests with a random peer and pulls what is missing here.
    kj::Promise<void> exchange();

    /// Exchanges over an open connection.
    kj::Promise<void> exchange_with(rpc::Balancer::Client peer,
                                    const std::string& source);

    /// Peers known now.
    std::vector<endpoint> all() const;

    /// Why the last exchange failed; empty if it went well.
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

    void schedule_gossip(const state_update& news);
    void send_gossip();
    kj::Promise<void> push_to(const endpoint& peer,
                              const std::vector<state_update>& news);
    bool pick(endpoint& picked);
    void record_success(const endpoint& peer);
    void record_failure(const endpoint& peer, const std::string& why);
    void add_peers(capnp::List<rpc::Endpoint>::Reader addresses);
    kj::Promise<void> pull(rpc::Balancer::Client peer,
                           const state_versions& have,
                           const std::string& source, bool peer_is_ready);

    control_loop& loop_;
    state_replica& replica_;
    counter& exchanges_;
    counter& failed_;
    counter& pulls_;
    endpoint self_;
    std::function<double()> random_;
    std::map<endpoint, peer_record> peers_;
    std::vector<state_update> pending_gossip_;
    bool gossip_scheduled_ = false;
    std::string last_failure_ = "no peer is known";
};

} // namespace galenafork

#endif
