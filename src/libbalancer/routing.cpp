#include <galenafork/routing.h>

#include <cstring>
#include <map>

namespace galenafork
{

namespace
{

constexpr std::size_t min_capacity = 16;

std::uint64_t load_integer(const std::uint8_t* bytes)
{
    std::uint64_t integer = 0;
    std::memcpy(&integer, bytes, sizeof integer);
    return integer;
}

// The hash depends on the machine's byte order, which is fine as it is only
// used within one process.
std::uint64_t hash_of(const endpoint& e) noexcept
{
    constexpr std::uint64_t multiplier_a = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t multiplier_b = 0xbf58476d1ce4e5b9U;
    const std::uint64_t high = load_integer(e.address_.bytes_.data());
    const std::uint64_t low = load_integer(e.address_.bytes_.data() + 8);
    std::uint64_t x = (high ^ (low * multiplier_a)) + e.port_;
    x = (x ^ (x >> 32U)) * multiplier_b;
    x = (x ^ (x >> 29U)) * multiplier_a;
    return x ^ (x >> 32U);
}

std::size_t capacity_for(std::size_t entries)
{
    std::size_t capacity = min_capacity;
    // The table is at most half full, which keeps probe sequences short.
    while (capacity < 2 * entries)
    {
        capacity *= 2;
    }
    return capacity;
}

} // namespace

std::shared_ptr<const service_route> make_route(const roster& r,
                                                const expired_members& expired)
{
    auto route = std::make_shared<service_route>();
    route->service_ = r.service_;
    route->epoch_ = r.epoch_;
    route->expired_members_ = expired;
    for (const member& m : r.members_)
    {
        route->targets_.push_back(
            {{m.instance_, m.incarnation_}, m.packet_endpoint_});
    }
    for (std::uint16_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        const member* home = effective_home_of(r, expired, bucket_id(bucket));
        route->homes_[bucket] = home == nullptr
                                    ? no_member
                                    : member_index(static_cast<std::uint16_t>(
                                          home - r.members_.data()));
    }
    return route;
}

std::shared_ptr<const service_route> make_empty_route(const service_name& s)
{
    auto route = std::make_shared<service_route>();
    route->service_ = s;
    route->homes_.fill(no_member);
    return route;
}

address_table::address_table(const active_rules& rules)
    : entries_(capacity_for(rules.rules_.size() + rules.retired_.size())),
      mask_(entries_.size() - 1)
{
    std::map<service_name, std::uint32_t> index_by_service;
    const auto index_of = [&](const service_name& service)
    {
        const auto next = static_cast<std::uint32_t>(services_.size());
        const auto [at, added] = index_by_service.emplace(service, next);
        if (added)
        {
            services_.push_back(service);
        }
        return at->second;
    };
    for (const rule& r : rules.rules_)
    {
        insert(r, false, index_of(r.service_));
    }
    for (const rule& r : rules.retired_)
    {
        insert(r, true, index_of(r.service_));
    }
}

void address_table::insert(const rule& r, bool established_only,
                           std::uint32_t service_index)
{
    std::uint64_t at = hash_of(r.address_) & mask_;
    while (entries_[at].used_)
    {
        if (entries_[at].address_ == r.address_)
        {
            return;
        }
        at = (at + 1) & mask_;
    }
    entries_[at] = {r.address_, service_index, established_only, true};
}

const address_table::entry*
address_table::find(const endpoint& address) const noexcept
{
    std::uint64_t at = hash_of(address) & mask_;
    while (entries_[at].used_)
    {
        if (entries_[at].address_ == address)
        {
            return &entries_[at];
        }
        at = (at + 1) & mask_;
    }
    return nullptr;
}

forwarding_decision select_target(const routing_snapshot& snapshot,
                                  const flow_key& flow) noexcept
{
    forwarding_decision decision;
    const auto* entry = snapshot.addresses_->find(flow.service_address_);
    if (entry == nullptr)
    {
        decision.refusal_ = refusal::unknown_service;
        return decision;
    }
    decision.established_only_ = entry->established_only_;
    decision.route_ = snapshot.routes_[entry->service_index_].get();
    const member_index home = decision.route_->homes_[bucket_of(flow).value()];
    if (home == no_member)
    {
        decision.refusal_ = refusal::no_home;
        return decision;
    }
    decision.target_ = &decision.route_->targets_[home.value()];
    return decision;
}

} // namespace galenafork
