/// \file
/// The commands of galenactl. Each prints its result and returns the exit
/// status.

#ifndef GALENACTL_COMMANDS_H
#define GALENACTL_COMMANDS_H

#include <galenactl/arguments.h>
#include <galenactl/session.h>
#include <galenafork/rules_object.h>

namespace galenafork::ctl
{

/// Runs `rules check FILE`.
exit_status check_rules(const arguments& args);

/// Runs `rules apply FILE`.
exit_status apply_rules(const arguments& args, session& s);

/// Runs `rules show`.
exit_status show_rules(const arguments& args, session& s);

/// Runs `rules history`.
exit_status show_history(const arguments& args, session& s);

/// Runs `status [SERVICE]`.
exit_status show_status(const arguments& args, session& s);

/// Runs `drain SERVICE INSTANCE`.
exit_status drain(const arguments& args, session& s);

/// Runs `undrain SERVICE INSTANCE`.
exit_status undrain(const arguments& args, session& s);

/// Runs `flow FLOW LOG...`.
exit_status show_flow_timeline(const arguments& args);

/// Runs `explain CALLER ADDRESS`.
exit_status explain(const arguments& args, session& s);

/// The active rules and the version of the platform object that holds them.
struct stored_rules
{
    object_version object_version_;
    rules_object object_;
};

/// Reads the active rules. Fails with `not_found` if none were ever applied,
/// and with another error if they cannot be read or parsed.
tl::expected<stored_rules, error> read_stored_rules(session& s);

} // namespace galenafork::ctl

#endif
