#include <galenafork/routing.h>

#include <cstring>
#include <map>

namespace galenafork
{

namespace
{

constexpr std::size_t least_slots = 16;

std::uint64_t load_word(const std::uint8_t* bytes)
{
    std::uint64_t word = 0;
    std::memcpy(&word, bytes, sizeof word);
    return word;
}

// Used within one process only, so the byte order does not matter.
std::uint64_t hash_of(const endpoint& e) noexcept
{
    constexpr std::uint64_t odd_a = 0x9e3779b97f4a7c15U;
    constexpr std::uint64_t odd_b = 0xbf58476d1ce4e5b9U;
    const std::uint64_t high = load_word(e.address_.bytes_.data());
    const std::uint64_t low = load_word(e.address_.bytes_.data() + 8);
    std::uint64_t x = (high ^ (low * odd_a)) + e.port_;
    x = (x ^ (x >> 32U)) * odd_b;
    x = (x ^ (x >> 29U)) * odd_a;
    return x ^ (x >> 32U);
}

std::size_t slots_for(std::size_t entries)
{
    std::size_t slots = least_slots;
    // At most half full, so that probes stay short.
    while (slots < 2 * entries)
    {
        slots *= 2;
    }
    return slots;
}

} // namespace

std::shared_ptr<const service_route> make_route(const roster& r,
                                                const expired_members& lapsed)
{
    auto route = std::make_shared<service_route>();
    route->service_ = r.service_;
    route->epoch_ = r.epoch_;
    route->expired_members_ = lapsed;
    for (const member& m : r.members_)
    {
        route->targets_.push_back(
            {{m.instance_, m.incarnation_}, m.packet_endpoint_});
    }
    for (std::uint16_t bucket = 0; bucket < bucket_count; ++bucket)
    {
        const member* home = effective_home_of(r, lapsed, bucket_id(bucket));
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
    : slots_(slots_for(rules.rules_.size() + rules.retired_.size())),
      mask_(slots_.size() - 1)
{
    std::map<service_name, std::uint32_t> indexes;
    const auto index_of = [&](const service_name& service)
    {
        const auto next = static_cast<std::uint32_t>(services_.size());
        const auto [at, added] = indexes.emplace(service, next);
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
    while (slots_[at].used_)
    {
        if (slots_[at].address_ == r.address_)
        {
            return;
        }
        at = (at + 1) & mask_;
    }
    slots_[at] = {r.address_, service_index, established_only, true};
}

const address_table::entry*
address_table::find(const endpoint& address) const noexcept
{
    std::uint64_t at = hash_of(address) & mask_;
    while (slots_[at].used_)
    {
        if (slots_[at].address_ == address)
        {
            return &slots_[at];
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
