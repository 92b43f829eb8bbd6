/// \file
/// Routing of packets to members: an immutable table, built from rules and
/// rosters, that traffic threads read without a lock.

#ifndef GALENAFORK_ROUTING_H
#define GALENAFORK_ROUTING_H

#include <galenafork/error.h>
#include <galenafork/flow.h>
#include <galenafork/roster.h>
#include <galenafork/rules.h>

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace galenafork
{

/// A member that packets can be sent to.
struct route_target
{
    instance_incarnation member_;
    /// Where the member's agent receives forwarded packets.
    endpoint packet_endpoint_;
};

/// The effective home of each bucket of one service: the member that packets of
/// the bucket are sent to, which is the home unless the home cannot serve.
struct service_route
{
    service_name service_;
    /// Epoch of the roster; zero if there is no roster.
    epoch epoch_;
    std::vector<route_target> targets_;
    /// The expired members that `homes_` was computed with.
    expired_members expired_members_;
    /// Index into `targets_` of each bucket's effective home, or `no_member`.
    std::array<member_index, bucket_count> homes_{};
};

/// Computes the effective homes of `r`, given the expired members.
std::shared_ptr<const service_route> make_route(const roster& r,
                                                const expired_members& expired);

/// Returns the route of a service without a roster: no bucket has a home.
std::shared_ptr<const service_route> make_empty_route(const service_name& s);

/// The rules that a balancer acts on.
struct active_rules
{
    rules_version version_;
    /// The rule file as accepted.
    std::string text_;
    std::vector<rule> rules_;
    /// Removed rules whose address no active rule uses. Packets of their
    /// established flows are still forwarded.
    std::vector<rule> retired_;
};

/// Maps addresses to services, as an open-addressing hash table.
class address_table
{
public:
    /// One address with its service.
    struct entry
    {
        endpoint address_;
        /// Index into `services()`.
        std::uint32_t service_index_ = 0;
        /// True for a retired rule, under which no new flow may open.
        bool established_only_ = false;
        bool used_ = false;
    };

    /// Adds the active and the retired rules; for an address in both, the
    /// active rule applies.
    explicit address_table(const active_rules& rules);

    /// Returns the entry of `address`, or null. Allocates no memory.
    const entry* find(const endpoint& address) const noexcept;

    /// Returns the names of the services of all active and retired rules,
    /// without duplicates.
    const std::vector<service_name>& services() const
    {
        return services_;
    }

private:
    void insert(const rule& r, bool established_only,
                std::uint32_t service_index);

    std::vector<entry> entries_;
    std::uint64_t mask_ = 0;
    std::vector<service_name> services_;
};

/// Where to send a packet, or why it is refused. The pointers are valid as long
/// as the snapshot, and may be null if `refusal_` is not `none`.
struct forwarding_decision
{
    refusal refusal_ = refusal::none;
    bool established_only_ = false;
    const service_route* route_ = nullptr;
    const route_target* target_ = nullptr;
};

/// The routing state that traffic threads read.
struct routing_snapshot
{
    rules_version rules_version_;
    std::shared_ptr<const address_table> addresses_;
    /// One route per service, in the order of `addresses_->services()`.
    std::vector<std::shared_ptr<const service_route>> routes_;
};

/// Returns the target of a packet of `flow`. Refuses with `unknown_service` if
/// no rule has the service address, and with `no_home` if no member serves the
/// flow's bucket. Allocates no memory.
forwarding_decision select_target(const routing_snapshot& snapshot,
                                  const flow_key& flow) noexcept;

} // namespace galenafork

#endif
