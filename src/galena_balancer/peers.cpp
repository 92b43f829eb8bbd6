#include "peers.h"

#include <galenafork/log.h>
#include <galenafork/replicated_state_codec.h>

#include <algorithm>
#include <set>

namespace galenafork
{

namespace
{

constexpr std::size_t max_peers = 64;
constexpr std::size_t peer_sample_size = 8;
constexpr unsigned max_consecutive_failures = 3;

// Time limit of a digest exchange, including the pull that follows, and of a
// gossip call.
constexpr auto exchange_timeout = 3 * kj::SECONDS;

// Number of random peers that a balancer sends a new update to. All balancers
// have the update after a few rounds with high probability.
constexpr std::size_t gossip_fan_out = 3;

// A larger batch comes from a start or a catch-up and is not gossiped, because
// the other balancers have these updates already.
constexpr std::size_t max_gossip_updates = 16;

// Updates that arrive within this time are sent in one call.
constexpr auto gossip_delay = 5 * kj::MILLISECONDS;

} // namespace

peers::peers(control_loop& loop, state_replica& replica,
             metrics_registry& metrics, const endpoint& self,
             std::function<double()> random)
    : loop_(loop), replica_(replica),
      exchanges_(metrics.add_counter("galena_balancer_exchanges_total",
                                     "Digest exchanges started with a peer.")),
      failed_exchanges_(metrics.add_counter(
          "galena_balancer_exchanges_failed_total",
          "Digest exchanges and gossip calls that failed.")),
      pulls_(metrics.add_counter("galena_balancer_pulls_total",
                                 "Pulls of missing updates from a peer.")),
      self_(self), random_(std::move(random))
{
    replica_.add_listener([this](const state_update& update)
                          { schedule_gossip(update); });
}

void peers::schedule_gossip(const state_update& update)
{
    if (peers_.empty() || pending_gossip_.size() > max_gossip_updates)
    {
        return;
    }
    pending_gossip_.push_back(update);
    if (gossip_scheduled_)
    {
        return;
    }
    gossip_scheduled_ = true;
    loop_.add_task(
        "gossip",
        loop_.timer().afterDelay(gossip_delay).then([this] { send_gossip(); }));
}

void peers::send_gossip()
{
    gossip_scheduled_ = false;
    const auto updates = std::move(pending_gossip_);
    pending_gossip_.clear();
    if (updates.size() > max_gossip_updates)
    {
        return;
    }
    std::set<endpoint> targets;
    for (std::size_t i = 0; i < gossip_fan_out; ++i)
    {
        endpoint peer;
        if (pick_random(peer) && targets.insert(peer).second)
        {
            loop_.add_task("gossip", push_to(peer, updates));
        }
    }
}

kj::Promise<void> peers::push_to(const endpoint& peer,
                                 const std::vector<state_update>& updates)
{
    auto push = loop_.connect(peer).then(
        [updates](std::unique_ptr<rpc_connection>&& connection)
        {
            auto request =
                connection->bootstrap().castAs<rpc::Balancer>().pushRequest();
            auto out =
                request.initUpdates(static_cast<unsigned>(updates.size()));
            for (unsigned i = 0; i < out.size(); ++i)
            {
                write(out[i], updates[i]);
            }
            return request.send().ignoreResult().attach(kj::mv(connection));
        });
    return loop_.timer()
        .timeoutAfter(exchange_timeout, kj::mv(push))
        .then([] {}, [this, peer](kj::Exception&& failure)
              { record_failure(peer, failure.getDescription().cStr()); });
}

void peers::add_seed(const endpoint& peer)
{
    if (peer != self_)
    {
        peers_[peer].seed_ = true;
    }
}

void peers::add(const endpoint& peer)
{
    const bool has_room = peers_.size() < max_peers;
    if (peer.port_ != 0 && peer != self_ && has_room)
    {
        peers_.emplace(peer, peer_record());
    }
}

std::vector<endpoint> peers::sample()
{
    std::vector<endpoint> picked;
    const std::size_t wanted = std::min(peer_sample_size, peers_.size());
    for (std::size_t i = 0; i < wanted; ++i)
    {
        endpoint peer;
        if (pick_random(peer))
        {
            picked.push_back(peer);
        }
    }
    return picked;
}

std::vector<endpoint> peers::all() const
{
    std::vector<endpoint> result;
    for (const auto& [peer, record] : peers_)
    {
        result.push_back(peer);
    }
    return result;
}

bool peers::pick_random(endpoint& picked)
{
    if (peers_.empty())
    {
        return false;
    }
    const auto size = static_cast<double>(peers_.size());
    auto at = peers_.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(random_() * size));
    picked = at->first;
    return true;
}

kj::Promise<void> peers::exchange()
{
    endpoint peer;
    if (!pick_random(peer))
    {
        return kj::READY_NOW;
    }
    exchanges_.add();
    auto pending_exchange = loop_.connect(peer).then(
        [this, peer](std::unique_ptr<rpc_connection>&& connection)
        {
            auto client = connection->bootstrap().castAs<rpc::Balancer>();
            return exchange_with(kj::mv(client), to_string(peer))
                .attach(kj::mv(connection));
        });
    return loop_.timer()
        .timeoutAfter(exchange_timeout, kj::mv(pending_exchange))
        .then([this, peer] { record_success(peer); },
              [this, peer](kj::Exception&& failure)
              { record_failure(peer, failure.getDescription().cStr()); });
}

kj::Promise<void> peers::exchange_with(rpc::Balancer::Client peer,
                                       const std::string& source)
{
    auto request = peer.digestRequest();
    write(request.initCaller(), self_);
    return request.send().then(
        [this, peer, source](
            capnp::Response<rpc::Balancer::DigestResults>&& response) mutable
        -> kj::Promise<void>
        {
            add_peers(response.getPeers());
            const auto peer_digest = read(response.getDigest());
            if (!peer_digest)
            {
                return kj::READY_NOW;
            }
            const auto have =
                differing_versions(replica_.state(), *peer_digest);
            if (have.groups_.empty() &&
                peer_digest->rules_version_ <= have.rules_version_)
            {
                if (response.getReady())
                {
                    replica_.mark_all_looked_up();
                }
                return kj::READY_NOW;
            }
            return pull(kj::mv(peer), have, source, response.getReady());
        });
}

kj::Promise<void> peers::pull(rpc::Balancer::Client peer,
                              const state_versions& have,
                              const std::string& source, bool peer_is_ready)
{
    pulls_.add();
    auto request = peer.pullRequest();
    write(request.initHave(), have);
    return request.send().then(
        [this, source,
         peer_is_ready](capnp::Response<rpc::Balancer::PullResults>&& response)
        {
            for (const auto in : response.getUpdates())
            {
                if (const auto update = read(in))
                {
                    replica_.apply_update(*update, source);
                }
            }
            if (peer_is_ready)
            {
                replica_.mark_all_looked_up();
            }
        });
}

void peers::add_peers(capnp::List<rpc::Endpoint>::Reader addresses)
{
    for (const auto in : addresses)
    {
        if (const auto peer = read(in))
        {
            add(*peer);
        }
    }
}

void peers::record_success(const endpoint& peer)
{
    last_failure_.clear();
    const auto at = peers_.find(peer);
    if (at != peers_.end())
    {
        at->second.failures_ = 0;
    }
}

void peers::record_failure(const endpoint& peer, const std::string& reason)
{
    failed_exchanges_.add();
    last_failure_ = "peer " + to_string(peer) + ": " + reason;
    const auto at = peers_.find(peer);
    if (at == peers_.end())
    {
        return;
    }
    ++at->second.failures_;
    if (!at->second.seed_ && at->second.failures_ >= max_consecutive_failures)
    {
        peers_.erase(at);
    }
}

} // namespace galenafork
