#include <galenafork/endpoint.h>
#include <galenafork/flow.h>

#include <array>
#include <doctest/doctest.h>

using namespace galenafork;

TEST_CASE("an endpoint is formatted as it was parsed")
{
    for (const char* text : {"10.0.0.1:80", "[2001:db8::1]:5683"})
    {
        const auto parsed = parse_endpoint(text);
        REQUIRE(parsed.has_value());
        CHECK(to_string(*parsed) == text);
    }
}

TEST_CASE("malformed endpoints are rejected")
{
    for (const char* text : {"", ":80", "10.0.0.1", "10.0.0.1:0", "host:80",
                             "10.0.0.1:65536", "[::1]", "1.2.3.4:80x"})
    {
        CAPTURE(text);
        const auto parsed = parse_endpoint(text);
        REQUIRE_FALSE(parsed.has_value());
        CHECK(parsed.error().code_ == error_code::bad_address);
    }
}

TEST_CASE("names consist of lower-case letters, digits and dashes only")
{
    CHECK(is_valid_name("orders-1"));
    CHECK_FALSE(is_valid_name(""));
    CHECK_FALSE(is_valid_name("Orders"));
    CHECK_FALSE(is_valid_name(std::string(max_name_bytes + 1, 'a')));
}

TEST_CASE("flows of one caller are distributed evenly over all buckets")
{
    std::array<int, bucket_count> hits{};
    flow_key flow;
    flow.caller_.address_ = make_v4(10, 0, 0, 1);
    flow.service_address_ = *parse_endpoint("10.9.0.1:5683");
    for (int port = 1; port < 65536; ++port)
    {
        flow.caller_.port_ = static_cast<std::uint16_t>(port);
        ++hits[bucket_of(flow).value()];
    }
    for (const int count : hits)
    {
        // 65535 flows in 256 buckets: the mean is 256, and six standard
        // deviations of the binomial distribution are 96.
        CHECK(count > 160);
        CHECK(count < 352);
    }
}
