#include <galenafork/program_options.h>

#include <boost/program_options.hpp>
#include <charconv>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>

namespace galenafork
{

namespace options = boost::program_options;

namespace
{

options::options_description
describe_options(const std::vector<percent_option>& additional)
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("config", options::value<std::string>(), "settings file (TOML)");
    add("check", "check the settings file and exit");
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    for (const percent_option& option : additional)
    {
        add(option.name_.c_str(), options::value<std::string>(),
            option.description_.c_str());
    }
    return description;
}

// Returns nothing if `text` is not a whole number from 0 to 100.
std::optional<std::uint32_t> parse_percent(const std::string& text)
{
    constexpr std::uint32_t max_percent = 100;
    std::uint32_t value = 0;
    const char* end = text.data() + text.size();
    const auto [stopped_at, code] = std::from_chars(text.data(), end, value);
    if (code != std::errc() || stopped_at != end || value > max_percent)
    {
        return std::nullopt;
    }
    return value;
}

// Returns the values of `additional`, or a message about the first bad one.
tl::expected<std::map<std::string, std::uint32_t>, std::string>
read_percents(const options::variables_map& values,
              const std::vector<percent_option>& additional)
{
    std::map<std::string, std::uint32_t> percents;
    for (const percent_option& option : additional)
    {
        percents[option.name_] = option.default_;
        if (values.count(option.name_) == 0)
        {
            continue;
        }
        const auto& text = values[option.name_].as<std::string>();
        const auto value = parse_percent(text);
        if (!value)
        {
            return tl::unexpected("--" + option.name_ +
                                  " must be a whole number from 0 to 100, and "
                                  "is \"" +
                                  text + "\"");
        }
        percents[option.name_] = *value;
    }
    return percents;
}

tl::expected<options::variables_map, std::string>
parse(int argc, const char* const* argv,
      const options::options_description& description)
{
    try
    {
        options::variables_map values;
        options::store(
            options::command_line_parser(argc, argv)
                .options(description)
                .positional(options::positional_options_description())
                .run(),
            values);
        return values;
    }
    catch (const options::error& failure)
    {
        return tl::unexpected(std::string(failure.what()));
    }
}

} // namespace

tl::expected<daemon_arguments, exit_code>
parse_command_line(int argc, const char* const* argv,
                   const std::string& program, const std::string& summary,
                   const std::vector<percent_option>& additional,
                   const std::string& default_config_path)
{
    const auto description = describe_options(additional);
    const auto values = parse(argc, argv, description);
    if (!values)
    {
        print_error(program + ": " + values.error());
        return tl::unexpected(exit_code::usage);
    }
    if (values->count("help") != 0)
    {
        std::cout << "usage: " << program << " --config FILE [--check]\n"
                  << summary << "\n\n"
                  << description
                  << "\nExit codes: 0 stopped on request, 1 failed, 2 invalid "
                     "command line,\n3 invalid settings, 4 ended at once by a "
                     "second signal.\n";
        return tl::unexpected(exit_code::success);
    }
    if (values->count("version") != 0)
    {
        std::cout << program << " " << GALENA_VERSION << "\n";
        return tl::unexpected(exit_code::success);
    }
    auto percents = read_percents(*values, additional);
    if (!percents)
    {
        print_error(program + ": " + percents.error());
        return tl::unexpected(exit_code::bad_settings);
    }
    daemon_arguments arguments;
    arguments.check_only_ = values->count("check") != 0;
    arguments.percents_ = std::move(*percents);
    if (values->count("config") != 0)
    {
        arguments.config_path_ = (*values)["config"].as<std::string>();
        return arguments;
    }
    if (default_config_path.empty() || arguments.check_only_)
    {
        print_error(program + ": --config FILE is missing");
        return tl::unexpected(exit_code::usage);
    }
    arguments.config_path_ = default_config_path;
    return arguments;
}

tl::expected<std::string, error> read_text_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file || !text)
    {
        return tl::unexpected(
            error{error_code::not_found, path + ": can't be read"});
    }
    return text.str();
}

void print_error(const std::string& message)
{
    std::cerr << message;
    if (message.empty() || message.back() != '\n')
    {
        std::cerr << '\n';
    }
}

} // namespace galenafork
