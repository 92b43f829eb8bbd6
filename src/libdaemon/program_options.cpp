#include <galenafork/program_options.h>

#include <boost/program_options.hpp>
#include <fstream>
#include <iostream>
#include <sstream>

namespace galenafork
{

namespace options = boost::program_options;

namespace
{

options::options_description describe_options()
{
    options::options_description description("Options");
    auto add = description.add_options();
    add("config", options::value<std::string>(), "settings file (TOML)");
    add("check", "check the settings file and exit");
    add("help", "print this text and exit");
    add("version", "print the version and exit");
    return description;
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
                   const std::string& program, const std::string& summary)
{
    const auto description = describe_options();
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
    if (values->count("config") == 0)
    {
        print_error(program + ": --config FILE is missing");
        return tl::unexpected(exit_code::usage);
    }
    return daemon_arguments{(*values)["config"].as<std::string>(),
                            values->count("check") != 0};
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
