/// \file
/// The operators' command.

#include <galenactl/arguments.h>
#include <galenactl/commands.h>

#include <array>
#include <iostream>
#include <kj/exception.h>

namespace
{

using namespace galenafork::ctl;

// A command that asks the platform.
struct command
{
    const char* first_word_;
    // Empty if one word names the command.
    const char* second_word_;
    std::size_t least_words_;
    std::size_t most_words_;
    exit_status (*run_)(const arguments&, session&);
};

constexpr std::array<command, 7> commands{{
    {"rules", "apply", 3, 3, apply_rules},
    {"rules", "show", 2, 2, show_rules},
    {"rules", "history", 2, 2, show_history},
    {"status", "", 1, 2, show_status},
    {"drain", "", 3, 3, drain},
    {"undrain", "", 3, 3, undrain},
    {"explain", "", 3, 3, explain},
}};

bool matches(const command& c, const std::vector<std::string>& words)
{
    const std::string second = c.second_word_;
    return words.size() >= c.least_words_ && words.size() <= c.most_words_ &&
           words[0] == c.first_word_ && (second.empty() || words[1] == second);
}

bool is_check(const std::vector<std::string>& words)
{
    return words.size() == 3 && words[0] == "rules" && words[1] == "check";
}

bool is_life(const std::vector<std::string>& words)
{
    return words.size() >= 3 && words[0] == "flow";
}

exit_status usage_fault(const std::string& reason)
{
    std::cerr << "galenactl: " << reason << '\n' << usage_line() << '\n';
    return exit_status::usage;
}

exit_status run(const arguments& given)
{
    if (is_check(given.words_))
    {
        return check_rules(given);
    }
    if (is_life(given.words_))
    {
        return show_flow_timeline(given);
    }
    for (const command& c : commands)
    {
        if (!matches(c, given.words_))
        {
            continue;
        }
        if (!given.platform_)
        {
            return usage_fault("--platform or --config is needed");
        }
        session s(given);
        return c.run_(given, s);
    }
    return usage_fault(given.words_.empty() ? "a command is needed"
                                            : "no such command or operands");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto given = read_arguments(argc, argv);
        const exit_status status = given ? run(*given) : given.error();
        return static_cast<int>(status);
    }
    catch (const kj::Exception& e)
    {
        std::cerr << "galenactl: " << e.getDescription().cStr() << '\n';
    }
    catch (const std::exception& e)
    {
        std::cerr << "galenactl: " << e.what() << '\n';
    }
    return static_cast<int>(exit_status::failure);
}
