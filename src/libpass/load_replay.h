/// \file
/// Simulation of callers, balancers, agents and upstreams in virtual time, for
/// tests that replay a load with the real decisions.

#ifndef LIBPASS_LOAD_REPLAY_H
#define LIBPASS_LOAD_REPLAY_H

#include <galenafork/pass_agent.h>
#include <galenafork/pass_balancer.h>

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace galenafork::load
{

/// One kind of request.
struct request_kind
{
    /// Fraction of all requests.
    double fraction_ = 1.0;
    /// Mean service time at a warm upstream.
    duration work_{0};
    duration latency_target_{0};
    duration deadline_{0};
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
};

/// Settings of the load and of the fleet that serves it.
struct replay_settings
{
    std::uint32_t seed_ = 1;
    std::size_t balancers_ = 4;
    std::size_t agents_ = 12;
    std::uint32_t slots_ = 2;
    std::vector<request_kind> kinds_;
    double requests_per_second_ = 0;
    /// Time in which requests arrive.
    duration length_ = std::chrono::seconds(10);
    /// Time from the start of the replay in which agents send nothing.
    duration agent_outage_{0};
    /// Time that a segment spends in a balancer before it is handled.
    duration balancer_delay_{0};
    /// Time from the start of the replay in which callers' segments to
    /// balancers are lost.
    duration balancer_outage_{0};
    /// Time after the outage of the agents in which upstreams are cold.
    duration cold_period_{0};
    /// Time between a reset and the caller's next attempt.
    duration retry_pause_ = std::chrono::milliseconds(60);
    /// Fraction of the opening segments that are lost on the way to an agent.
    double lost_openings_ = 0;
    /// Fraction of the opening segments that wait for `slow_time_` at an agent,
    /// whose process gets no processor time meanwhile.
    double slow_openings_ = 0;
    duration slow_time_{0};
    pass_balancer_settings balancer_;
    pass_agent_settings agent_;
};

/// Results of the requests of one kind.
struct outcome
{
    std::size_t requests_ = 0;
    /// Answered within the latency target.
    std::size_t in_time_ = 0;
    /// Answered after the latency target, but before the deadline.
    std::size_t late_ = 0;
    /// Answered after the deadline or not at all.
    std::size_t failed_ = 0;
    /// Times from the request to its answer, of answered requests.
    std::vector<duration> answer_times_;
    /// Opening segments that balancers placed, and hedges that they sent.
    std::size_t placed_ = 0;
    std::size_t hedges_ = 0;

    /// Returns the percentile `percent` (0 to 100) of `answer_times_`, which
    /// must not be empty.
    duration answer_time_percentile(std::size_t percent) const;
};

/// Result of a replay.
struct replay_result
{
    /// By kind of request, in the order of the settings.
    std::vector<outcome> kinds_;
    std::size_t resets_ = 0;
    /// Largest number of requests at one upstream at a time, running and
    /// queued.
    std::size_t longest_queue_ = 0;
    /// Largest number of segments of one flow that reached an upstream other
    /// than the one that the caller opened the flow with.
    std::size_t misdirected_ = 0;
    /// Hedges that won, as counted by the balancers.
    std::uint64_t hedges_won_ = 0;

    /// Returns the fraction of all requests that were answered in time.
    double in_time_fraction() const;
    /// Returns the fraction of all requests that were answered before their
    /// deadline.
    double served_fraction() const;
    /// Returns the same as `in_time_fraction`, but with each late answer
    /// counted as `late_credit` of an answer in time.
    double credit_fraction(double late_credit) const;
};

/// Replays a load to its end and returns the result.
replay_result replay(const replay_settings& settings);

} // namespace galenafork::load

#endif
