/// \file
/// Codec of the datagrams between balancers and agents. Each datagram is an
/// unpacked Cap'n Proto message of one segment, behind its segment table.

#ifndef GALENAFORK_WIRE_H
#define GALENAFORK_WIRE_H

#include <galenafork/messages.h>

#include <cstddef>
#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Maximum UDP payload over IPv4, in bytes.
inline constexpr std::size_t max_datagram_bytes = 65507;

/// Maximum number of items of a list in a datagram; `decode` refuses longer
/// lists.
inline constexpr std::size_t max_list_items = 256;

/// Maximum length of the token of a `request_key`, in bytes.
inline constexpr std::size_t max_token_bytes = 8;

/// Alignment of buffers for encoding and decoding in place, in bytes.
inline constexpr std::size_t wire_alignment = 8;

/// Maximum size of the messages that `split_into_chunks` makes, in bytes, so
/// that they are not fragmented on a network with an MTU of 1,500 bytes. A
/// message is larger only if its header, buckets, expired members and first
/// item together are.
inline constexpr std::size_t max_chunk_bytes = 1400;

/// Returns the datagram for `message`. Does not fail, even if a list, a name or
/// a token exceeds its limit; the receiver's `decode` then refuses the
/// datagram.
byte_buffer encode(const datagram& message);

/// Splits `whole` into one or more messages with `position_` set. Each has at
/// most `max_list_items` items and fits into `max_chunk_bytes` together with
/// `header`, unless a single item makes it larger.
std::vector<ownership_reply> split_into_chunks(const ownership_reply& whole,
                                               const peer_header& header);

/// As above. Each message has all buckets and expired members of `whole`.
std::vector<journal_sync> split_into_chunks(const journal_sync& whole,
                                            const peer_header& header);

/// Returns the number of bytes that `encode_into` writes for `packet`.
std::size_t encoded_size(const forwarded_packet& packet);

/// Writes the datagram for `packet` to `buffer`, which must be aligned to
/// `wire_alignment`. Returns the size of the datagram, or 0 if it exceeds
/// `capacity`; `buffer` is then unchanged. Does not allocate memory.
std::size_t encode_into(const forwarded_packet& packet, std::uint8_t* buffer,
                        std::size_t capacity);

/// Decodes one datagram. Fails with `bad_message` on anything that `encode`
/// does not write for a valid message: wrong size, broken pointers, an invalid
/// name, an unknown enumerator, or a list, a token or a hop count over its
/// limit. Never throws. Reads a buffer that is aligned to `wire_alignment` in
/// place and copies any other first.
tl::expected<datagram, error> decode(const std::uint8_t* bytes,
                                     std::size_t size);

} // namespace galenafork

#endif
