/// \file
/// Output of the commands, as text or as JSON.

#ifndef GALENACTL_REPORT_H
#define GALENACTL_REPORT_H

#include <galenactl/arguments.h>
#include <galenafork/error.h>
#include <galenafork/rules.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace galenafork::ctl
{

/// JSON that keeps the keys in the order of insertion.
using json = nlohmann::ordered_json;

/// Returns one rule as JSON.
json to_json(const rule& r);

/// Returns the difference as a JSON object with `added`, `removed` and
/// `changed`.
json to_json(const rules_diff& diff);

/// Returns a line with `+` for each added rule, with `-` for each removed rule,
/// and both for each changed rule.
std::string to_text(const rules_diff& diff);

/// Prints `text`, or `value` if `--json` was given, to standard output.
void print(const arguments& args, const std::string& text, const json& value);

/// Reports the failure of a command, as text on standard error or as JSON on
/// standard output. Returns `status`.
exit_status fail(const arguments& args, exit_status status,
                 const std::string& reason);

/// Reports the message of `e` in the same way. Returns `not_found` for an error
/// with that code and `failure` for any other.
exit_status fail(const arguments& args, const error& e);

/// Reports the errors in a rule file, each with its line and column. Returns
/// `bad_rules`.
exit_status fail(const arguments& args, const std::string& file,
                 const std::vector<rule_error>& errors);

} // namespace galenafork::ctl

#endif
