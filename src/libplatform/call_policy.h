/// \file
/// Decisions of the platform client: when it may call, how long it waits, and
/// what the response to a write means. The functions do no I/O; time and random
/// numbers are passed in.

#ifndef LIBPLATFORM_CALL_POLICY_H
#define LIBPLATFORM_CALL_POLICY_H

#include <galenafork/platform_client.h>

namespace galenafork::pvt
{

/// The tokens in a bucket at some time.
struct token_bucket
{
    double tokens_ = 0;
    instant updated_at_{};
};

/// Returns a full bucket.
token_bucket full_bucket(const token_rate& rate, instant now);

/// Returns the time until a token is available; zero if there is one.
duration time_to_token(const token_bucket& bucket, const token_rate& rate,
                       instant now);

/// Removes a token, which must be available.
void consume_token(token_bucket& bucket, const token_rate& rate, instant now);

/// Opens after consecutive failures. After its open time it lets one call at a
/// time through as a probe, until a call succeeds.
struct circuit_breaker
{
    /// Number of failures since the last success.
    unsigned failures_ = 0;
    /// Number of times that the breaker opened since the last success.
    unsigned openings_ = 0;
    /// Time before which an open breaker allows no call. While a probe is in
    /// flight, this is when the probe times out, so that a probe that is
    /// dropped does not block other calls for longer.
    instant open_until_{};
    /// True while a probe is in flight.
    bool probing_ = false;
};

/// True if a call may be sent now.
bool allows_call(const circuit_breaker& breaker,
                 const platform_settings& settings, instant now);

/// Records that a call is sent, as a probe if the breaker is open.
void record_attempt(circuit_breaker& breaker, const platform_settings& settings,
                    instant now);

/// Records a valid response, which closes the breaker.
void record_success(circuit_breaker& breaker);

/// Records a call without a valid response. If this opens the breaker, it stays
/// open for the configured time multiplied by a factor from 0.5 to 1, which
/// `random` in [0, 1) selects.
void record_failure(circuit_breaker& breaker, const platform_settings& settings,
                    instant now, double random);

/// Returns the backoff before retry number `attempt`, from 1: the maximum wait
/// before this retry multiplied by `random` in [0, 1).
duration backoff_delay(const platform_settings& settings, unsigned attempt,
                       double random);

/// The state that all calls of a client share.
struct call_state
{
    token_bucket calls_;
    token_bucket retries_;
    circuit_breaker breaker_;
};

/// Returns the state of a new client, with full buckets.
call_state new_call_state(const platform_settings& settings, instant now);

/// The progress of one call over all its attempts.
struct call_progress
{
    instant deadline_{};
    unsigned attempts_ = 0;
    /// True if an attempt to write got no valid response, so that the write may
    /// have taken effect. The call then waits for the breaker and the budgets
    /// instead of giving up.
    bool must_resolve_ = false;
};

/// The next step of a call.
enum class call_step
{
    attempt,
    wait,
    give_up,
};

/// The decision about the next step of a call.
struct call_decision
{
    call_step step_ = call_step::give_up;
    /// How long to wait, for `call_step::wait`.
    duration wait_{};
    /// Why the call fails, for `call_step::give_up`.
    error reason_;
};

/// Decides the next step of a call. For an attempt, this also consumes the
/// tokens and updates the breaker and `progress`.
call_decision next_step(call_state& state, const platform_settings& settings,
                        call_progress& progress, instant now);

/// The progress of a conditional write.
struct write_progress
{
    object_version expected_version_;
    write_id write_id_;
    /// True if an attempt may have taken effect, because its response was lost
    /// or is not valid.
    bool may_have_been_applied_ = false;
    /// The object's version in the platform's response that refused the write.
    object_version conflict_version_;
};

/// What a read shows about the outcome of an earlier write.
enum class read_back_result
{
    accepted,
    not_accepted,
    unknown,
    /// The object that was read is older than the response that refused the
    /// write, so it has to be read again.
    stale,
};

/// Classifies the outcome of a conditional write by the object that was read
/// after it.
read_back_result classify_read_back(const write_progress& progress,
                                    const platform_object& current);

} // namespace galenafork::pvt

#endif
