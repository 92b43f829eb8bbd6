/// \file
/// The RPC interface of galena-balancer and its status page.

#ifndef GALENAFORK_GALENA_BALANCER_BALANCER_SERVER_H
#define GALENAFORK_GALENA_BALANCER_BALANCER_SERVER_H

#include "peers.h"

#include <libdaemon/control.capnp.h>

#include <functional>
#include <string>

namespace galenafork
{

/// What the server answers from; all outlive it.
struct server_dependencies
{
    state_replica& replica_;
    peers& peers_;
    subscribers& subscribers_;
    /// JSON for operators.
    std::function<std::string()> status_;
    std::function<readiness()> readiness_;
    std::function<bool()> is_relay_;
    /// Called when pushed news builds on something that is not known here.
    std::function<void()> on_gap_;
};

/// Answers operators and other balancers.
class balancer_server final : public rpc::Balancer::Server
{
public:
    explicit balancer_server(server_dependencies dependencies);

    kj::Promise<void> status(StatusContext context) override;
    kj::Promise<void> explain(ExplainContext context) override;
    kj::Promise<void> digest(DigestContext context) override;
    kj::Promise<void> pull(PullContext context) override;
    kj::Promise<void> subscribe(SubscribeContext context) override;
    kj::Promise<void> push(PushContext context) override;
    kj::Promise<void> ended(EndedContext context) override;

private:
    server_dependencies dependencies_;
};

/// Where a packet of `flow` goes by `snapshot` (null: no rules yet), and why,
/// as JSON.
std::string explain_flow(const routing_snapshot* snapshot,
                         const flow_key& flow);

} // namespace galenafork

#endif
