/// \file
/// Datagrams between processes of the system: Cap'n Proto flat messages of
/// one segment.

#ifndef GALENAFORK_WIRE_H
#define GALENAFORK_WIRE_H

#include <galenafork/messages.h>

#include <cstddef>
#include <cstdint>
#include <tl/expected.hpp>

namespace galenafork
{

/// Largest UDP payload, in bytes.
inline constexpr std::size_t max_datagram_bytes = 65507;

/// Most items of any list in a datagram; `decode` refuses longer ones.
inline constexpr std::size_t max_list_items = 256;

/// Longest token of a `request_key`, in bytes.
inline constexpr std::size_t max_token_bytes = 8;

/// Alignment, in bytes, of buffers that are encoded into or decoded from in
/// place.
inline constexpr std::size_t wire_alignment = 8;

/// Most items that a sender puts into one `directory_chunk`; with the longest
/// names such a datagram stays below 1,400 bytes.
inline constexpr std::size_t directory_chunk_items = 7;

/// Most items that a sender puts into one `ownership_reply`; such a datagram
/// stays below 1,400 bytes.
inline constexpr std::size_t ownership_reply_items = 24;

/// The datagram that holds `message`. The caller keeps lists, names and tokens
/// within their limits; the receiver's `decode` refuses others. Does not fail.
byte_buffer encode(const datagram& message);

/// Bytes that `encode_into` writes for `packet`.
std::size_t encoded_size(const forwarded_packet& packet);

/// Writes the datagram that holds `packet` to `buffer`, which is aligned to
/// `wire_alignment`, and returns its size; 0 if it is larger than `capacity`.
/// Allocates nothing.
std::size_t encode_into(const forwarded_packet& packet, std::uint8_t* buffer,
                        std::size_t capacity);

/// Reads one datagram. Fails with `bad_message` on anything that `encode`
/// does not write for a valid message: wrong size, broken pointers, a name
/// outside the alphabet, an unknown enumerator, a list, a token or a hop count
/// over its limit. Never throws. A buffer aligned to `wire_alignment` is read
/// in place; another is copied first.
tl::expected<datagram, error> decode(const std::uint8_t* bytes,
                                     std::size_t size);

} // namespace galenafork

#endif
