/// \file
/// CoAP messages (RFC 7252, RFC 7959, RFC 8132) as plain structs, parsed and
/// encoded with libcoap.

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

/// Message type.
enum class coap_type : std::uint8_t
{
    confirmable = 0,
    non_confirmable = 1,
    acknowledgement = 2,
    reset = 3,
};

/// Message code: class in the upper three bits, detail in the lower five.
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

/// Option number.
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
    /// Private elective option from an agent to its upstream: the time, in
    /// milliseconds of the monotonic clock of the machine that they share,
    /// after which the upstream must not start the request.
    deadline = 65000,
    /// Private elective option from an agent to its upstream: trace id (16
    /// bytes), span id (8 bytes), and a byte that is 1 if the trace is sampled.
    trace = 65004,
};

/// An option with its encoded value.
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
    /// 0 to 6: the block size is 2 to the power of `size_exponent_ + 4` bytes.
    std::uint8_t size_exponent_ = 6;

    /// Returns the block size in bytes.
    std::size_t size() const;
    /// Returns the offset of the block in the body, in bytes.
    std::size_t offset() const;
};

/// A CoAP message.
struct coap_message
{
    coap_type type_ = coap_type::confirmable;
    coap_code code_ = coap_code::empty;
    std::uint16_t message_id_ = 0;
    /// 0 to 8 bytes.
    byte_buffer token_;
    /// Sorted by number; options with the same number in the order sent.
    std::vector<coap_option> options_;
    byte_buffer payload_;
};

/// Maximum length of a token, in bytes.
inline constexpr std::size_t max_coap_token_bytes = 8;

/// Parses one datagram. Fails with `bad_message` if it is not a CoAP message of
/// version 1. Never throws. Disables libcoap's own logging in this process,
/// except for critical errors.
tl::expected<coap_message, error> parse_coap(const std::uint8_t* bytes,
                                             std::size_t size);

/// Returns the datagram for `message`, with the options sorted by number. Fails
/// with `bad_message` if the token, an option or the datagram is too long.
tl::expected<byte_buffer, error> encode_coap(const coap_message& message);

/// Returns whether the code of `message` is a request method, known or not.
bool is_request(const coap_message& message);

/// Returns whether `message` is a response, piggybacked or separate.
bool is_response(const coap_message& message);

/// Returns whether running a request twice has the same effect as running it
/// once. True for all known methods except POST and PATCH (RFC 7252, RFC 8132);
/// false for unknown methods.
bool is_idempotent(coap_code method);

/// Returns the first option with the number, or null if there is none.
const coap_option* find_option(const coap_message& message,
                               coap_option_number number);

/// Returns the value of an unsigned option; nothing if the option is absent or
/// longer than 8 bytes.
std::optional<std::uint64_t> uint_option(const coap_message& message,
                                         coap_option_number number);

/// Returns the value of a Block1 or Block2 option; nothing if the option is
/// absent or malformed.
std::optional<coap_block> block_option(const coap_message& message,
                                       coap_option_number number);

/// Returns the Uri-Path options as `/a/b`, or `/` if there are none.
std::string uri_path(const coap_message& message);

/// Returns the trace context in the `trace` option; all zero if the option is
/// absent or malformed.
trace_context trace_of(const coap_message& message);

/// Replaces all options with the number by one with `value`.
void set_option(coap_message& message, coap_option_number number,
                byte_buffer value);

/// As above, with an unsigned value in its shortest encoding.
void set_uint_option(coap_message& message, coap_option_number number,
                     std::uint64_t value);

/// As above, with a block.
void set_block_option(coap_message& message, coap_option_number number,
                      const coap_block& block);

/// Replaces the Uri-Path options by the segments of `path`, such as `/a/b`.
void set_uri_path(coap_message& message, const std::string& path);

/// Sets the `trace` option.
void set_trace(coap_message& message, const trace_context& trace);

/// Removes all options with the number.
void remove_option(coap_message& message, coap_option_number number);

/// Returns a response to `request` without payload, with the message id and the
/// token of `request`: an acknowledgement of a confirmable request, otherwise a
/// non-confirmable message.
coap_message make_coap_response(const coap_message& request, coap_code code);

/// Returns the response that reports `outcome` to the caller: 5.03 with Max-Age
/// `retry_after` for `did_not_run`, 5.04 for any other run state. The payload
/// is the name of the reason.
coap_message make_error_response(const coap_message& request,
                                 const verdict& outcome,
                                 std::chrono::seconds retry_after);

} // namespace galenafork

#endif
