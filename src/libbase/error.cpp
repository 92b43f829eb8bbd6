#include <galenafork/error.h>

namespace galenafork
{

const char* to_string(error_code code)
{
    switch (code)
    {
    case error_code::bad_address:
        return "bad_address";
    case error_code::bad_name:
        return "bad_name";
    case error_code::bad_rule:
        return "bad_rule";
    case error_code::bad_setting:
        return "bad_setting";
    case error_code::bad_message:
        return "bad_message";
    case error_code::not_found:
        return "not_found";
    case error_code::conflict:
        return "conflict";
    case error_code::unavailable:
        return "unavailable";
    case error_code::timed_out:
        return "timed_out";
    case error_code::unknown_outcome:
        return "unknown_outcome";
    case error_code::refused:
        return "refused";
    case error_code::internal:
        return "internal";
    }
    return "internal";
}

const char* to_string(run_state state)
{
    switch (state)
    {
    case run_state::did_not_run:
        return "did_not_run";
    case run_state::may_have_run:
        return "may_have_run";
    case run_state::ran:
        return "ran";
    }
    return "may_have_run";
}

const char* to_string(refusal reason)
{
    switch (reason)
    {
    case refusal::none:
        return "none";
    case refusal::unknown_service:
        return "unknown_service";
    case refusal::wrong_service:
        return "wrong_service";
    case refusal::wrong_instance:
        return "wrong_instance";
    case refusal::stale_incarnation:
        return "stale_incarnation";
    case refusal::too_many_hops:
        return "too_many_hops";
    case refusal::no_lease:
        return "no_lease";
    case refusal::no_home:
        return "no_home";
    case refusal::directory_incomplete:
        return "directory_incomplete";
    case refusal::deputy_unreachable:
        return "deputy_unreachable";
    case refusal::overloaded:
        return "overloaded";
    case refusal::draining:
        return "draining";
    case refusal::duplicate:
        return "duplicate";
    case refusal::deadline_passed:
        return "deadline_passed";
    case refusal::owner_lost:
        return "owner_lost";
    case refusal::malformed:
        return "malformed";
    }
    return "none";
}

} // namespace galenafork
