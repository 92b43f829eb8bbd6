/// \file
/// Errors, and verdicts about requests.

#ifndef GALENAFORK_ERROR_H
#define GALENAFORK_ERROR_H

#include <string>

namespace galenafork
{

/// Kind of an error, for code that handles kinds differently.
enum class error_code
{
    bad_address,
    bad_name,
    bad_rule,
    bad_setting,
    bad_message,
    not_found,
    conflict,
    unavailable,
    timed_out,
    unknown_outcome,
    refused,
    internal,
};

/// Returns the enumerator's name, which logs and JSON output use.
const char* to_string(error_code code);

/// An error with a human-readable message.
struct error
{
    error_code code_ = error_code::internal;
    std::string message_;
};

/// Whether a request may have had an effect.
enum class run_state
{
    /// It is proven that the upstream never received the request.
    did_not_run,
    /// The upstream may or may not have acted on the request.
    may_have_run,
    /// The upstream acted on the request once.
    ran,
};

/// Reason for refusing a packet or request.
enum class refusal
{
    none,
    unknown_service,
    wrong_service,
    wrong_instance,
    stale_incarnation,
    too_many_hops,
    no_lease,
    no_home,
    directory_incomplete,
    deputy_unreachable,
    overloaded,
    draining,
    duplicate,
    deadline_passed,
    owner_lost,
    malformed,
};

/// Outcome of a request as reported to the caller. It may be `did_not_run` only
/// if that is proven.
struct verdict
{
    run_state run_state_ = run_state::may_have_run;
    refusal reason_ = refusal::none;
};

/// Returns the enumerator's name.
const char* to_string(run_state state);

/// Returns the enumerator's name, which callers, logs and metrics get.
const char* to_string(refusal reason);

} // namespace galenafork

#endif
