/// \file
/// The command line that all daemons share.

#ifndef GALENAFORK_PROGRAM_OPTIONS_H
#define GALENAFORK_PROGRAM_OPTIONS_H

#include <galenafork/settings.h>

#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Exit code of a daemon.
enum class exit_code : int
{
    /// Stopped on request, or `--help`, `--version` or `--check` succeeded.
    success = 0,
    /// Failed while running, or could not open a socket.
    failure = 1,
    /// The command line is invalid.
    usage = 2,
    /// The settings file is invalid or can't be read.
    bad_settings = 3,
    /// Ended at once by a second SIGTERM or SIGINT.
    forced = 4,
};

/// Parsed command line of a daemon.
struct daemon_arguments
{
    /// Path of the settings file.
    std::string config_path_;
    /// Whether to check the settings and exit.
    bool check_only_ = false;
    /// The values of the additional options, by name.
    std::map<std::string, std::uint32_t> percents_;
};

/// An additional option of a daemon: a whole number from 0 to 100.
struct percent_option
{
    /// Without the leading dashes.
    std::string name_;
    std::string description_;
    std::uint32_t default_ = 0;
};

/// Parses `--config FILE`, `--check`, `--help`, `--version` and the options of
/// `additional`. Without `--config` and `--check`, `default_config_path` is
/// used unless it is empty. If the daemon is not to start, prints
/// the error, the help text or the version and fails with the exit code, which
/// is `bad_settings` if the value of an additional option is not a whole number
/// from 0 to 100.
tl::expected<daemon_arguments, exit_code>
parse_command_line(int argc, const char* const* argv,
                   const std::string& program, const std::string& summary,
                   const std::vector<percent_option>& additional = {},
                   const std::string& default_config_path = "");

/// Returns the content of a file. Fails with `not_found` if the file can't be
/// read.
tl::expected<std::string, error> read_text_file(const std::string& path);

/// Prints `message` to standard error, followed by a newline unless it ends in
/// one.
void print_error(const std::string& message);

/// Reads the command line and the settings file of a daemon. Fails with the
/// exit code if the daemon is not to start: after an error, which is printed
/// (for the settings file, all its errors), after `--help` or `--version`, or
/// after `--check` of a valid file.
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
