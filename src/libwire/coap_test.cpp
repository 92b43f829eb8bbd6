#include <galenafork/coap.h>

#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace galenafork;

namespace
{

constexpr unsigned seed = 20261204;

coap_message sample_request()
{
    coap_message request;
    request.code_ = coap_code::post;
    request.message_id_ = 0xabcd;
    request.token_ = {1, 2, 3, 4, 5, 6, 7, 8};
    set_uri_path(request, "/intake/7");
    set_block_option(request, coap_option_number::block1, {5, true, 6});
    set_uint_option(request, coap_option_number::deadline, 123456789012U);
    set_option(request, coap_option_number::request_tag, {9, 9});
    request.payload_ = {'o', 'r', 'd', 'e', 'r'};
    return request;
}

byte_buffer encoded(const coap_message& message)
{
    const auto bytes = encode_coap(message);
    REQUIRE(bytes.has_value());
    return *bytes;
}

coap_message encode_and_parse(const coap_message& message)
{
    const byte_buffer bytes = encoded(message);
    const auto parsed = parse_coap(bytes.data(), bytes.size());
    REQUIRE(parsed.has_value());
    return *parsed;
}

void check_parse(const byte_buffer& bytes)
{
    const auto parsed = parse_coap(bytes.data(), bytes.size());
    if (!parsed.has_value())
    {
        RC_ASSERT(parsed.error().code_ == error_code::bad_message);
        return;
    }
    RC_ASSERT(encode_coap(*parsed).has_value());
    uri_path(*parsed);
    trace_of(*parsed);
    block_option(*parsed, coap_option_number::block2);
    uint_option(*parsed, coap_option_number::max_age);
}

} // namespace

TEST_CASE("a parsed message equals the encoded one")
{
    const coap_message request = sample_request();
    const coap_message parsed = encode_and_parse(request);
    CHECK(parsed.type_ == request.type_);
    CHECK(parsed.code_ == request.code_);
    CHECK(parsed.message_id_ == request.message_id_);
    CHECK(parsed.token_ == request.token_);
    CHECK(parsed.payload_ == request.payload_);
    CHECK(uri_path(parsed) == "/intake/7");
    CHECK(uint_option(parsed, coap_option_number::deadline) == 123456789012U);
    const auto block = block_option(parsed, coap_option_number::block1);
    REQUIRE(block.has_value());
    CHECK(block->number_ == 5);
    CHECK(block->more_);
    CHECK(block->offset() == 5 * 1024);
    CHECK(encoded(parsed) == encoded(request));
}

TEST_CASE("encoding and parsing preserve the trace context")
{
    coap_message request = sample_request();
    trace_context trace;
    trace.trace_id_ = {1, 2, 3};
    trace.span_id_ = {4, 5};
    trace.sampled_ = true;
    set_trace(request, trace);
    const trace_context parsed = trace_of(encode_and_parse(request));
    CHECK(parsed.trace_id_ == trace.trace_id_);
    CHECK(parsed.span_id_ == trace.span_id_);
    CHECK(parsed.sampled_);
}

TEST_CASE("an encoded request equals the example in RFC 7252, figure 16")
{
    coap_message request;
    request.code_ = coap_code::get;
    request.message_id_ = 0x7d34;
    set_uri_path(request, "/temperature");
    const byte_buffer expected{0x40, 0x01, 0x7d, 0x34, 0xbb, 't', 'e', 'm',
                               'p',  'e',  'r',  'a',  't',  'u', 'r', 'e'};
    CHECK(encoded(request) == expected);
}

TEST_CASE("only POST, PATCH and unknown methods are not idempotent")
{
    for (const coap_code method :
         {coap_code::get, coap_code::put, coap_code::del, coap_code::fetch,
          coap_code::ipatch})
    {
        CHECK(is_idempotent(method));
    }
    CHECK_FALSE(is_idempotent(coap_code::post));
    CHECK_FALSE(is_idempotent(coap_code::patch));
    CHECK_FALSE(is_idempotent(static_cast<coap_code>(0x1f)));
}

TEST_CASE("an error response matches its request and reports the verdict")
{
    const coap_message request = sample_request();
    const coap_message did_not_run = make_error_response(
        request, {run_state::did_not_run, refusal::overloaded},
        std::chrono::seconds(3));
    CHECK(did_not_run.type_ == coap_type::acknowledgement);
    CHECK(did_not_run.code_ == coap_code::service_unavailable);
    CHECK(did_not_run.message_id_ == request.message_id_);
    CHECK(did_not_run.token_ == request.token_);
    CHECK(uint_option(did_not_run, coap_option_number::max_age) == 3);

    const coap_message may_have_run = make_error_response(
        request, {run_state::may_have_run, refusal::owner_lost},
        std::chrono::seconds(3));
    CHECK(may_have_run.code_ == coap_code::gateway_timeout);
    CHECK(find_option(may_have_run, coap_option_number::max_age) == nullptr);
}

TEST_CASE("the error response to a non-confirmable request is non-confirmable")
{
    coap_message request = sample_request();
    request.type_ = coap_type::non_confirmable;
    const coap_message response = make_error_response(
        request, {run_state::did_not_run, refusal::no_lease},
        std::chrono::seconds(1));
    CHECK(response.type_ == coap_type::non_confirmable);
}

TEST_CASE("a message whose token or payload is too long is not encoded")
{
    coap_message message = sample_request();
    message.token_.resize(max_coap_token_bytes + 1);
    CHECK_FALSE(encode_coap(message).has_value());
    message = sample_request();
    message.payload_.resize(70000);
    CHECK_FALSE(encode_coap(message).has_value());
}

TEST_CASE("corrupted and truncated datagrams are parsed without a read outside "
          "the buffer")
{
    constexpr int rounds = 20000;
    std::mt19937 random(seed);
    for (int i = 0; i < rounds; ++i)
    {
        byte_buffer bytes = encoded(sample_request());
        bytes[random() % bytes.size()] ^=
            static_cast<std::uint8_t>(1U << (random() % 8));
        bytes.resize(random() % (bytes.size() + 1));
        bytes.shrink_to_fit();
        check_parse(bytes);
    }
}

TEST_CASE("random datagrams are parsed without a read outside the buffer")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=2000", 0);
    CHECK(rc::check("parse_coap", check_parse));
}

TEST_CASE("malformed messages are refused")
{
    const std::vector<byte_buffer> messages{
        {},
        {0x40, 0x01, 0x00},
        {0x00, 0x01, 0x00, 0x01},             // version 0
        {0x49, 0x01, 0x00, 0x01, 1, 2, 3, 4}, // token length 9
        {0x44, 0x01, 0x00, 0x01, 1},          // truncated token
        {0x40, 0x01, 0x00, 0x01, 0xff},       // payload marker without payload
        {0x40, 0x01, 0x00, 0x01, 0xb4, 'a'},  // truncated option
        {0x40, 0x01, 0x00, 0x01, 0xf0},       // reserved option delta
        {0x40, 0x00, 0x00, 0x01, 0x01},       // empty message with content
    };
    for (const byte_buffer& bytes : messages)
    {
        CAPTURE(bytes.size());
        CHECK_FALSE(parse_coap(bytes.data(), bytes.size()).has_value());
    }
}
