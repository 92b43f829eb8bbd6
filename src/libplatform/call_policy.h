/// \file
/// When the platform client may call, how long it waits, and what an answer
/// to a write means. Pure decisions: time and random numbers are passed in.

#ifndef LIBPLATFORM_CALL_POLICY_H
#define LIBPLATFORM_CALL_POLICY_H

#include <galenafork/platform_client.h>

namespace galenafork::pvt
{

/// Tokens left and when they were last counted.
struct token_bucket
{
    double tokens_ = 0;
    instant filled_at_{};
};

/// A bucket with all its tokens.
token_bucket full_bucket(const token_rate& rate, instant now);

/// How long until there is a token; zero if there is one.
duration time_to_token(const token_bucket& bucket, const token_rate& rate,
                       instant now);

/// Takes a token; call only if there is one.
void take_token(token_bucket& bucket, const token_rate& rate, instant now);

/// Opens after failures in a row, then lets one probe through at a time.
struct circuit_breaker
{
    unsigned failures_ = 0;
    /// Times in a row that it opened without a success between.
    unsigned openings_ = 0;
    /// While a probe is out: the time by which it must have come back, so
    /// that a dropped probe blocks nobody for longer.
    instant open_until_{};
    bool probing_ = false;
};

/// True if a call may go out now.
bool allows_call(const circuit_breaker& breaker,
                 const platform_settings& settings, instant now);

/// Notes a call that goes out.
void record_attempt(circuit_breaker& breaker, const platform_settings& settings,
                    instant now);

/// Notes an answer of any kind.
void record_success(circuit_breaker& breaker);

/// Notes a call without a proper answer; `random` in [0, 1) spreads the end
/// of the open time over its second half.
void record_failure(circuit_breaker& breaker, const platform_settings& settings,
                    instant now, double random);

/// Longest wait before attempt number `attempt` (1 is the first retry) times
/// a random share in [0, 1).
duration backoff_delay(const platform_settings& settings, unsigned attempt,
                       double random);

/// Shared by all calls of a client.
struct call_state
{
    token_bucket calls_;
    token_bucket retries_;
    circuit_breaker breaker_;
};

/// Fresh state with full buckets.
call_state new_call_state(const platform_settings& settings, instant now);

/// One call, over its attempts.
struct call_progress
{
    instant deadline_{};
    unsigned attempts_ = 0;
    /// An attempt to write got no answer, so the write may have taken effect:
    /// the call waits for breaker and budgets in place of giving up.
    bool must_resolve_ = false;
};

/// What to do next in a call.
enum class call_step
{
    attempt,
    wait,
    give_up,
};

/// A step with its wait or its reason.
struct call_decision
{
    call_step step_ = call_step::give_up;
    duration wait_{};
    error reason_;
};

/// Decides the next step of a call and takes the tokens if it is an attempt.
call_decision next_step(call_state& state, const platform_settings& settings,
                        call_progress& progress, instant now);

/// What the client knows of a write that it tries.
struct write_progress
{
    object_version expected_version_;
    write_id write_id_;
    /// An attempt got no answer.
    bool may_have_been_applied_ = false;
    /// Version that the platform named when it refused the write.
    object_version conflict_version_;
};

/// What a read after a refused write means.
enum class read_back_result
{
    accepted,
    not_accepted,
    unknown,
    /// Older than the refusal: read again.
    stale,
};

/// Judges the object read after the platform refused a conditional write.
read_back_result classify_read_back(const write_progress& progress,
                                    const platform_object& current);

} // namespace galenafork::pvt

#endif
