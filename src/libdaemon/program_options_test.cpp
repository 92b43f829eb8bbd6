#include <galenafork/program_options.h>

#include <doctest/doctest.h>

using namespace galenafork;

namespace
{

tl::expected<daemon_arguments, exit_code>
parse(std::vector<const char*> arguments, const std::string& default_path = "")
{
    arguments.insert(arguments.begin(), "program");
    return parse_command_line(static_cast<int>(arguments.size()),
                              arguments.data(), "program", "Does something.",
                              {{"share", "a percentage", 7}}, default_path);
}

} // namespace

TEST_CASE("a percentage is a whole number from 0 to 100")
{
    for (const char* text : {"0", "5", "100"})
    {
        const auto arguments = parse({"--config", "f", "--share", text});
        REQUIRE(arguments);
        CHECK(std::to_string(arguments->percents_.at("share")) == text);
    }
    const auto without = parse({"--config", "f"});
    REQUIRE(without);
    CHECK(without->percents_.at("share") == 7);
}

TEST_CASE("a program does not start with a bad percentage")
{
    // A value that was cut off or taken modulo 2^32 would be an unwanted limit.
    for (const char* text : {"101", "-1", "-5", "5x", "5.5", " 5", "+5", "0x5",
                             "4294967301", "99999999999999999999", "many"})
    {
        const auto arguments = parse({"--config", "f", "--share", text});
        REQUIRE_FALSE(arguments);
        CHECK(arguments.error() == exit_code::bad_settings);
    }
    for (const auto& line : std::vector<std::vector<const char*>>{
             {"--config", "f", "--share"},
             {"--config", "f", "--share", "5", "--share", "6"},
             {"--config", "f", "--other", "5"}})
    {
        const auto arguments = parse(line);
        REQUIRE_FALSE(arguments);
        CHECK(arguments.error() == exit_code::usage);
    }
}

TEST_CASE("the default path is used unless the command line has one")
{
    const auto by_default = parse({"--share", "5"}, "default");
    REQUIRE(by_default);
    CHECK(by_default->config_path_ == "default");
    const auto given = parse({"--config", "given"}, "default");
    REQUIRE(given);
    CHECK(given->config_path_ == "given");
    // A check must not succeed for a file that was not named.
    CHECK_FALSE(parse({"--check"}, "default"));
    CHECK_FALSE(parse({}));
}
