/// \file
/// The parts that several messages share, to and from Cap'n Proto.

#ifndef GALENAFORK_LIBWIRE_FIELDS_H
#define GALENAFORK_LIBWIRE_FIELDS_H

#include "galenafork.capnp.h"

#include <galenafork/messages.h>

namespace galenafork::pvt
{

/// An address as two words, each read little-endian.
struct address_words
{
    std::uint64_t low_ = 0;
    std::uint64_t high_ = 0;
};

/// The words of `address`.
address_words to_words(const ip_address& address);

/// The address of these words.
ip_address from_words(std::uint64_t low, std::uint64_t high);

/// Reads eight bytes little-endian.
std::uint64_t load_word(const std::uint8_t* bytes);

/// Writes eight bytes little-endian.
void store_word(std::uint8_t* bytes, std::uint64_t value);

/// The characters of `text`, not copied.
capnp::Text::Reader text_of(const std::string& text);

/// The bytes of `bytes`, not copied.
capnp::Data::Reader data_of(const byte_buffer& bytes);

/// Fills `out` with the value.
void write(schema::Endpoint::Builder out, const endpoint& value);
/// Fills `out` with the value.
void write(schema::FlowKey::Builder out, const flow_key& value);
/// Fills `out` with the value.
void write(schema::InstanceLife::Builder out,
           const instance_incarnation& value);
/// Fills `out` with the value.
void write(schema::TraceContext::Builder out, const trace_context& value);
/// Fills `out` with the value.
void write(schema::LoadReport::Builder out, const load_report& value);
/// Fills `out` with the value.
void write(schema::JournalEntry::Builder out, const journal_entry& value);

/// A field that breaks its limits. Thrown by the `read` functions and caught
/// in `decode`, as Cap'n Proto's own exceptions are.
struct bad_field
{
    const char* what_ = "";
};

/// Fails (see `bad_field`) with `what` unless `valid`.
void require(bool valid, const char* what);

/// A service or instance name.
std::string read_name(capnp::Text::Reader text);
/// A byte string of at most `limit` bytes.
byte_buffer read_bytes(capnp::Data::Reader data, std::size_t limit);
/// A bucket below `bucket_count`.
bucket_id read_bucket(std::uint16_t value);

/// The value that `write` wrote; fails on a bad field.
endpoint read(schema::Endpoint::Reader in);
/// The value that `write` wrote; fails on a bad field.
flow_key read(schema::FlowKey::Reader in);
/// The value that `write` wrote; fails on a bad field.
instance_incarnation read(schema::InstanceLife::Reader in);
/// The value that `write` wrote; fails on a bad field.
trace_context read(schema::TraceContext::Reader in);
/// The value that `write` wrote; fails on a bad field.
load_report read(schema::LoadReport::Reader in);
/// The value that `write` wrote; fails on a bad field.
journal_entry read(schema::JournalEntry::Reader in);

} // namespace galenafork::pvt

#endif
