#include <galenafork/flow.h>

#include <cstring>

namespace galenafork
{

namespace
{

// The finaliser of SplitMix64, a bijection with a good avalanche effect.
std::uint64_t mix(std::uint64_t x)
{
    x ^= x >> 30U;
    x *= 0xbf58476d1ce4e5b9U;
    x ^= x >> 27U;
    x *= 0x94d049bb133111ebU;
    x ^= x >> 31U;
    return x;
}

std::uint64_t combine(std::uint64_t seed, std::uint64_t value)
{
    return mix(seed + 0x9e3779b97f4a7c15U + value);
}

std::uint64_t load_little_endian(const std::uint8_t* bytes)
{
    std::uint64_t value = 0;
    for (int i = 7; i >= 0; --i)
    {
        value = (value << 8U) | bytes[i];
    }
    return value;
}

std::uint64_t combine(std::uint64_t seed, const endpoint& e)
{
    seed = combine(seed, load_little_endian(e.address_.bytes_.data()));
    seed = combine(seed, load_little_endian(e.address_.bytes_.data() + 8));
    return combine(seed, e.port_);
}

} // namespace

std::uint64_t hash_of(const flow_key& flow)
{
    return combine(combine(0, flow.caller_), flow.service_address_);
}

bucket_id bucket_of(const flow_key& flow)
{
    return bucket_id(static_cast<std::uint16_t>(hash_of(flow) % bucket_count));
}

} // namespace galenafork
