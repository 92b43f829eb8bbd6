/// \file
/// Exchange with other balancers.

#ifndef GALENAFORK_GALENA_BALANCER_PEERS_H
#define GALENAFORK_GALENA_BALANCER_PEERS_H

#include "knowledge.h"

#include <galenafork/control_loop.h>
#include <libdaemon/control.capnp.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace galenafork
{

/// Sends news to those who subscribed.
class subscribers
{
public:
    /// Both outlive this.
    subscribers(control_loop& loop, knowledge& known);

    /// Sends every later update to `to`, until a call to it fails.
    void add(rpc::Subscriber::Client to);

    /// How many there are.
    std::size_t count() const
    {
        return clients_.size();
    }

private:
    void schedule(const spread_update& update);
    void push_pending();
    kj::Promise<void> push(std::uint64_t id);

    control_loop& loop_;
    std::map<std::uint64_t, rpc::Subscriber::Client> clients_;
    std::uint64_t next_id_ = 0;
    std::vector<spread_update> pending_;
    bool scheduled_ = false;
};

/// Takes what another balancer pushes.
class subscriber_server final : public rpc::Subscriber::Server
{
public:
    /// `known` outlives this; `source` is for the log; `on_gap` is called when
    /// an update builds on something that is not known here.
    subscriber_server(knowledge& known, std::string source,
                      std::function<void()> on_gap);

    kj::Promise<void> push(PushContext context) override;

private:
    knowledge& known_;
    std::string source_;
    std::function<void()> on_gap_;
};

/// Other balancers and the periodic exchange with a random one.
class peers
{
public:
    /// All outlive this. `self` is where this balancer takes calls.
    peers(control_loop& loop, knowledge& known, metrics_registry& metrics,
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
                                    std::string source);

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

    bool pick(endpoint& picked);
    void note_success(const endpoint& peer);
    void note_failure(const endpoint& peer, const std::string& why);
    void take_peers(capnp::List<rpc::Endpoint>::Reader addresses);
    kj::Promise<void> pull(rpc::Balancer::Client peer,
                           const spread_versions& have, std::string source,
                           bool peer_is_ready);

    control_loop& loop_;
    knowledge& known_;
    counter& exchanges_;
    counter& failed_;
    counter& pulls_;
    endpoint self_;
    std::function<double()> random_;
    std::map<endpoint, peer_record> peers_;
    std::string last_failure_ = "no peer is known";
};

} // namespace galenafork

#endif
