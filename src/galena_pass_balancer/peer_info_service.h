/// \file
/// RPC service that gives a balancer's rules and member lists to peers that
/// can't reach the store.

#ifndef GALENA_PASS_BALANCER_PEER_INFO_SERVICE_H
#define GALENA_PASS_BALANCER_PEER_INFO_SERVICE_H

#include <galenafork/control_loop.h>
#include <libpassd/rules_follower.h>

namespace galenafork
{

/// The agents and balancers on a balancer's lists.
struct member_lists
{
    std::vector<host_address> agents_;
    std::vector<host_address> balancers_;
};

/// Returns a new service, which calls `rules` or `members` for each request.
capnp::Capability::Client
make_peer_info_service(std::function<const rules_text&()> rules,
                       std::function<member_lists()> members);

/// Fetches the rules of the balancer at `address`; version zero if it has none.
/// Fails with `unavailable` or `timed_out`.
kj::Promise<tl::expected<rules_text, error>> fetch_rules(control_loop& loop,
                                                         endpoint address);

/// Fetches the member lists of the balancer at `address`. Fails with
/// `unavailable` or `timed_out`.
kj::Promise<tl::expected<member_lists, error>> fetch_members(control_loop& loop,
                                                             endpoint address);

} // namespace galenafork

#endif
