/// \file
/// The command line that every daemon shares.

#ifndef GALENAFORK_PROGRAM_OPTIONS_H
#define GALENAFORK_PROGRAM_OPTIONS_H

#include <galenafork/settings.h>

#include <string>
#include <tl/expected.hpp>

namespace galenafork
{

/// How a daemon ends.
enum class exit_code : int
{
    /// Stopped as asked, or `--help`, `--version`, `--check` succeeded.
    success = 0,
    /// Failed while it ran, or could not open a socket.
    failure = 1,
    /// The command line is wrong.
    usage = 2,
    /// The settings file is wrong or can't be read.
    bad_settings = 3,
    /// A second SIGTERM or SIGINT ended it at once.
    forced = 4,
};

/// What the command line asks for.
struct daemon_arguments
{
    /// Path of the settings file.
    std::string config_path_;
    /// Check the settings and exit.
    bool check_only_ = false;
};

/// Reads `--config FILE`, `--check`, `--help` and `--version`. Fails with the
/// exit code if there is nothing to start; what the user needs to know has
/// then been printed.
tl::expected<daemon_arguments, exit_code>
parse_command_line(int argc, const char* const* argv,
                   const std::string& program, const std::string& summary);

/// The whole text of a file. Fails with `not_found`.
tl::expected<std::string, error> read_text_file(const std::string& path);

/// Prints `message` to standard error.
void print_error(const std::string& message);

/// Reads the command line and the settings file of a daemon. Fails with the
/// exit code if there is nothing to start; all faults have then been printed.
template <class Settings>
tl::expected<Settings, exit_code>
settings_from_command_line(int argc, const char* const* argv,
                           const std::string& program,
                           const std::string& summary)
{
    const auto arguments = parse_command_line(argc, argv, program, summary);
    if (!arguments)
    {
        return tl::unexpected(arguments.error());
    }
    const auto text = read_text_file(arguments->config_path_);
    if (!text)
    {
        print_error(text.error().message_);
        return tl::unexpected(exit_code::bad_settings);
    }
    auto settings = settings_from_text<Settings>(*text);
    if (!settings)
    {
        print_error(
            format_settings_errors(arguments->config_path_, settings.error()));
        return tl::unexpected(exit_code::bad_settings);
    }
    if (arguments->check_only_)
    {
        return tl::unexpected(exit_code::success);
    }
    return std::move(*settings);
}

} // namespace galenafork

#endif
