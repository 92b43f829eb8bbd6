/// \file
/// The limit on opening segments that a cold upstream gets.

#ifndef GALENAFORK_COLD_LIMIT_H
#define GALENAFORK_COLD_LIMIT_H

#include <galenafork/pass_types.h>
#include <galenafork/time.h>

#include <cstddef>
#include <deque>

namespace galenafork
{

/// Bounds of the limit. In any second a cold upstream gets at most the rate of
/// its service times `overage_` plus `slack_` opening segments.
struct cold_limit_settings
{
    double overage_ = 1.5;
    double slack_ = 5;
    /// Time over which openings are counted: one second, and an allowance for
    /// varying delays between agent and upstream.
    duration window_ = std::chrono::milliseconds(1050);
};

/// What an agent knows about the limit of its upstream.
struct cold_limit
{
    /// Requests a second that the cold upstream can take; zero for no limit.
    double rate_ = 0;
    /// Version of the rules that the rate is from.
    pass_rules_version version_;
    /// When opening segments were sent to the upstream within the last window,
    /// oldest first.
    std::deque<instant> sent_;
};

/// Applies a rate that a balancer sent with rules of `version`. Rates of older
/// rules are ignored. Within one version a rate takes precedence over none,
/// because balancers of earlier versions send none.
void apply_cold_rate(cold_limit& limit, double rate,
                     pass_rules_version version);

/// Records that an opening segment is sent to the upstream at `now`.
void note_opening_sent(cold_limit& limit, const cold_limit_settings& settings,
                       instant now);

/// Returns the time from `now` until the limit admits the opening segment
/// number `position` (1 is the next one) to a cold upstream; zero if it does
/// now, `duration::max()` if it never does.
duration cold_limit_wait(const cold_limit& limit,
                         const cold_limit_settings& settings,
                         std::size_t position, instant now);

} // namespace galenafork

#endif
