/// \file
/// What the platform stand-in does wrong, on order of a test.

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
    /// Events come this much later.
    std::uint64_t late_ms_ = 0;
    /// Share of watches answered at once with the version already known.
    double duplicate_rate_ = 0;
    /// Share of events that carry the version before the newest.
    double reorder_rate_ = 0;
};

/// The faults in force. Rates are from 0 to 1.
struct fault_plan
{
    /// Every call is cut off without an answer.
    bool outage_ = false;
    /// Every call is handled this much later.
    std::uint64_t delay_ms_ = 0;
    /// So many writes take effect and are cut off without an answer.
    std::uint64_t lose_answer_next_writes_ = 0;
    /// So many writes find that another writer came first.
    std::uint64_t conflict_next_writes_ = 0;
    /// Share of calls answered 503 without effect.
    double fail_rate_ = 0;
    /// Share of reads answered with the version before the newest.
    double stale_read_rate_ = 0;
    watch_faults watch_;
};

/// Reads the JSON that `POST /v1/standin/faults` takes; keys left out mean "no
/// such fault". Fails with `bad_message` on unknown keys and wrong types.
tl::expected<fault_plan, error> read_fault_plan(const std::string& json);

/// Draws what happens to each call.
class fault_injector
{
public:
    explicit fault_injector(std::uint64_t seed) : random_(seed) {}

    /// The faults in force; counts of faults still to come are taken down in
    /// place.
    fault_plan plan_;

    /// True with probability `rate`.
    bool draw(double rate);

    /// True, and one less to come, if `remaining` is not zero.
    static bool take(std::uint64_t& remaining);

private:
    std::mt19937_64 random_;
};

} // namespace galenafork::standin

#endif
