/// \file
/// Command line and exit codes of galenactl.

#ifndef GALENACTL_ARGUMENTS_H
#define GALENACTL_ARGUMENTS_H

#include <galenafork/endpoint.h>

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork::ctl
{

/// Exit codes.
enum class exit_status : int
{
    /// The command succeeded, or there was nothing to do.
    success = 0,
    /// A call to the platform failed or returned invalid data; nothing was
    /// changed.
    failure = 1,
    /// The command line is invalid.
    usage = 2,
    /// The settings file is invalid or cannot be read.
    bad_settings = 3,
    /// The rule file has errors or cannot be read; nothing was changed.
    bad_rules = 4,
    /// The change conflicted with another change; nothing was changed.
    not_accepted = 5,
    /// It could not be determined whether the change took effect.
    unknown = 6,
    /// The service, instance, rule, version or flow was not found.
    not_found = 7,
};

/// The parsed command line, with the values of the settings file.
struct arguments
{
    /// The command and its operands, such as `rules apply FILE`.
    std::vector<std::string> words_;
    /// Address of the platform, if given; some commands do not need it.
    std::optional<endpoint> platform_;
    /// Time limit of one call to the platform, including retries.
    std::uint64_t deadline_ms_ = 5000;
    /// Name that is stored as the author of a change.
    std::string author_;
    /// `rules apply`: version on which the new rules are based.
    std::optional<std::uint64_t> base_;
    /// `rules show`: version to print.
    std::optional<std::uint64_t> version_;
    /// `rules apply`: accept rules of services that no instance has joined yet.
    bool new_services_ = false;
    /// Print JSON instead of text.
    bool json_ = false;
};

/// Returns the line that describes how to call galenactl.
std::string usage_line();

/// Parses the command line and the settings file that it names. Fails with the
/// exit status if no command is to be run: after an error, which is printed, or
/// after `--help` and `--version`.
tl::expected<arguments, exit_status> read_arguments(int argc,
                                                    const char* const* argv);

} // namespace galenafork::ctl

#endif
