/// \file
/// Faults that tests inject into the platform stand-in.

#ifndef STANDINS_PLATFORM_FAULTS_H
#define STANDINS_PLATFORM_FAULTS_H

#include <cstdint>
#include <galenafork/error.h>
#include <random>
#include <string>
#include <tl/expected.hpp>

namespace galenafork::standin
{

/// Faults of watch events.
struct watch_faults
{
    /// Delay of each event.
    std::uint64_t event_delay_ms_ = 0;
    /// Fraction of watches that are answered at once even if there is no newer
    /// version.
    double duplicate_rate_ = 0;
    /// Fraction of events that carry the previous version.
    double reorder_rate_ = 0;
};

/// The active faults. Rates are from 0 to 1.
struct fault_plan
{
    /// The connection of every call is closed without a response.
    bool outage_ = false;
    /// Delay before each call is handled.
    std::uint64_t delay_ms_ = 0;
    /// Number of next writes that are handled, but whose response is lost
    /// because the connection is closed.
    std::uint64_t lose_answer_next_writes_ = 0;
    /// Number of next writes to existing objects that are preceded by a write
    /// from another writer, so that they are refused.
    std::uint64_t conflict_next_writes_ = 0;
    /// Fraction of calls that are answered with 503 and have no effect.
    double fail_rate_ = 0;
    /// Fraction of reads that are answered with the previous version.
    double stale_read_rate_ = 0;
    watch_faults watch_;
};

/// Parses the JSON body of `POST /v1/standin/faults`. Faults whose keys are
/// missing are off. Fails with `bad_message` on invalid JSON, unknown keys and
/// wrong types.
tl::expected<fault_plan, error> parse_fault_plan(const std::string& json);

/// Decides for each call which of the active faults to inject.
class fault_injector
{
public:
    explicit fault_injector(std::uint64_t seed) : random_(seed) {}

    /// The active faults. The numbers of next writes to disturb are decremented
    /// in place.
    fault_plan plan_;

    /// Returns true with probability `rate`.
    bool should_inject(double rate);

    /// Decrements `remaining` and returns true; returns false if it is zero.
    static bool consume_one(std::uint64_t& remaining);

private:
    std::mt19937_64 random_;
};

} // namespace galenafork::standin

#endif
