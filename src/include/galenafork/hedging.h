/// \file
/// Decisions about hedges: second copies of opening segments, which a balancer
/// sends to another agent if the caller does not continue in time. This file
/// has the limit, the delay and the openings that are due; the balancer's
/// decisions use them. These functions use no clock, socket or log.
///
/// Load pattern: most callers continue within a few milliseconds, but a few
/// opening segments are lost or wait at a slow agent, and their callers
/// retransmit only after 200 ms. The design is described in
/// docs/design/hedging.md.

#ifndef GALENAFORK_HEDGING_H
#define GALENAFORK_HEDGING_H

#include <galenafork/pass_types.h>

#include <array>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace galenafork
{

/// Limits of hedging.
struct hedge_settings
{
    /// Maximum number of hedges per hundred opening segments of idempotent
    /// rules, 0 to 100. Zero disables hedging.
    std::uint32_t percent_ = 0;
    /// Number of hedges that may be sent at once after a time without any.
    std::uint32_t burst_ = 10;
    /// Bounds of the hedge delay. Callers retransmit after 200 ms, so a longer
    /// delay gains nothing.
    duration min_delay_ = std::chrono::milliseconds(20);
    duration max_delay_ = std::chrono::milliseconds(150);
    /// The hedge delay until there are `min_samples_` samples.
    duration initial_delay_ = std::chrono::milliseconds(50);
    std::size_t min_samples_ = 100;
    /// The caller retransmits an opening segment at this age, possibly to
    /// another balancer, so an older one gets no hedge. This also covers a
    /// balancer that was paused.
    duration retransmission_age_ = std::chrono::milliseconds(200);
    /// If the check for due openings is this late, the process did not run, and
    /// callers' segments may wait in its socket. Hedges then wait for the next
    /// check, which comes after these segments.
    duration max_check_gap_ = std::chrono::milliseconds(30);
    /// Time from the caller's next segment until the agents have reported where
    /// the flow is: several times the delay between two data centres.
    duration settle_time_ = std::chrono::milliseconds(50);
    /// A segment that the caller repeats after this time has not been
    /// acknowledged. Callers retransmit after 200 ms.
    duration repeat_time_ = std::chrono::milliseconds(150);
    /// Time after the placement for which a hedge is remembered: callers give
    /// an attempt up after 1.4 s, and their first retransmissions of the next
    /// segment follow within 0.6 s.
    duration retention_ = std::chrono::seconds(2);
    /// Maximum number of openings that are tracked; further ones get no hedge.
    /// Callers continue within milliseconds, so this suffices for thousands of
    /// openings per second.
    std::size_t max_tracked_ = 4096;
};

/// Token bucket that limits hedges. It starts empty, so that the limit holds
/// from the start of the process. The unit is a hundredth of a hedge.
struct hedge_budget
{
    std::uint32_t hundredths_ = 0;
};

/// Adds the portion of one opening segment of an idempotent rule.
void add_opening(hedge_budget& budget, const hedge_settings& settings);

/// Returns whether the budget covers a hedge.
bool covers_hedge(const hedge_budget& budget);

/// Takes a hedge, which the budget must cover.
void take_hedge(hedge_budget& budget);

/// The most recent times from a placement to the caller's next segment, in
/// milliseconds, with a count of each value. Adding a sample takes constant
/// time. Longer times count as the maximum value, since the hedge delay never
/// exceeds it.
struct delay_samples
{
    static constexpr std::size_t capacity = 512;
    static constexpr std::uint8_t max_value = 150;

    std::array<std::uint8_t, capacity> recent_{};
    std::array<std::uint16_t, max_value + 1> counts_{};
    std::size_t size_ = 0;
    /// Index in `recent_` of the next sample.
    std::size_t next_ = 0;
};

/// Adds a sample in place of the oldest one.
void add_sample(delay_samples& samples, duration sample);

/// Returns the hedge delay: the 95th percentile of the samples within the
/// bounds of `settings`.
duration hedge_delay(const delay_samples& samples,
                     const hedge_settings& settings);

/// Progress of a tracked opening.
enum class hedge_phase : std::uint8_t
{
    /// The caller has not continued yet, and the hedge is not due.
    waiting,
    /// No hedge was sent: the limit or the agents did not allow it, or the
    /// caller has retransmitted.
    not_hedged,
    /// A hedge was sent, and the caller has not continued yet.
    hedged,
    /// A hedge was sent, and the caller has continued.
    continued,
};

/// An opening segment that was placed for the first time.
struct tracked_opening
{
    /// Distinguishes the openings of flows with the same addresses and ports.
    std::uint64_t id_ = 0;
    hedge_phase phase_ = hedge_phase::waiting;
    segment_header segment_;
    /// The bytes of the segment; empty after the decision about the hedge.
    std::vector<std::uint8_t> packet_;
    instant placed_at_{};
    /// The agent of the opening segment.
    host_address first_;
    /// The agent that has offered the hedge to its upstream; zero if none has
    /// reported it.
    host_address second_;
    /// The first segment with which the caller continued after a hedge.
    instant continued_at_{};
    std::uint32_t continued_sequence_ = 0;
    std::uint16_t continued_data_bytes_ = 0;
    /// The other agent has got a repeated segment.
    bool repeated_ = false;
    /// The other agent has got a returned segment.
    bool returned_ = false;
};

/// All state of hedging at a balancer.
struct hedge_state
{
    hedge_budget budget_;
    delay_samples samples_;
    std::unordered_map<flow_key, tracked_opening> openings_;

    struct entry
    {
        std::uint64_t id_ = 0;
        instant placed_at_{};
        flow_key flow_;
    };
    /// Openings in the order of their placement: those for which no hedge has
    /// been due yet, and those to be removed after the retention.
    std::deque<entry> undecided_;
    std::deque<entry> retained_;
    /// Flows with a hedge whose outcome is not known yet.
    std::vector<entry> unsettled_;
    std::uint64_t last_id_ = 0;
    /// When due openings were last checked for.
    instant checked_at_{};
    /// The last check was late and was skipped.
    bool check_skipped_ = false;
    /// When a denied hedge was last logged.
    instant denial_logged_at_{};
    /// Counts since the metrics were last updated.
    std::uint64_t sent_ = 0;
    std::uint64_t won_ = 0;
    std::uint64_t denied_by_limit_ = 0;
};

/// Starts to track an opening segment that has just been placed.
void track_opening(hedge_state& state, const hedge_settings& settings,
                   const segment_header& s, byte_view bytes, host_address agent,
                   instant now);

/// Returns the openings whose hedge is due at `now`, oldest first. Each is
/// returned at most once and then has the phase `not_hedged`. The pointers are
/// valid until an opening is tracked or removed.
std::vector<tracked_opening*> take_due_openings(hedge_state& state,
                                                const hedge_settings& settings,
                                                instant now);

/// Records that a hedge of `opening`, whose agent is `first`, was sent.
void note_hedge(hedge_state& state, tracked_opening& opening,
                host_address first);

/// Records that `agent` has offered a hedge of the flow to its upstream.
void note_hedge_offered(hedge_state& state, const flow_key& flow,
                        host_address agent);

/// Records a retransmission of the opening segment: it gets no hedge any more.
/// Returns the agent of the first transmission if a hedge was sent, zero
/// otherwise.
host_address note_retransmission(hedge_state& state, const segment_header& s);

/// Records a segment with which the caller continues, other than an opening
/// segment. The first one ends the wait and is a sample of the delay. Returns
/// the agent that gets the segment, which is `owner` with two exceptions after
/// a hedge. The first segment goes to the agent that offered the hedge: it
/// knows the first agent and forwards the segment if the caller has accepted
/// the answer of that one's upstream, but not the other way round. If the
/// caller repeats its first data, the owner may be down, and the other agent
/// gets the repetition, once per flow.
host_address note_continuation(hedge_state& state,
                               const hedge_settings& settings,
                               const segment_header& s, host_address owner,
                               instant now);

/// Handles a segment that `returned_by` returned because it does not have the
/// flow. Returns the other agent if a hedge was offered, and zero if none was
/// or if it is the second return.
host_address agent_after_return(hedge_state& state, const flow_key& flow,
                                host_address returned_by);

/// Counts the hedges that won: those whose flow belongs to the agent that
/// offered the hedge once the agents have reported where it is. `owner_of`
/// returns the owner of a flow that the balancer knows, or zero.
void settle_hedges(hedge_state& state, const hedge_settings& settings,
                   const std::function<host_address(const flow_key&)>& owner_of,
                   instant now);

/// Removes openings after the retention.
void remove_expired(hedge_state& state, const hedge_settings& settings,
                    instant now);

} // namespace galenafork

#endif
