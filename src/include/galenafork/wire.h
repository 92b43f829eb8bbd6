/// \file
/// Datagrams between processes of the system: Cap'n Proto flat messages of
/// one segment.

#ifndef GALENAFORK_WIRE_H
#define GALENAFORK_WIRE_H

#include <galenafork/messages.h>

#include <cstddef>
#include <cstdint>
#include <tl/expected.hpp>
#include <vector>

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

/// Largest peer message that `split_into_chunks` aims at, in bytes: it passes a
/// network of 1,500 byte packets unfragmented. A part holds at least one item,
/// so it is larger where header, buckets and one journal entry are.
inline constexpr std::size_t max_chunk_bytes = 1400;

/// The datagram that holds `message`. The caller keeps lists, names and tokens
/// within their limits; the receiver's `decode` refuses others. Does not fail.
byte_buffer encode(const datagram& message);

/// Cuts `whole` into messages that, behind `header`, keep `max_chunk_bytes`
/// and `max_list_items`, with their `position_` set; at least one.
std::vector<ownership_reply> split_into_chunks(const ownership_reply& whole,
                                               const peer_header& header);

/// As above; each part names all of the buckets and lapsed members.
std::vector<journal_sync> split_into_chunks(const journal_sync& whole,
                                            const peer_header& header);

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
