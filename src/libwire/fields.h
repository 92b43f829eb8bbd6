/// \file
/// Cap'n Proto encoding and decoding of the structs that several messages
/// share.

#ifndef GALENAFORK_LIBWIRE_FIELDS_H
#define GALENAFORK_LIBWIRE_FIELDS_H

#include "galenafork.capnp.h"

#include <galenafork/messages.h>

namespace galenafork::pvt
{

/// The two halves of an IP address, each read as a little-endian integer.
struct address_halves
{
    std::uint64_t low_ = 0;
    std::uint64_t high_ = 0;
};

/// Returns the halves of `address`.
address_halves to_halves(const ip_address& address);

/// Returns the address with these halves.
ip_address from_halves(std::uint64_t low, std::uint64_t high);

/// Reads a 64-bit integer from eight bytes, little-endian.
std::uint64_t load_u64(const std::uint8_t* bytes);

/// Writes a 64-bit integer to eight bytes, little-endian.
void store_u64(std::uint8_t* bytes, std::uint64_t value);

/// Returns a view of `text`; does not copy the characters.
capnp::Text::Reader text_of(const std::string& text);

/// Returns a view of `bytes`; does not copy them.
capnp::Data::Reader data_of(const byte_buffer& bytes);

/// Writes `value` to `out`.
void write(schema::Endpoint::Builder out, const endpoint& value);
/// Writes `value` to `out`.
void write(schema::FlowKey::Builder out, const flow_key& value);
/// Writes `value` to `out`.
void write(schema::InstanceLife::Builder out,
           const instance_incarnation& value);
/// Writes `value` to `out`.
void write(schema::TraceContext::Builder out, const trace_context& value);
/// Writes `value` to `out`.
void write(schema::LoadReport::Builder out, const load_report& value);
/// Writes `value` to `out`.
void write(schema::JournalEntry::Builder out, const journal_entry& value);

/// Thrown by `require` and the `read` functions if a field has an invalid
/// value. Caught in `decode`, as Cap'n Proto's own exceptions are.
struct bad_field
{
    const char* reason_ = "";
};

/// Throws `bad_field` with `reason` unless `valid`.
void require(bool valid, const char* reason);

/// Returns a service or instance name. Throws `bad_field` if it is invalid.
std::string read_name(capnp::Text::Reader text);
/// Returns the bytes of `data`. Throws `bad_field` if there are more than
/// `max_bytes`.
byte_buffer read_bytes(capnp::Data::Reader data, std::size_t max_bytes);
/// Returns the bucket `value`. Throws `bad_field` unless it is below
/// `bucket_count`.
bucket_id read_bucket(std::uint16_t value);

/// Returns the value that `write` wrote.
endpoint read(schema::Endpoint::Reader in);
/// Returns the value that `write` wrote.
flow_key read(schema::FlowKey::Reader in);
/// Returns the value that `write` wrote. Throws `bad_field` if the name is
/// invalid.
instance_incarnation read(schema::InstanceLife::Reader in);
/// Returns the value that `write` wrote.
trace_context read(schema::TraceContext::Reader in);
/// Returns the value that `write` wrote.
load_report read(schema::LoadReport::Reader in);
/// Returns the value that `write` wrote. Throws `bad_field` if a field is
/// invalid.
journal_entry read(schema::JournalEntry::Reader in);

} // namespace galenafork::pvt

#endif
