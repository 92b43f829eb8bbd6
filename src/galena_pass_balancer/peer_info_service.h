/// \file
/// A balancer's knowledge for peers that can't reach the store, over RPC.

#ifndef GALENA_PASS_BALANCER_PEER_INFO_SERVICE_H
#define GALENA_PASS_BALANCER_PEER_INFO_SERVICE_H

#include <galenafork/control_loop.h>
#include <libpassd/rules_follower.h>

namespace galenafork
{

/// What a peer knows of others.
struct member_lists
{
    std::vector<host_address> agents_;
    std::vector<host_address> balancers_;
};

/// The RPC interface that answers with `rules` and `members`.
capnp::Capability::Client
make_peer_info_service(std::function<const rules_text&()> rules,
                       std::function<member_lists()> members);

/// Asks the peer at `address` for its rules. Fails with `unavailable` or
/// `timed_out`.
kj::Promise<tl::expected<rules_text, error>> fetch_rules(control_loop& loop,
                                                         endpoint address);

/// Asks the peer at `address` for the members that it knows.
kj::Promise<tl::expected<member_lists, error>> fetch_members(control_loop& loop,
                                                             endpoint address);

} // namespace galenafork

#endif
