#include <galenafork/replicated_state.h>

namespace galenafork
{

namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnv_prime = 0x100000001b3U;

// FNV-1a, because all balancers have to compute the same value, which std::hash
// does not guarantee.
std::uint64_t add_text(std::uint64_t hash, const std::string& text)
{
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return hash;
}

std::uint64_t add_number(std::uint64_t hash, std::uint64_t value)
{
    constexpr unsigned byte_bits = 8;
    for (unsigned i = 0; i < sizeof value; ++i)
    {
        hash = (hash ^ (value >> (i * byte_bits) & 0xffU)) * fnv_prime;
    }
    return hash;
}

std::uint16_t group_of(const service_name& service)
{
    return static_cast<std::uint16_t>(add_text(fnv_offset, service.value()) %
                                      digest_group_count);
}

epoch epoch_of(const service_state& service)
{
    return service.roster_ ? service.roster_->epoch_ : epoch();
}

// Counts members of the roster only: other expired incarnations do not affect
// routing, and a balancer may have dropped them.
std::uint32_t count_expired_members(const service_state& service)
{
    std::uint32_t count = 0;
    if (service.roster_)
    {
        for (const member& m : service.roster_->members_)
        {
            count += service.expired_members_.contains(m) ? 1 : 0;
        }
    }
    return count;
}

std::uint64_t hash_of(const service_name& name, const service_state& service)
{
    std::uint64_t hash = add_text(fnv_offset, name.value());
    hash = add_number(hash, epoch_of(service).value());
    if (service.roster_)
    {
        for (const member& m : service.roster_->members_)
        {
            hash =
                add_number(hash, service.expired_members_.contains(m) ? 1 : 0);
        }
    }
    return hash;
}

bool has_roster(const service_state& service)
{
    return service.roster_ != nullptr;
}

void add_rules_updates(const replicated_state& state,
                       std::uint64_t peer_version,
                       std::vector<state_update>& out)
{
    if (!state.rules_ || state.rules_->version_.value() <= peer_version)
    {
        return;
    }
    const auto& recent = state.recent_rules_deltas_;
    const bool deltas_suffice =
        peer_version != 0 && !recent.empty() &&
        recent.front().version_.value() <= peer_version + 1;
    if (!deltas_suffice)
    {
        out.emplace_back(*state.rules_);
    }
    for (const rules_delta& delta : recent)
    {
        if (deltas_suffice && delta.version_.value() > peer_version)
        {
            out.emplace_back(delta);
        }
    }
}

void add_service_updates(const service_name& name, const service_state& service,
                         const service_version& peer,
                         std::vector<state_update>& out)
{
    const std::uint64_t own_epoch = epoch_of(service).value();
    const std::uint64_t peer_epoch = peer.epoch_.value();
    if (own_epoch > peer_epoch)
    {
        const auto& recent = service.recent_deltas_;
        const bool deltas_suffice =
            peer_epoch != 0 && !recent.empty() &&
            recent.front().epoch_.value() <= peer_epoch + 1;
        if (!deltas_suffice)
        {
            out.emplace_back(*service.roster_);
        }
        for (const roster_delta& delta : recent)
        {
            if (deltas_suffice && delta.epoch_.value() > peer_epoch)
            {
                out.emplace_back(delta);
            }
        }
    }
    // Expired members are sent whenever the roster has any, because the peer's
    // count does not show which ones the peer has.
    if (own_epoch >= peer_epoch && count_expired_members(service) != 0)
    {
        out.emplace_back(expired_members_update{
            name, service.expired_members_.incarnations_});
    }
}

state_versions versions_of(const replicated_state& state,
                           const std::array<bool, digest_group_count>& wanted)
{
    state_versions result;
    result.rules_version_ =
        state.rules_ ? state.rules_->version_ : rules_version();
    for (std::uint16_t group = 0; group < digest_group_count; ++group)
    {
        if (wanted[group])
        {
            result.groups_.push_back(group);
        }
    }
    for (const auto& [name, service] : state.services_)
    {
        if (wanted[group_of(name)] && has_roster(service))
        {
            result.services_.push_back(
                {name, epoch_of(service), count_expired_members(service)});
        }
    }
    return result;
}

} // namespace

state_digest digest_of(const replicated_state& state)
{
    state_digest digest;
    if (state.rules_)
    {
        digest.rules_version_ = state.rules_->version_;
    }
    for (const auto& [name, service] : state.services_)
    {
        if (has_roster(service))
        {
            digest.groups_[group_of(name)] ^= hash_of(name, service);
        }
    }
    return digest;
}

state_versions differing_versions(const replicated_state& state,
                                  const state_digest& peer_digest)
{
    const state_digest own_digest = digest_of(state);
    std::array<bool, digest_group_count> wanted{};
    for (std::uint16_t group = 0; group < digest_group_count; ++group)
    {
        wanted[group] = own_digest.groups_[group] != peer_digest.groups_[group];
    }
    return versions_of(state, wanted);
}

state_versions all_versions(const replicated_state& state)
{
    std::array<bool, digest_group_count> wanted{};
    wanted.fill(true);
    return versions_of(state, wanted);
}

std::vector<state_update> updates_since(const replicated_state& state,
                                        const state_versions& peer_versions)
{
    std::vector<state_update> updates;
    add_rules_updates(state, peer_versions.rules_version_.value(), updates);
    std::map<service_name, service_version> peer_services;
    for (const service_version& version : peer_versions.services_)
    {
        peer_services[version.service_] = version;
    }
    std::array<bool, digest_group_count> wanted{};
    for (const std::uint16_t group : peer_versions.groups_)
    {
        wanted[group % digest_group_count] = true;
    }
    for (const auto& [name, service] : state.services_)
    {
        if (wanted[group_of(name)] && has_roster(service))
        {
            add_service_updates(name, service, peer_services[name], updates);
        }
    }
    return updates;
}

} // namespace galenafork
