/// \file
/// Decisions of the agent of passthrough flows: which opening segments its
/// upstream gets, which wait, move on or are refused, and what becomes of
/// flows when the upstream ends. No clock, socket or log in here.

#ifndef GALENAFORK_PASS_AGENT_H
#define GALENAFORK_PASS_AGENT_H

#include <galenafork/pass_actions.h>
#include <galenafork/pass_messages.h>
#include <galenafork/pass_types.h>

#include <optional>
#include <unordered_map>
#include <vector>

namespace galenafork
{

/// Limits of an agent's decisions.
struct pass_agent_settings
{
    host_address host_;
    /// Requests at the upstream beyond its slots: they fill the time of the
    /// handshake, a caller's round trip, in which a slot would stand idle. None
    /// while the upstream is cold.
    std::uint32_t extra_in_flight_ = 1;
    /// Besides, for each slot, at most this many when handshakes take as long
    /// as the work. Upstreams queue a few requests a slot before they shed
    /// load.
    double max_extra_per_slot_ = 1.0;
    /// An upstream that is alive answers an opening segment within this time;
    /// it needs under a millisecond, the rest covers a busy instance.
    duration opening_timeout_ = std::chrono::milliseconds(80);
    /// A caller continues an answered handshake within this time: some round
    /// trips. One that does not has gone, or waits behind a busy balancer; its
    /// slot serves another meanwhile.
    duration handshake_timeout_ = std::chrono::milliseconds(40);
    /// Unanswered openings in a row, with no other sign of life, after which
    /// the upstream gets no more.
    std::uint32_t max_unanswered_openings_ = 2;
    /// A caller's attempt ends by itself after 1.4 s (the callers' protocol);
    /// a segment held longer would open a flow that nobody wants.
    duration caller_attempt_timeout_ = std::chrono::milliseconds(1300);
    /// Segments that wait without a gap for this time mean lasting overload,
    /// not a peak or the recovery from an outage: about a caller's attempt.
    duration overload_after_ = std::chrono::milliseconds(1500);
    /// In lasting overload: share of the latency target that a segment may use
    /// up to its answer as expected: the rest is for work that takes longer
    /// than usual and for the time that the caller's earlier attempts have
    /// taken.
    double overload_target_fraction_ = 0.7;
    /// A segment that will miss its latency target still waits if it is
    /// expected to have a slot within this time: those in time keep coming in
    /// before it, and a slot that comes later finds its caller gone. Not in
    /// lasting overload.
    duration max_late_wait_ = std::chrono::milliseconds(100);
    /// Share of the slots that is expected to be left over for such segments,
    /// as those in time go first.
    double late_slot_fraction_ = 0.7;
    /// Service time that is assumed before one was measured.
    duration initial_service_time_ = std::chrono::milliseconds(30);
    /// Between a caller's first segment and its request.
    duration round_trip_ = std::chrono::milliseconds(8);
    /// A flow idle for longer is forgotten.
    duration flow_idle_timeout_ = std::chrono::seconds(20);
    /// Ended flows are remembered for late segments.
    duration flow_linger_ = std::chrono::seconds(3);
    /// Moved flows are remembered for segments that still come here.
    duration moved_linger_ = std::chrono::seconds(10);
    /// Without a report for this time the upstream gets no new flows.
    duration report_timeout_ = std::chrono::seconds(4);
    /// When this process started, by the clock that also stamps the upstream's
    /// start.
    start_time_ms process_started_;
    /// An upstream that started more than this before the agent may hold flows
    /// that the agent does not know. Both start within 0.3 s of each other on a
    /// new instance; the rest is for the first report's way.
    duration adoption_margin_ = std::chrono::milliseconds(1500);
    /// An agent that started at most this long after its upstream has seen all
    /// of its flows: both start within 0.3 s of each other.
    duration same_start_margin_ = std::chrono::milliseconds(300);
    /// Uncertainty of the start of a new life: stamps count whole milliseconds,
    /// and a report takes its time to arrive. An upstream that ended stays away
    /// for longer.
    duration restart_margin_ = std::chrono::milliseconds(100);
    /// A flow that the upstream did not hold is not tried there again for this
    /// time.
    duration unknown_flow_retention_ = std::chrono::seconds(5);
    /// After its start an agent may meet flows that its upstream opened
    /// before: the longest life of a flow.
    duration adoption_window_ = std::chrono::seconds(60);
};

/// Where a flow stands at an agent.
enum class pass_phase : std::uint8_t
{
    /// Its opening segment waits here.
    queued,
    /// The upstream has the opening segment.
    opening,
    open,
    /// Both ends have finished, or one has reset.
    ended,
    /// It was never offered to the upstream, and its caller has been told.
    refused,
    /// Another agent has it.
    moved,
    /// The upstream does not hold it.
    unknown_to_upstream,
};

/// One flow as its agent knows it.
struct agent_flow
{
    pass_phase phase_ = pass_phase::queued;
    /// The opening segment and what the balancer said of it.
    place_message place_;
    /// When the first copy came to a balancer, on this agent's clock.
    instant first_copy_at_{};
    instant phase_since_{};
    /// When the upstream got the opening segment.
    instant offered_at_{};
    /// When the upstream last sent a segment of the flow.
    instant upstream_sent_at_{};
    instant last_active_{};
    std::uint32_t opening_sequence_ = 0;
    std::optional<std::uint32_t> upstream_sequence_;
    /// End of the caller's data so far; later data is another request.
    std::uint32_t data_end_ = 0;
    /// Next sequence number that the caller expects.
    std::uint32_t caller_expected_sequence_ = 0;
    instant request_started_{};
    /// Takes one of the upstream's slots.
    bool occupies_slot_ = false;
    bool request_running_ = false;
    /// The upstream has answered on the open flow: it holds the flow.
    bool upstream_answered_ = false;
    /// Known only from its segments: the agent started after it opened.
    bool adopted_ = false;
    bool caller_finished_ = false;
    bool upstream_finished_ = false;
    host_address moved_to_;
};

/// All that an agent knows.
struct pass_agent_state
{
    pass_agent_settings settings_;
    instant started_{};
    upstream_report upstream_;
    instant last_report_at_{};
    bool shutting_down_ = false;
    /// The upstream leaves opening segments unanswered.
    bool upstream_suspect_ = false;
    std::uint32_t unanswered_openings_ = 0;
    instant upstream_cold_until_{};
    std::unordered_map<flow_key, agent_flow> flows_;
    std::vector<flow_key> queue_;
    /// When the first of those that wait without a gap since came.
    instant queue_nonempty_since_{};
    std::uint32_t in_flight_ = 0;
    duration service_time_{0};
    /// Smoothed time from the offer of an opening segment to the request.
    duration handshake_time_{0};
    /// Balancers should hear of it at once.
    bool status_changed_ = false;
};

/// Fresh state of an agent that starts at `now`.
pass_agent_state new_pass_agent(const pass_agent_settings& settings,
                                instant now);

/// True if the upstream may get new flows.
bool accepts_new_flows(const pass_agent_state& state, instant now);

/// What the balancers are told.
status_message status_of(const pass_agent_state& state, instant now);

/// What became of a report.
enum class report_outcome
{
    applied,
    /// From a life of the upstream that is over, or overtaken by a later one.
    outdated,
};

/// Takes a report of the upstream. A new life of the upstream ends all flows of
/// the one before: callers of open flows are told at once by resets. Flows
/// offered since the new life began stay.
report_outcome apply_report(pass_agent_state& state,
                            const upstream_report& report, instant now,
                            pass_actions& out);

/// The upstream said goodbye.
void handle_deregistration(pass_agent_state& state, const instance_id& instance,
                           instant now, pass_actions& out);

/// The agent is about to end: it takes no new flows and passes on what waits.
void begin_shutdown(pass_agent_state& state, instant now, pass_actions& out);

/// True once no flow needs the agent any more.
bool is_idle(const pass_agent_state& state);

/// Takes an opening segment: offers it to the upstream, passes it on, holds it
/// or refuses it.
void handle_place(pass_agent_state& state, const place_message& message,
                  const segment_header& opening, instant now,
                  pass_actions& out);

/// Takes a bare segment from `balancer`.
void handle_caller_segment(pass_agent_state& state, const segment_header& s,
                           byte_view bytes, host_address balancer, instant now,
                           pass_actions& out);

/// Takes a balancer's question for the owner of a flow.
void handle_locate(pass_agent_state& state, const locate_message& message,
                   const segment_header& s, instant now, pass_actions& out);

/// Takes a segment that the upstream sent, or handed back with the caller's
/// header.
void handle_upstream_segment(pass_agent_state& state, const segment_header& s,
                             byte_view bytes, instant now, pass_actions& out);

/// Acts on what has not happened in time.
void handle_tick(pass_agent_state& state, instant now, pass_actions& out);

} // namespace galenafork

#endif
