/// \file
/// PROXY protocol version 2 for UDP: the header in front of each datagram
/// between the fabric and the system.

#ifndef GALENAFORK_PROXY_PROTOCOL_H
#define GALENAFORK_PROXY_PROTOCOL_H

#include <galenafork/endpoint.h>
#include <galenafork/error.h>
#include <galenafork/messages.h>
#include <galenafork/trace.h>

#include <cstddef>
#include <cstdint>
#include <tl/expected.hpp>

namespace galenafork
{

/// Source and destination of a proxied datagram. On the way in the source is
/// the caller and the destination the service address; answers have them the
/// other way round.
struct proxy_header
{
    endpoint source_;
    endpoint destination_;
    /// Written as an extension (TLV) of type `proxy_trace_tlv_type` unless
    /// its trace id is zero.
    trace_context trace_{};
};

/// Type of the extension that carries the trace context, of the range that
/// the PROXY protocol leaves to applications: trace id (16 bytes), span id
/// (8 bytes), and a byte that is 1 if the trace is sampled.
inline constexpr std::uint8_t proxy_trace_tlv_type = 0xe0;

/// A header that was read, and where the payload starts.
struct parsed_proxy_header
{
    proxy_header header_;
    std::size_t payload_offset_ = 0;
};

/// Largest header that `encode_proxy_header` writes, in bytes.
inline constexpr std::size_t max_proxy_header_bytes = 80;

/// Writes `header` to `buffer`, which has room for `max_proxy_header_bytes`,
/// and returns its size. The IPv4 form is used if both addresses are IPv4.
/// Allocates nothing.
std::size_t encode_proxy_header(const proxy_header& header,
                                std::uint8_t* buffer);

/// `header` followed by `payload`.
byte_buffer make_proxy_datagram(const proxy_header& header,
                                const byte_buffer& payload);

/// Reads the header in front of a datagram. Other extensions are skipped.
/// Fails with `bad_message` if it is not a version 2 header of command PROXY
/// for UDP over IPv4 or IPv6, if the datagram ends within it or if an
/// extension is cut short. Allocates nothing unless it fails.
tl::expected<parsed_proxy_header, error>
parse_proxy_header(const std::uint8_t* bytes, std::size_t size);

} // namespace galenafork

#endif
