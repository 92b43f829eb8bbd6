/// \file
/// Where a balancer sends a packet: an immutable table made from rules and
/// rosters that traffic threads read without a lock.

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

/// A member as a packet's target.
struct route_target
{
    instance_incarnation member_;
    /// Where its agent takes forwarded packets.
    endpoint packet_endpoint_;
};

/// The effective homes of one service's buckets.
struct service_route
{
    service_name service_;
    /// Epoch of the roster; zero if no roster is known.
    epoch epoch_;
    std::vector<route_target> targets_;
    /// The lapsed lives that `homes_` was made with.
    expired_members expired_members_;
    /// Index into `targets_` for each bucket, or `no_member`.
    std::array<member_index, bucket_count> homes_{};
};

/// The effective homes of `r` after the lapses in `lapsed`.
std::shared_ptr<const service_route> make_route(const roster& r,
                                                const expired_members& lapsed);

/// The route of a service without a roster: every bucket lacks a home.
std::shared_ptr<const service_route> make_empty_route(const service_name& s);

/// The rules that a balancer acts on.
struct active_rules
{
    rules_version version_;
    /// The rule file as accepted.
    std::string text_;
    std::vector<rule> rules_;
    /// Removed rules whose address no rule has now: their established flows
    /// go on.
    std::vector<rule> retired_;
};

/// Service of each address, as an open-addressing hash table.
class address_table
{
public:
    /// One address.
    struct entry
    {
        endpoint address_;
        /// Index into `services`.
        std::uint32_t service_index_ = 0;
        /// The rule is retired: no new flow may open.
        bool established_only_ = false;
        bool used_ = false;
    };

    /// Of `rules_` and `retired_`; an address in both is in force.
    explicit address_table(const active_rules& rules);

    /// The entry of `address`, or null. Allocates nothing.
    const entry* find(const endpoint& address) const noexcept;

    /// Names of the services that any rule has, each once.
    const std::vector<service_name>& services() const
    {
        return services_;
    }

private:
    void insert(const rule& r, bool established_only,
                std::uint32_t service_index);

    std::vector<entry> slots_;
    std::uint64_t mask_ = 0;
    std::vector<service_name> services_;
};

/// What is to be done with a packet. If `refusal_` is not `none` the pointers
/// may be null; they stay valid as long as the snapshot.
struct forwarding_decision
{
    refusal refusal_ = refusal::none;
    bool established_only_ = false;
    const service_route* route_ = nullptr;
    const route_target* target_ = nullptr;
};

/// All that a traffic thread needs to know.
struct routing_snapshot
{
    rules_version rules_version_;
    std::shared_ptr<const address_table> addresses_;
    /// In the order of `addresses_->services()`.
    std::vector<std::shared_ptr<const service_route>> routes_;
};

/// The target of a packet of `flow`. Refuses with `unknown_service` if no rule
/// has the address, with `no_home` if nobody serves the bucket. Allocates
/// nothing.
forwarding_decision select_target(const routing_snapshot& snapshot,
                                  const flow_key& flow) noexcept;

} // namespace galenafork

#endif
