/// \file
/// What the commands print, as text or as JSON.

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

/// Keys keep the order in which they are written.
using json = nlohmann::ordered_json;

/// One rule as JSON.
json to_json(const rule& r);

/// `{added, removed, changed}` as JSON.
json to_json(const rules_diff& diff);

/// One line for each difference: `+` added, `-` removed, both for changed.
std::string to_text(const rules_diff& diff);

/// Prints `text`, or `value` if JSON was asked for, to standard output.
void print(const arguments& given, const std::string& text, const json& value);

/// Reports that a command failed: text to standard error, or JSON. Returns
/// `status`.
exit_status fail(const arguments& given, exit_status status,
                 const std::string& reason);

/// The same for an error of the platform; `not_found` has its own status.
exit_status fail(const arguments& given, const error& e);

/// Reports the faults of a rule file, each with its place.
exit_status fail(const arguments& given, const std::string& file,
                 const std::vector<rule_error>& faults);

} // namespace galenafork::ctl

#endif
