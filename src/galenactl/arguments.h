/// \file
/// The command line of galenactl and the codes it exits with.

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

/// What the command exits with.
enum class exit_status : int
{
    /// Done, or there was nothing to do.
    success = 0,
    /// The platform could not be asked; nothing was changed.
    failure = 1,
    /// The command line is wrong.
    usage = 2,
    /// The settings file is wrong or cannot be read.
    bad_settings = 3,
    /// The rule file has faults or cannot be read; nothing was changed.
    bad_rules = 4,
    /// Another operator's change came first; nothing was changed.
    not_accepted = 5,
    /// It could not be found out whether the change took effect.
    unknown = 6,
    /// No such service, instance, rule or version.
    not_found = 7,
};

/// What the user asked for.
struct arguments
{
    /// The command and its operands, such as `rules apply FILE`.
    std::vector<std::string> words_;
    /// Where the platform answers; absent for commands that need none.
    std::optional<endpoint> platform_;
    /// Longest time for one exchange with the platform.
    std::uint64_t deadline_ms_ = 5000;
    /// Who makes the change.
    std::string author_;
    /// Version that the new rules were edited from.
    std::optional<std::uint64_t> base_;
    /// Version to show.
    std::optional<std::uint64_t> version_;
    /// Accept rules of services that nobody has announced yet.
    bool new_services_ = false;
    /// Print JSON in place of text.
    bool json_ = false;
};

/// The one line that says how to call galenactl.
std::string usage_line();

/// Reads the command line and the settings file it names. Fails with the exit
/// status if there is nothing to run; what the user needs to know has then
/// been printed.
tl::expected<arguments, exit_status> read_arguments(int argc,
                                                    const char* const* argv);

} // namespace galenafork::ctl

#endif
