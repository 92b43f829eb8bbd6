#include <galenafork/proxy_protocol.h>

#include <algorithm>
#include <array>

namespace galenafork
{

namespace
{

constexpr std::array<std::uint8_t, 12> v2_signature{
    0x0d, 0x0a, 0x0d, 0x0a, 0x00, 0x0d, 0x0a, 0x51, 0x55, 0x49, 0x54, 0x0a};
constexpr std::uint8_t version_2_proxy = 0x21;
constexpr std::uint8_t udp_over_v4 = 0x12;
constexpr std::uint8_t udp_over_v6 = 0x22;

constexpr std::size_t command_offset = 12;
constexpr std::size_t family_offset = 13;
constexpr std::size_t length_offset = 14;
constexpr std::size_t fixed_header_bytes = 16;
constexpr std::size_t v4_address_bytes = 4;
constexpr std::size_t v6_address_bytes = 16;
constexpr std::size_t port_bytes = 2;

constexpr std::size_t address_block_bytes(std::size_t address_bytes)
{
    return 2 * (address_bytes + port_bytes);
}

// Type (1 byte) and length (2 bytes).
constexpr std::size_t extension_header_bytes = 3;

constexpr std::size_t trace_id_bytes = 16;
constexpr std::size_t span_id_bytes = 8;
constexpr std::size_t trace_value_bytes = trace_id_bytes + span_id_bytes + 1;

static_assert(fixed_header_bytes + address_block_bytes(v6_address_bytes) +
                  extension_header_bytes + trace_value_bytes ==
              max_proxy_header_bytes);

tl::unexpected<error> bad_header(const char* reason)
{
    return tl::unexpected(error{error_code::bad_message, reason});
}

void put_u16(std::uint8_t* out, std::size_t value)
{
    out[0] = static_cast<std::uint8_t>(value >> 8U);
    out[1] = static_cast<std::uint8_t>(value);
}

std::uint16_t get_u16(const std::uint8_t* in)
{
    return static_cast<std::uint16_t>((in[0] << 8U) | in[1]);
}

// Writes the last `address_bytes` bytes of `address`: all of it or its IPv4
// part.
void put_address(std::uint8_t* out, const ip_address& address,
                 std::size_t address_bytes)
{
    std::copy(address.bytes_.end() - static_cast<std::ptrdiff_t>(address_bytes),
              address.bytes_.end(), out);
}

ip_address get_address(const std::uint8_t* in, std::size_t address_bytes)
{
    if (address_bytes == v4_address_bytes)
    {
        return make_v4(in[0], in[1], in[2], in[3]);
    }
    ip_address address;
    std::copy(in, in + v6_address_bytes, address.bytes_.begin());
    return address;
}

proxy_header get_address_block(const std::uint8_t* in,
                               std::size_t address_bytes)
{
    proxy_header header;
    const std::uint8_t* ports = in + 2 * address_bytes;
    header.source_.address_ = get_address(in, address_bytes);
    header.destination_.address_ =
        get_address(in + address_bytes, address_bytes);
    header.source_.port_ = get_u16(ports);
    header.destination_.port_ = get_u16(ports + port_bytes);
    return header;
}

bool is_traced(const trace_context& trace)
{
    return trace.trace_id_ != trace_context{}.trace_id_;
}

std::size_t put_trace(std::uint8_t* out, const trace_context& trace)
{
    out[0] = proxy_trace_tlv_type;
    put_u16(out + 1, trace_value_bytes);
    out += extension_header_bytes;
    out = std::copy(trace.trace_id_.begin(), trace.trace_id_.end(), out);
    out = std::copy(trace.span_id_.begin(), trace.span_id_.end(), out);
    *out = trace.sampled_ ? 1 : 0;
    return extension_header_bytes + trace_value_bytes;
}

trace_context get_trace(const std::uint8_t* in)
{
    trace_context trace;
    std::copy(in, in + trace_id_bytes, trace.trace_id_.begin());
    in += trace_id_bytes;
    std::copy(in, in + span_id_bytes, trace.span_id_.begin());
    trace.sampled_ = in[span_id_bytes] == 1;
    return trace;
}

// Reads the extensions in [in, end). Returns false if one is truncated.
bool get_extensions(const std::uint8_t* in, const std::uint8_t* end,
                    proxy_header& header)
{
    while (in != end)
    {
        const auto remaining = static_cast<std::size_t>(end - in);
        if (remaining < extension_header_bytes ||
            remaining - extension_header_bytes < get_u16(in + 1))
        {
            return false;
        }
        const std::size_t length = get_u16(in + 1);
        const std::uint8_t* value = in + extension_header_bytes;
        if (in[0] == proxy_trace_tlv_type && length == trace_value_bytes)
        {
            header.trace_ = get_trace(value);
        }
        in = value + length;
    }
    return true;
}

} // namespace

std::size_t encode_proxy_header(const proxy_header& header,
                                std::uint8_t* buffer)
{
    const bool v4 =
        header.source_.address_.is_v4() && header.destination_.address_.is_v4();
    const std::size_t address_bytes = v4 ? v4_address_bytes : v6_address_bytes;
    const std::size_t block_bytes = address_block_bytes(address_bytes);
    std::copy(v2_signature.begin(), v2_signature.end(), buffer);
    buffer[command_offset] = version_2_proxy;
    buffer[family_offset] = v4 ? udp_over_v4 : udp_over_v6;

    std::uint8_t* block = buffer + fixed_header_bytes;
    std::uint8_t* ports = block + 2 * address_bytes;
    put_address(block, header.source_.address_, address_bytes);
    put_address(block + address_bytes, header.destination_.address_,
                address_bytes);
    put_u16(ports, header.source_.port_);
    put_u16(ports + port_bytes, header.destination_.port_);

    std::size_t length = block_bytes;
    if (is_traced(header.trace_))
    {
        length += put_trace(block + block_bytes, header.trace_);
    }
    put_u16(buffer + length_offset, length);
    return fixed_header_bytes + length;
}

byte_buffer make_proxy_datagram(const proxy_header& header,
                                const byte_buffer& payload)
{
    byte_buffer result(max_proxy_header_bytes);
    result.resize(encode_proxy_header(header, result.data()));
    result.insert(result.end(), payload.begin(), payload.end());
    return result;
}

tl::expected<parsed_proxy_header, error>
parse_proxy_header(const std::uint8_t* bytes, std::size_t size)
{
    if (size < fixed_header_bytes ||
        !std::equal(v2_signature.begin(), v2_signature.end(), bytes))
    {
        return bad_header("datagram does not start with a PROXY v2 header");
    }
    if (bytes[command_offset] != version_2_proxy)
    {
        return bad_header("PROXY v2: not version 2 with the command PROXY");
    }
    const std::uint8_t family = bytes[family_offset];
    if (family != udp_over_v4 && family != udp_over_v6)
    {
        return bad_header("PROXY v2: not UDP over IPv4 or IPv6");
    }
    const std::size_t address_bytes =
        family == udp_over_v4 ? v4_address_bytes : v6_address_bytes;
    const std::size_t length = get_u16(bytes + length_offset);
    if (length < address_block_bytes(address_bytes) ||
        fixed_header_bytes + length > size)
    {
        return bad_header("PROXY v2: truncated header");
    }
    const std::uint8_t* block = bytes + fixed_header_bytes;
    parsed_proxy_header result;
    result.header_ = get_address_block(block, address_bytes);
    result.payload_offset_ = fixed_header_bytes + length;
    if (!get_extensions(block + address_block_bytes(address_bytes),
                        bytes + result.payload_offset_, result.header_))
    {
        return bad_header("PROXY v2: truncated extension");
    }
    return result;
}

} // namespace galenafork
