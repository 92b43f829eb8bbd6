/// \file
/// CoAP messages (RFC 7252, RFC 7959, RFC 8132) as plain structs. The codec is
/// libcoap's.

#ifndef GALENAFORK_COAP_H
#define GALENAFORK_COAP_H

#include <galenafork/error.h>
#include <galenafork/messages.h>
#include <galenafork/trace.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Type of a message.
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

/// Code of a message: class in the upper three bits, detail in the lower five.
enum class coap_code : std::uint8_t
{
    empty = 0x00,
    get = 0x01,
    post = 0x02,
    put = 0x03,
    del = 0x04,
    fetch = 0x05,
    patch = 0x06,
    ipatch = 0x07,
    created = 0x41,
    deleted = 0x42,
    valid = 0x43,
    changed = 0x44,
    content = 0x45,
    more_expected = 0x5f,
    bad_request = 0x80,
    not_found = 0x84,
    method_not_allowed = 0x85,
    request_incomplete = 0x88,
    internal_server_error = 0xa0,
    service_unavailable = 0xa3,
    gateway_timeout = 0xa4,
};

/// Number of an option.
enum class coap_option_number : std::uint16_t
{
    etag = 4,
    observe = 6,
    uri_path = 11,
    content_format = 12,
    max_age = 14,
    uri_query = 15,
    block2 = 23,
    block1 = 27,
    size2 = 28,
    size1 = 60,
    request_tag = 292,
    /// Private and elective, agent to upstream: milliseconds of the machine's
    /// monotonic clock, which the two share, after which the upstream must
    /// not begin the request.
    deadline = 65000,
    /// Private and elective, agent to upstream: trace id (16 bytes), span id
    /// (8 bytes), and a byte that is 1 if the trace is sampled.
    trace = 65004,
};

/// One option with its raw value.
struct coap_option
{
    coap_option_number number_ = coap_option_number::etag;
    byte_buffer value_;
};

/// Value of a Block1 or Block2 option.
struct coap_block
{
    std::uint32_t number_ = 0;
    bool more_ = false;
    /// The block size is 2 to the power of this plus 4; 6 at most.
    std::uint8_t size_exponent_ = 6;

    /// Block size in bytes.
    std::size_t size() const;
    /// Where the block starts in the body, in bytes.
    std::size_t offset() const;
};

/// One CoAP message.
struct coap_message
{
    coap_type type_ = coap_type::confirmable;
    coap_code code_ = coap_code::empty;
    std::uint16_t message_id_ = 0;
    /// 0 to 8 bytes.
    byte_buffer token_;
    /// In order of their numbers; repeated options in the order sent.
    std::vector<coap_option> options_;
    byte_buffer payload_;
};

/// Longest token, in bytes.
inline constexpr std::size_t max_coap_token_bytes = 8;

/// Reads one datagram. Fails with `bad_message` if it is no CoAP message of
/// version 1. Never throws. Silences libcoap's own log in this process.
tl::expected<coap_message, error> parse_coap(const std::uint8_t* bytes,
                                             std::size_t size);

/// The datagram of `message`; options are put in order. Fails with
/// `bad_message` if the token or an option is too long.
tl::expected<byte_buffer, error> encode_coap(const coap_message& message);

/// True for a request, of any method.
bool is_request(const coap_message& message);

/// True for a response, piggybacked or separate.
bool is_response(const coap_message& message);

/// True if doing the request twice has the effect of doing it once: all
/// methods known but POST and PATCH (RFC 7252, RFC 8132). An unknown method
/// counts as not idempotent.
bool is_idempotent(coap_code method);

/// The first option of that number, or null.
const coap_option* find_option(const coap_message& message,
                               coap_option_number number);

/// Value of an unsigned option; nothing if absent or longer than 8 bytes.
std::optional<std::uint64_t> uint_option(const coap_message& message,
                                         coap_option_number number);

/// Value of a Block1 or Block2 option; nothing if absent or malformed.
std::optional<coap_block> block_option(const coap_message& message,
                                       coap_option_number number);

/// Uri-Path as `/a/b`; `/` if there is none.
std::string uri_path(const coap_message& message);

/// The trace context in the `trace` option; all zero if absent or malformed.
trace_context trace_of(const coap_message& message);

/// Replaces every option of that number by one with the value, in its place.
void set_option(coap_message& message, coap_option_number number,
                byte_buffer value);

/// As above, with an unsigned value in its shortest form.
void set_uint_option(coap_message& message, coap_option_number number,
                     std::uint64_t value);

/// As above, with a block.
void set_block_option(coap_message& message, coap_option_number number,
                      const coap_block& block);

/// Sets Uri-Path to the segments of `/a/b`.
void set_uri_path(coap_message& message, const std::string& path);

/// Sets the `trace` option.
void set_trace(coap_message& message, const trace_context& trace);

/// Removes every option of that number.
void remove_option(coap_message& message, coap_option_number number);

/// An empty answer to `request` with its token: an ACK of its message id for
/// a confirmable request, else a non-confirmable message.
coap_message make_coap_response(const coap_message& request, coap_code code);

/// The answer that tells the caller `outcome`: 5.03 with Max-Age
/// `retry_after` for `did_not_run`, 5.04 for any other. The payload is the
/// name of the reason.
coap_message make_error_response(const coap_message& request,
                                 const verdict& outcome,
                                 std::chrono::seconds retry_after);

} // namespace galenafork

#endif
