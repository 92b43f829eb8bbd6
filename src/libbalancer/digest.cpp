#include <galenafork/replicated_state.h>

namespace galenafork
{

namespace
{

constexpr std::uint64_t fnv_offset = 0xcbf29ce484222325U;
constexpr std::uint64_t fnv_prime = 0x100000001b3U;

// FNV-1a: the same on every machine, which std::hash need not be.
std::uint64_t add_text(std::uint64_t hash, const std::string& text)
{
    for (const char c : text)
    {
        hash = (hash ^ static_cast<unsigned char>(c)) * fnv_prime;
    }
    return hash;
}

std::uint64_t add_number(std::uint64_t hash, std::uint64_t number)
{
    constexpr unsigned byte_bits = 8;
    for (unsigned i = 0; i < sizeof number; ++i)
    {
        hash = (hash ^ (number >> (i * byte_bits) & 0xffU)) * fnv_prime;
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

// Counts members only: other lapsed lives change no decision, and a balancer
// may have dropped them.
std::uint32_t lapsed_members(const service_state& service)
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

bool is_known(const service_state& service)
{
    return service.roster_ != nullptr;
}

void add_rules_updates(const replicated_state& state,
                       std::uint64_t version_there,
                       std::vector<state_update>& out)
{
    if (!state.rules_ || state.rules_->version_.value() <= version_there)
    {
        return;
    }
    const auto& recent = state.recent_rules_deltas_;
    const bool steps_suffice =
        version_there != 0 && !recent.empty() &&
        recent.front().version_.value() <= version_there + 1;
    if (!steps_suffice)
    {
        out.emplace_back(*state.rules_);
    }
    for (const rules_delta& step : recent)
    {
        if (steps_suffice && step.version_.value() > version_there)
        {
            out.emplace_back(step);
        }
    }
}

void add_service_updates(const service_name& name, const service_state& service,
                         const service_version& have,
                         std::vector<state_update>& out)
{
    const std::uint64_t epoch_here = epoch_of(service).value();
    const std::uint64_t epoch_there = have.epoch_.value();
    if (epoch_here > epoch_there)
    {
        const auto& recent = service.recent_deltas_;
        const bool steps_suffice =
            epoch_there != 0 && !recent.empty() &&
            recent.front().epoch_.value() <= epoch_there + 1;
        if (!steps_suffice)
        {
            out.emplace_back(*service.roster_);
        }
        for (const roster_delta& step : recent)
        {
            if (steps_suffice && step.epoch_.value() > epoch_there)
            {
                out.emplace_back(step);
            }
        }
    }
    // Sent whenever there are any: a count cannot tell which are known there.
    if (epoch_here >= epoch_there && lapsed_members(service) != 0)
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
        if (wanted[group_of(name)] && is_known(service))
        {
            result.services_.push_back(
                {name, epoch_of(service), lapsed_members(service)});
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
        if (is_known(service))
        {
            digest.groups_[group_of(name)] ^= hash_of(name, service);
        }
    }
    return digest;
}

state_versions differing_versions(const replicated_state& state,
                                  const state_digest& theirs)
{
    const state_digest ours = digest_of(state);
    std::array<bool, digest_group_count> wanted{};
    for (std::uint16_t group = 0; group < digest_group_count; ++group)
    {
        wanted[group] = ours.groups_[group] != theirs.groups_[group];
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
                                        const state_versions& have)
{
    std::vector<state_update> updates;
    add_rules_updates(state, have.rules_version_.value(), updates);
    std::map<service_name, service_version> theirs;
    for (const service_version& version : have.services_)
    {
        theirs[version.service_] = version;
    }
    std::array<bool, digest_group_count> wanted{};
    for (const std::uint16_t group : have.groups_)
    {
        wanted[group % digest_group_count] = true;
    }
    for (const auto& [name, service] : state.services_)
    {
        if (wanted[group_of(name)] && is_known(service))
        {
            add_service_updates(name, service, theirs[name], updates);
        }
    }
    return updates;
}

} // namespace galenafork
