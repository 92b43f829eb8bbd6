#include <libplatform/http_exchange.h>

#include <doctest/doctest.h>
#include <iostream>
#include <rapidcheck.h>

using namespace galenafork;
using namespace galenafork::pvt;

namespace
{

constexpr std::uint64_t property_seed = 20261204;
constexpr int property_runs = 500;

template <class Property>
bool holds(Property&& property)
{
    rc::detail::TestParams params;
    params.seed = property_seed;
    params.maxSuccess = property_runs;
    const auto result = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata{}, params);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("malformed responses are rejected")
{
    for (const char* body :
         {"", "null", "[]", "{}", R"({"version":"1","value":1})",
          R"({"version":-1,"value":1})", R"({"version":1.5,"value":1})",
          R"({"value":1})", "{\"version\":1,\"value\":"})
    {
        CAPTURE(body);
        CHECK_FALSE(parse_object("o", body).has_value());
        CHECK_FALSE(parse_list(body).has_value());
    }
}

TEST_CASE("no response body crashes the parsers")
{
    const std::string json_fragments =
        R"({"version":1,"value":{}},[objectsname"0-9e.)";
    CHECK(holds(
        [&]
        {
            const auto body = *rc::gen::container<std::string>(
                rc::gen::oneOf(rc::gen::elementOf(json_fragments),
                               rc::gen::arbitrary<char>()));
            (void)parse_object("o", body);
            (void)parse_version(body);
            (void)parse_list(body);
        }));
}

TEST_CASE("names and prefixes are encoded in URLs")
{
    CHECK(object_url("rules/current") == "/v1/objects/rules/current");
    CHECK(object_url("a b?/c") == "/v1/objects/a%20b%3F/c");
    CHECK(list_url("roster/") == "/v1/objects?prefix=roster%2F");
}
