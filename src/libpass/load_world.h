/// \file
/// Callers, balancers, agents and upstreams in virtual time, for tests that
/// replay a load against the real decisions.

#ifndef LIBPASS_LOAD_WORLD_H
#define LIBPASS_LOAD_WORLD_H

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
    double share_ = 1.0;
    duration work_{0};
    duration target_{0};
    duration deadline_{0};
    std::uint8_t priority_ = 0;
    bool idempotent_ = true;
};

/// A load and the fleet that meets it.
struct world_settings
{
    std::uint32_t seed_ = 1;
    std::size_t balancers_ = 4;
    std::size_t agents_ = 12;
    std::uint32_t slots_ = 2;
    std::vector<request_kind> kinds_;
    double requests_per_second_ = 0;
    duration length_ = std::chrono::seconds(10);
    /// Until then every agent is silent.
    duration outage_{0};
    /// How long a segment waits in a balancer before it is looked at.
    duration balancer_delay_{0};
    /// Until then balancers hear no caller.
    duration unheard_{0};
    /// Upstreams are cold for this time after the outage.
    duration cold_{0};
    /// Between a reset and the caller's next try.
    duration retry_pause_ = std::chrono::milliseconds(60);
    pass_balancer_settings balancer_;
    pass_agent_settings agent_;
};

/// What became of the requests of one kind.
struct outcome
{
    std::size_t asked_ = 0;
    std::size_t in_time_ = 0;
    std::size_t late_ = 0;
    std::size_t failed_ = 0;
};

/// Requests of all kinds, by their order in the settings, and what it took.
struct world_result
{
    std::vector<outcome> kinds_;
    std::size_t resets_ = 0;
    /// Most requests at one upstream at a time, running and queued.
    std::size_t longest_queue_ = 0;

    /// Share of all requests answered in time.
    double in_time_share() const;
    /// Share of all requests answered at all.
    double served_share() const;
    /// As `in_time_share`, a late answer counting as `late_worth`.
    double credit_share(double late_worth) const;
};

/// Plays a load to its end.
world_result play(const world_settings& settings);

} // namespace galenafork::load

#endif
