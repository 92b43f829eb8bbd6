#include <galenafork/pass_types.h>

namespace galenafork
{

namespace
{

// Offset of the IPv4 address in an IPv4-mapped IPv6 address.
constexpr std::size_t v4_offset = 12;

} // namespace

host_address host_of(const endpoint& e)
{
    const auto& b = e.address_.bytes_;
    return host_address(static_cast<std::uint32_t>(b[v4_offset]) << 24U |
                        static_cast<std::uint32_t>(b[v4_offset + 1]) << 16U |
                        static_cast<std::uint32_t>(b[v4_offset + 2]) << 8U |
                        static_cast<std::uint32_t>(b[v4_offset + 3]));
}

endpoint at_port(host_address host, std::uint16_t port)
{
    const std::uint32_t v = host.value();
    return {make_v4(static_cast<std::uint8_t>(v >> 24U),
                    static_cast<std::uint8_t>(v >> 16U),
                    static_cast<std::uint8_t>(v >> 8U),
                    static_cast<std::uint8_t>(v)),
            port};
}

std::string to_string(host_address host)
{
    return to_string(at_port(host, 0).address_);
}

const service_name& service_for(const pass_rule& rule, const flow_key& flow)
{
    if (rule.services_.size() == 1)
    {
        return rule.services_.front().service_;
    }
    std::uint64_t total = 0;
    for (const pass_service_weight& entry : rule.services_)
    {
        total += entry.weight_;
    }
    std::uint64_t at = total == 0 ? 0 : hash_of(flow) % total;
    for (const pass_service_weight& entry : rule.services_)
    {
        if (at < entry.weight_)
        {
            return entry.service_;
        }
        at -= entry.weight_;
    }
    return rule.services_.front().service_;
}

const char* to_string(upstream_state state)
{
    switch (state)
    {
    case upstream_state::unknown:
        return "unknown";
    case upstream_state::ready:
        return "ready";
    case upstream_state::draining:
        return "draining";
    case upstream_state::gone:
        return "gone";
    }
    return "unknown";
}

const char* to_string(upstream_presence presence)
{
    switch (presence)
    {
    case upstream_presence::absent:
        return "absent";
    case upstream_presence::present:
        return "present";
    case upstream_presence::unknown:
        break;
    }
    return "unknown";
}

} // namespace galenafork
