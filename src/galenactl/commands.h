/// \file
/// The commands. Each prints its result and returns the exit status.

#ifndef GALENACTL_COMMANDS_H
#define GALENACTL_COMMANDS_H

#include <galenactl/arguments.h>
#include <galenactl/session.h>
#include <galenafork/rules_object.h>

namespace galenafork::ctl
{

/// `rules check FILE`
exit_status check_rules(const arguments& given);

/// `rules apply FILE`
exit_status apply_rules(const arguments& given, session& s);

/// `rules show`
exit_status show_rules(const arguments& given, session& s);

/// `rules history`
exit_status show_history(const arguments& given, session& s);

/// `status [SERVICE]`
exit_status show_status(const arguments& given, session& s);

/// `drain SERVICE INSTANCE`
exit_status drain(const arguments& given, session& s);

/// `undrain SERVICE INSTANCE`
exit_status undrain(const arguments& given, session& s);

/// `flow FLOW LOG...`
exit_status show_flow_timeline(const arguments& given);

/// `explain CALLER ADDRESS`
exit_status explain(const arguments& given, session& s);

/// The rules in force with the version of their object.
struct stored_rules
{
    object_version object_version_;
    rules_object object_;
};

/// Reads the rules in force. Fails with `not_found` if none were ever applied.
tl::expected<stored_rules, error> read_stored_rules(session& s);

} // namespace galenafork::ctl

#endif
