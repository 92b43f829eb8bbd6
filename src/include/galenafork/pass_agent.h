/// \file
/// Decisions of an agent about passthrough flows: which opening segments its
/// upstream gets, which are queued, forwarded or refused, and what happens to
/// flows when the upstream ends. These functions use no clock, socket or log;
/// they get the time as an argument and return actions.

#ifndef GALENAFORK_PASS_AGENT_H
#define GALENAFORK_PASS_AGENT_H

#include <galenafork/cold_limit.h>
#include <galenafork/evacuation.h>
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
    /// The data centre of the agent's instance.
    data_centre data_centre_;
    /// Evacuations in the hellos of balancers are applied.
    bool follows_evacuations_ = false;
    /// Bounds of the opening segments that a cold upstream gets.
    cold_limit_settings cold_limit_;
    /// Requests in flight that are allowed beyond the upstream's slots, so that
    /// no slot is idle during a handshake (a caller's round trip). Zero is used
    /// while the upstream is cold.
    std::uint32_t extra_in_flight_ = 1;
    /// Maximum number of further requests in flight per slot. They are allowed
    /// while handshakes are long: as many as the ratio of the handshake time to
    /// the service time. Upstreams queue a few requests per slot before they
    /// shed load.
    double max_extra_per_slot_ = 1.0;
    /// Time within which the upstream must answer an opening segment. A running
    /// upstream needs less than a millisecond; the rest allows for a busy
    /// instance.
    duration opening_timeout_ = std::chrono::milliseconds(80);
    /// Time from the offer of an opening segment within which its caller must
    /// continue the answered handshake: a few round trips. Afterwards another
    /// flow can use the slot, because the caller has gone or a busy balancer
    /// delays the caller's next segment.
    duration handshake_timeout_ = std::chrono::milliseconds(40);
    /// Number of unanswered opening segments, without any segment from the
    /// upstream in between, after which the upstream gets no new flows.
    std::uint32_t max_unanswered_openings_ = 2;
    /// Maximum age of a queued opening segment. The callers' protocol ends an
    /// attempt to open a flow after 1.4 s, so an older segment would open a
    /// flow without a caller.
    duration caller_attempt_timeout_ = std::chrono::milliseconds(1300);
    /// A queue that is not empty for longer than this means lasting overload. A
    /// peak or the recovery from an outage is over sooner, within about the
    /// duration of a caller's attempt.
    duration overload_after_ = std::chrono::milliseconds(1500);
    /// Time after the agent's start in which the callers of an outage return
    /// and upstreams are cold. A queue is then no sign of lasting overload.
    duration recovery_period_ = std::chrono::seconds(5);
    /// In lasting overload a segment is queued only if its answer is expected
    /// within this fraction of the latency target. The rest is a margin for
    /// requests that take longer than the average and for the time that the
    /// caller's earlier attempts have taken.
    double overload_target_fraction_ = 0.7;
    /// A segment that is expected to miss its latency target is queued only if
    /// it is expected to get a slot within this time, and not in lasting
    /// overload. Segments that can be answered in time continue to arrive and
    /// take precedence, so that after a longer wait the caller has gone before
    /// a slot is free.
    duration max_late_wait_ = std::chrono::milliseconds(100);
    /// Fraction of the slots that is expected to remain for segments that miss
    /// their latency target, since those that can be answered in time take
    /// precedence.
    double late_slot_fraction_ = 0.7;
    /// Service time that is assumed before the first measurement.
    duration initial_service_time_ = std::chrono::milliseconds(30);
    /// Expected time from a caller's opening segment to its request.
    duration round_trip_ = std::chrono::milliseconds(8);
    /// A flow that is idle for longer does not delay the end of the agent's
    /// process. The agent's successor adopts it.
    duration drain_idle_timeout_ = std::chrono::seconds(20);
    /// Time for which ended and refused flows are kept for late segments.
    duration flow_linger_ = std::chrono::seconds(3);
    /// Time for which moved flows are kept, to forward the segments that still
    /// arrive here.
    duration moved_linger_ = std::chrono::seconds(10);
    /// An upstream whose last report is older than this gets no new flows.
    duration report_timeout_ = std::chrono::seconds(4);
    /// Uncertainty of the time of an upstream's restart: start times are in
    /// whole milliseconds, and reports arrive with a delay. A restart takes
    /// longer than this, so no activity of the earlier incarnation falls into
    /// the margin.
    duration restart_margin_ = std::chrono::milliseconds(100);
    /// Time for which a relay waits for the responses of its group. With 20 ms
    /// summaries of agents that had just started were incomplete, and further
    /// rounds filled the links of balancers.
    duration relay_timeout_ = std::chrono::milliseconds(60);
    /// Time for which a relay forwards responses that arrive after its summary.
    duration relay_linger_ = std::chrono::seconds(1);
    /// Time for which a flow that is unknown to the upstream is not tried there
    /// again.
    duration unknown_flow_retention_ = std::chrono::seconds(5);
    /// Longest lifetime of a flow. Flows that are idle for longer are removed.
    /// An agent that has been running for longer knows all flows of its
    /// upstream.
    duration flow_lifetime_ = std::chrono::seconds(60);
    /// A balancer that sends no hello for this time, which covers several of
    /// its hello intervals, gets no more periodic statuses.
    duration subscription_timeout_ = std::chrono::seconds(4);
    /// A balancer that is neither listed nor sends a hello for this time is
    /// forgotten.
    duration forget_balancer_after_ = std::chrono::seconds(60);
    /// A listed balancer that has sent no hello for this time is silent: its
    /// instance is probably gone. In the largest fleets a running balancer
    /// probes each agent every two minutes.
    duration balancer_silence_timeout_ = std::chrono::minutes(5);
    /// Time between two statuses to a silent balancer, in case it is running
    /// and could not be reached.
    duration silent_balancer_interval_ = std::chrono::minutes(1);
    /// An agent that handled nothing for longer than this was paused or starved
    /// of processor time. The time is well below the silence after which
    /// balancers send retransmissions to another agent.
    duration max_unattended_ = std::chrono::milliseconds(500);
    /// Time after a pause in which opening segments are taken for ones that
    /// arrived during it. Reading the socket's buffer takes less.
    duration resume_time_ = std::chrono::milliseconds(30);
    /// Time without any segment of the upstream, after one was sent to it that
    /// needs a response, until a check whether its process is running. Longer
    /// than most requests take, so that an upstream under load is rarely
    /// checked.
    duration check_after_ = std::chrono::milliseconds(150);
    /// Minimum time between two such checks.
    duration check_interval_ = std::chrono::milliseconds(500);
    /// The upstream's address has accepted a connection before, which may have
    /// been one of an earlier agent. A refusal is then a proof also before the
    /// first report.
    bool upstream_accepts_connections_ = false;
    /// Number of refused connections, `check_after_` apart, that show to an
    /// agent without a report that no upstream is running. One that has just
    /// started may not listen yet.
    unsigned refusals_without_report_ = 2;
    /// Time between two checks of an upstream that reports but has not accepted
    /// a connection. Limits the cost where it never does.
    duration unproven_check_interval_ = std::chrono::seconds(2);
    /// Unanswered segments are not checked any more if no further one was sent
    /// for this time. Callers that still wait retransmit at least every 1.6 s.
    duration check_idle_after_ = std::chrono::seconds(2);
    /// Time between two statuses to balancers of earlier versions, which do not
    /// ask for an interval.
    duration default_status_interval_ = std::chrono::milliseconds(600);
};

/// A balancer that an agent knows.
struct known_balancer
{
    instant last_listed_at_{};
    /// When the balancer last sent a hello; when it was first listed if it has
    /// sent none.
    instant last_heard_at_{};
    /// When the balancer last asked for periodic statuses; unset if it did not
    /// or has ended its subscription.
    std::optional<instant> subscribed_at_;
    duration status_interval_{0};
    instant status_sent_at_{};
};

/// State of a flow at an agent.
enum class pass_phase : std::uint8_t
{
    /// The opening segment is queued here.
    queued,
    /// The opening segment was sent to the upstream.
    opening,
    open,
    /// Both ends have finished, one has reset the flow, or the upstream has
    /// restarted or left the opening segment unanswered.
    ended,
    /// The opening segment was refused. The caller got a reset, unless another
    /// agent may have opened the flow.
    refused,
    /// Another agent handles the flow.
    moved,
    /// The upstream does not have the flow.
    unknown_to_upstream,
};

/// Peers that wait for an agent's response about a flow, until its upstream has
/// sent or returned a segment of it.
struct awaited_response
{
    /// The searching balancer, which is told if this agent has the flow.
    host_address searcher_;
    /// Who is told if it does not: the relay of the question or the searcher.
    host_address denial_receiver_;
};

/// A question that this agent asks its group on behalf of a balancer.
struct relayed_search
{
    host_address searcher_;
    instant expires_at_{};
    /// Agents that have not responded.
    std::vector<host_address> awaited_;
    std::vector<host_address> denied_;
    std::vector<host_address> undecided_;
    /// The summary has been sent; later responses are forwarded one by one.
    bool summary_sent_ = false;
};

/// State of one flow at an agent.
struct agent_flow
{
    pass_phase phase_ = pass_phase::queued;
    /// The opening segment with its context. An adopted flow has no opening
    /// segment and uses only `balancer_`, the peer that last forwarded a
    /// segment of the flow.
    place_message place_;
    /// Set on an adopted flow until the upstream has sent or returned a
    /// segment.
    std::optional<awaited_response> awaited_;
    /// When the caller's attempt to open the flow started, as estimated by the
    /// balancer, on this agent's clock; on an adopted flow the time of the
    /// adoption.
    instant attempt_started_at_{};
    instant phase_since_{};
    /// When the opening segment was sent to the upstream.
    instant offered_at_{};
    /// When the last segment of the flow arrived from the upstream.
    instant upstream_sent_at_{};
    instant last_active_{};
    std::uint32_t opening_sequence_ = 0;
    /// Sequence number of the upstream's answer to the opening segment.
    std::optional<std::uint32_t> upstream_sequence_;
    /// Sequence number of the end of the caller's data so far; later data is
    /// another request.
    std::uint32_t data_end_ = 0;
    /// On an adopted flow: `data_end_` is known.
    bool has_data_end_ = false;
    /// Next sequence number that the caller expects.
    std::uint32_t caller_expected_sequence_ = 0;
    instant request_started_{};
    /// The flow counts as one of the upstream's requests in flight.
    bool occupies_slot_ = false;
    bool request_running_ = false;
    /// The upstream has sent a segment on the open flow, so it has the flow.
    bool upstream_answered_ = false;
    /// The agent has seen segments of the flow but no opening segment, because
    /// it started later.
    bool adopted_ = false;
    bool caller_finished_ = false;
    bool upstream_finished_ = false;
    /// The caller got a reset, because the upstream that had answered its
    /// opening segment has ended.
    bool upstream_ended_ = false;
    /// The agent that a moved flow went to.
    host_address moved_to_;
};

/// What an agent knows about whether the process of its upstream is running.
struct upstream_check_state
{
    /// When the first opening or data segment was sent to the upstream since
    /// the upstream's last segment; unset if there is none.
    std::optional<instant> unanswered_since_;
    /// When the last opening or data segment was sent to the upstream.
    instant last_sent_at_{};
    /// When the last check was requested; unset before the first one.
    std::optional<instant> requested_at_;
    /// The present incarnation of the upstream has accepted a connection, so a
    /// refused one shows that no process is running. Where upstreams accept
    /// none at all, or not yet, a refusal shows nothing.
    bool refusal_is_proof_ = false;
    /// A check of the present incarnation has been requested while a refusal
    /// was no proof.
    bool unproven_requested_ = false;
    /// A check has shown that no upstream is running, and no report has arrived
    /// since.
    bool absent_ = false;
    /// Connections that were refused in succession before the first report.
    unsigned refusals_without_report_ = 0;
};

/// Why it is checked whether the upstream's process is running.
enum class upstream_check_reason : std::uint8_t
{
    /// The upstream has not answered.
    unanswered,
    /// The check is to show whether the upstream's address accepts connections.
    unproven,
    /// No upstream has reported since the agent's start.
    unreported,
    /// The agent's process is ending.
    leaving,
};

/// Returns `unanswered`, `unproven`, `unreported` or `leaving`.
const char* to_string(upstream_check_reason reason);

/// A check that the agent's process is to run.
struct upstream_check_request
{
    upstream_check_reason reason_ = upstream_check_reason::unanswered;
    /// Time for which segments have been unanswered.
    duration age_{0};
};

/// All state of an agent's decisions.
struct pass_agent_state
{
    pass_agent_settings settings_;
    instant started_at_{};
    upstream_report upstream_;
    instant last_report_at_{};
    /// When the agent last handled an event; unset before the first one.
    std::optional<instant> last_attended_at_;
    /// When the agent resumed after its last pause.
    std::optional<instant> resumed_at_;
    bool shutting_down_ = false;
    /// The agent was running when the upstream started.
    bool saw_upstream_start_ = false;
    /// The upstream is suspected of being down, because it leaves opening
    /// segments unanswered.
    bool upstream_suspected_ = false;
    std::uint32_t unanswered_openings_ = 0;
    upstream_check_state check_;
    instant upstream_cold_until_{};
    cold_limit cold_limit_;
    std::unordered_map<flow_key, agent_flow> flows_;
    /// Questions that wait for responses of this agent's group.
    std::unordered_map<flow_key, relayed_search> relayed_searches_;
    /// Flows whose opening segments are queued.
    std::vector<flow_key> queue_;
    /// When a segment was last added to an empty queue.
    instant queue_nonempty_since_{};
    /// Flows that occupy a slot of the upstream.
    std::uint32_t in_flight_ = 0;
    /// Smoothed time from a request to its answer.
    duration service_time_{0};
    /// Smoothed time from the offer of an opening segment to the caller's next
    /// segment.
    duration handshake_time_{0};
    /// Flows are accepted again or no longer, or the upstream was replaced:
    /// the next call of `send_statuses` tells all balancers.
    bool status_changed_ = false;
    std::unordered_map<host_address, known_balancer> balancers_;
    /// The latest evacuations that a balancer has sent.
    evacuation_state evacuations_;
};

/// Returns the initial state of an agent that starts at `now`.
pass_agent_state new_pass_agent(const pass_agent_settings& settings,
                                instant now);

/// Returns whether the upstream may get new flows.
bool accepts_new_flows(const pass_agent_state& state, instant now);

/// Returns the status for the balancers.
status_message status_of(const pass_agent_state& state, instant now);

/// Handles a hello of a balancer: a probe gets the status at once, and so does
/// a new subscription, which ends when a probe follows or hellos are missing.
void handle_hello(pass_agent_state& state, const hello_message& hello,
                  instant now, pass_actions& out);

/// Applies evacuations from a balancer if they are later than the current ones.
/// In an evacuated data centre the agent accepts no new flows, and queued
/// segments are sent to other agents or refused. Open flows stay.
evacuation_update update_evacuations(pass_agent_state& state,
                                     const evacuation_state& next, instant now,
                                     pass_actions& out);

/// Records a balancer that the store lists. A new one gets the status, in case
/// it does not have this agent on its list yet.
void add_listed_balancer(pass_agent_state& state, host_address balancer,
                         instant now, pass_actions& out);

/// Sends the status to all known balancers if it has changed, otherwise to
/// those whose interval is over. To be called after each decision that sets
/// `status_changed_` and periodically.
void send_statuses(pass_agent_state& state, instant now, pass_actions& out);

/// Result of `apply_report`.
enum class report_outcome
{
    applied,
    /// The report is from an earlier incarnation of the upstream, or a later
    /// report has been applied already. It was ignored.
    outdated,
};

/// Applies a report of the upstream. A restart of the upstream ends the flows
/// of its earlier incarnation, and their callers get resets at once. Flows on
/// which the upstream got the opening segment or sent a segment since the
/// restart stay.
report_outcome apply_report(pass_agent_state& state,
                            const upstream_report& report, instant now,
                            pass_actions& out);

/// Handles the deregistration of the upstream `instance`: the upstream gets no
/// new flows, and queued segments are sent to other agents or refused. Ignored
/// if `instance` is not the upstream of the last report.
void handle_deregistration(pass_agent_state& state, const instance_id& instance,
                           instant now, pass_actions& out);

/// Returns whether it has to be checked now whether the upstream's process is
/// running: the upstream has sent nothing for `check_after_` since an opening
/// or data segment was sent to it, or it has reported but its present
/// incarnation has not accepted a connection yet. False before the first
/// report, while the upstream is draining, and for some time after the last
/// request of a check.
///
/// Load pattern: an upstream crashes while callers wait on long-lived flows.
/// Its next report comes seconds later or never.
bool needs_upstream_check(const pass_agent_state& state, instant now);

/// Returns the check to run now, if one is needed, and records its request.
std::optional<upstream_check_request>
request_upstream_check(pass_agent_state& state, instant now);

/// Handles the result of a check whose connection was started at `checked_at`.
/// A refusal counts only if the present incarnation of the upstream has
/// accepted a connection before and is not draining; otherwise it is ignored.
void apply_upstream_check(pass_agent_state& state, upstream_presence presence,
                          instant checked_at, instant now, pass_actions& out);

/// Handles the proof that no upstream was running at `checked_at`. Ends the
/// flows that were at the upstream, unless their opening segment was sent to it
/// or it sent a segment of them since then; their callers get resets at once.
/// Unanswered opening segments and queued ones go to other agents, or are
/// refused. The upstream gets no new flows until its next report; if the
/// agent's process is ending, the upstream counts as gone, as after a
/// deregistration. The flows that stay may be at an upstream that has started
/// since.
void note_upstream_absent(pass_agent_state& state, instant checked_at,
                          instant now, pass_actions& out);

/// Prepares the end of the agent's process: the agent accepts no new flows, and
/// queued segments are sent to other agents or refused.
void begin_shutdown(pass_agent_state& state, instant now, pass_actions& out);

/// Returns whether no flow is queued, opening or open and recently active, so
/// that the agent's process may end.
bool is_idle(const pass_agent_state& state, instant now);

/// Handles an opening segment: offers it to the upstream, forwards it to
/// another agent, queues or refuses it. A retransmission of a segment that the
/// upstream has is sent to the upstream again. A segment that may have waited
/// during a pause of this process is dropped: another agent may have opened the
/// flow since, and a refusal would reset it.
void handle_place(pass_agent_state& state, const place_message& message,
                  const segment_header& opening, instant now,
                  pass_actions& out);

/// Handles a segment of a caller other than an opening segment. `sender` is a
/// balancer, or an agent that forwards segments of a moved flow. A segment of
/// an unknown flow is returned to `sender`, unless the upstream may have the
/// flow from before the agent's start. A segment of a flow whose upstream has
/// ended gets another reset while no upstream is running: the first one may be
/// lost, or its sequence number may be one that the caller has passed. The
/// return is no denial: it only says that `sender` should not have sent the
/// segment here.
void handle_caller_segment(pass_agent_state& state, const segment_header& s,
                           byte_view bytes, host_address sender, instant now,
                           pass_actions& out);

/// Handles a search for the owner of a flow. The owner sends the segment to its
/// upstream, an agent that the flow moved away from forwards the segment, and
/// both respond with the owner. An agent that has seen all flows of its
/// upstream, or whose upstream has returned a segment of the flow, denies the
/// flow. Any other agent is undecided and says so. Unless the search is
/// tentative, it also asks its upstream: it adopts the flow and responds again
/// when the upstream has sent or returned a segment of it. If the question
/// names a group, the agent asks the group as well and responds for all of it;
/// only the owner responds to the searching balancer itself.
void handle_locate(pass_agent_state& state, const locate_message& message,
                   const segment_header& s, instant now, pass_actions& out);

/// Handles a response of a member of the group that this agent asks on behalf
/// of a balancer. Ignored if there is no such search.
void handle_flow_owner(pass_agent_state& state,
                       const flow_owner_message& message, pass_actions& out);

/// Handles a segment from the upstream: one for the caller, or a caller's
/// segment that the upstream returned (`bounced_`). Data of an earlier flow
/// with the same addresses and ports is dropped.
void handle_upstream_segment(pass_agent_state& state, const segment_header& s,
                             byte_view bytes, instant now, pass_actions& out);

/// Handles timeouts: removes expired flows, sends unanswered opening segments
/// to other agents, and offers, forwards or refuses queued ones. To be called
/// periodically.
void handle_tick(pass_agent_state& state, instant now, pass_actions& out);

} // namespace galenafork

#endif
