/// \file
/// galenactl, the operators' command-line tool.

#include <galenactl/arguments.h>
#include <galenactl/commands.h>

#include <array>
#include <iostream>
#include <kj/exception.h>

namespace
{

using namespace galenafork::ctl;

// A command that needs the platform.
struct command
{
    const char* first_word_;
    // Empty if the name of the command is one word.
    const char* second_word_;
    std::size_t min_words_;
    std::size_t max_words_;
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
    return words.size() >= c.min_words_ && words.size() <= c.max_words_ &&
           words[0] == c.first_word_ && (second.empty() || words[1] == second);
}

bool is_rules_check(const std::vector<std::string>& words)
{
    return words.size() == 3 && words[0] == "rules" && words[1] == "check";
}

bool is_flow_timeline(const std::vector<std::string>& words)
{
    return words.size() >= 3 && words[0] == "flow";
}

exit_status usage_error(const std::string& reason)
{
    std::cerr << "galenactl: " << reason << '\n' << usage_line() << '\n';
    return exit_status::usage;
}

exit_status run(const arguments& args)
{
    if (is_rules_check(args.words_))
    {
        return check_rules(args);
    }
    if (is_flow_timeline(args.words_))
    {
        return show_flow_timeline(args);
    }
    for (const command& c : commands)
    {
        if (!matches(c, args.words_))
        {
            continue;
        }
        if (!args.platform_)
        {
            return usage_error("--platform or --config is required");
        }
        session s(args);
        return c.run_(args, s);
    }
    return usage_error(args.words_.empty()
                           ? "a command is required"
                           : "unknown command or wrong operands");
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        const auto args = read_arguments(argc, argv);
        const exit_status status = args ? run(*args) : args.error();
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
