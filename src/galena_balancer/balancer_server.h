/// \file
/// The RPC interface of galena-balancer.

#ifndef GALENAFORK_GALENA_BALANCER_BALANCER_SERVER_H
#define GALENAFORK_GALENA_BALANCER_BALANCER_SERVER_H

#include "peers.h"

#include <libdaemon/control.capnp.h>

#include <functional>
#include <string>

namespace galenafork
{

/// Dependencies of the RPC server; the references must outlive it.
struct server_dependencies
{
    state_replica& replica_;
    peers& peers_;
    subscribers& subscribers_;
    /// Returns the status as JSON for operators.
    std::function<std::string()> status_;
    std::function<readiness()> readiness_;
    std::function<bool()> is_relay_;
    /// Called when a pushed update builds on a version that is missing here.
    std::function<void()> on_gap_;
};

/// Serves the calls of operators and other balancers.
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

/// Returns JSON that explains where `snapshot` sends a packet of `flow`, and
/// why. `snapshot` is null while the balancer has no rules.
std::string explain_flow(const routing_snapshot* snapshot,
                         const flow_key& flow);

} // namespace galenafork

#endif
