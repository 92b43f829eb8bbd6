/// \file
/// Codec of the PROXY protocol version 2 header in front of each UDP datagram
/// from and to the fabric.

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

/// Source and destination of a proxied datagram. In datagrams from the fabric
/// the source is the caller and the destination is the service address; in
/// answers they are swapped.
struct proxy_header
{
    endpoint source_;
    endpoint destination_;
    /// Written as an extension (TLV) of type `proxy_trace_tlv_type` unless the
    /// trace id is zero.
    trace_context trace_{};
};

/// Type of the extension that carries the trace context: trace id (16 bytes),
/// span id (8 bytes), and a byte that is 1 if the trace is sampled. The type is
/// from the range that the PROXY protocol reserves for applications.
inline constexpr std::uint8_t proxy_trace_tlv_type = 0xe0;

/// A parsed header and the offset of the payload in the datagram.
struct parsed_proxy_header
{
    proxy_header header_;
    std::size_t payload_offset_ = 0;
};

/// Maximum size of a header that `encode_proxy_header` writes, in bytes.
inline constexpr std::size_t max_proxy_header_bytes = 80;

/// Writes `header` to `buffer`, which must have room for
/// `max_proxy_header_bytes`, and returns the number of bytes written. Uses the
/// IPv4 form if both addresses are IPv4. Does not allocate memory.
std::size_t encode_proxy_header(const proxy_header& header,
                                std::uint8_t* buffer);

/// Returns the datagram of `header` followed by `payload`.
byte_buffer make_proxy_datagram(const proxy_header& header,
                                const byte_buffer& payload);

/// Parses the header at the start of a datagram; skips extensions other than
/// the trace context. Fails with `bad_message` if the datagram does not start
/// with a version 2 header of command PROXY for UDP over IPv4 or IPv6, or if
/// the header or an extension is truncated. Allocates memory only if it fails.
tl::expected<parsed_proxy_header, error>
parse_proxy_header(const std::uint8_t* bytes, std::size_t size);

} // namespace galenafork

#endif
