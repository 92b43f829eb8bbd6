/// \file
/// Errors and verdicts.

#ifndef GALENAFORK_ERROR_H
#define GALENAFORK_ERROR_H

#include <string>

namespace galenafork
{

/// What went wrong, for code that must tell cases apart.
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

/// The lower-case word that logs and JSON output use for `code`.
const char* to_string(error_code code);

/// An error with a message for a person.
struct error
{
    error_code code_ = error_code::internal;
    std::string message_;
};

/// Whether a request may have had an effect.
enum class run_state
{
    /// It is proved that the upstream never saw the request.
    did_not_run,
    /// The upstream may or may not have acted on the request.
    may_have_run,
    /// The upstream acted on the request once.
    ran,
};

/// Why a packet or request was refused.
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

/// Outcome of a request as told to the caller. `did_not_run` may be used only
/// where it is proved.
struct verdict
{
    run_state run_state_ = run_state::may_have_run;
    refusal reason_ = refusal::none;
};

/// `did_not_run`, `may_have_run` or `ran`.
const char* to_string(run_state state);

/// The enumerator's name.
const char* to_string(refusal reason);

} // namespace galenafork

#endif
