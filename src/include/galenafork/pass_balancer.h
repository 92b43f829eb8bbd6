/// \file
/// Decisions of a balancer about passthrough flows: which agents an opening
/// segment may go to, and where segments of flows with a known or an unknown
/// owner go. These functions use no clock, socket or log; they get the time as
/// an argument and return actions.

#ifndef GALENAFORK_PASS_BALANCER_H
#define GALENAFORK_PASS_BALANCER_H

#include <galenafork/evacuation.h>
#include <galenafork/hedging.h>
#include <galenafork/pass_actions.h>
#include <galenafork/pass_messages.h>
#include <galenafork/pass_types.h>

#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace galenafork
{

/// Limits of the messages by which a balancer follows agents and its peers.
/// With them the messages of one balancer do not grow with the fleet. A
/// balancer subscribes to the statuses of the agents that it may place flows
/// at; agents correct its choice by forwarding, so it needs to know few of them
/// exactly. All others are only probed, which shows that they are running.
struct subscription_settings
{
    /// Maximum number of subscribed agents of a service in the balancer's data
    /// centre.
    std::size_t max_near_ = 16;
    /// Number of subscribed agents of a service that the balancer aims at.
    /// Those that its own data centre lacks are in other data centres.
    std::size_t min_total_ = 16;
    /// Minimum number of subscribed agents of a service in other data centres,
    /// which get flows if all agents of the own one are full.
    std::size_t min_far_ = 8;
    /// With this many subscribed agents in the own data centre, those in others
    /// are rarely used, and their statuses may be less frequent.
    std::size_t enough_near_ = 6;
    /// Rate of statuses that a balancer asks for. Handling them takes less than
    /// a hundredth of a core of the smallest instance.
    std::uint32_t statuses_per_second_ = 250;
    /// Minimum and maximum time between two statuses of a subscribed agent. The
    /// maximum is well below `agent_timeout_`.
    duration min_status_interval_ = std::chrono::milliseconds(200);
    duration max_status_interval_ = std::chrono::milliseconds(600);
    /// Time between two hellos to a subscribed agent. Agents end a subscription
    /// after several missing hellos.
    duration hello_interval_ = std::chrono::seconds(1);
    /// Rate at which agents without a subscription are probed.
    std::uint32_t probes_per_second_ = 40;
    /// Rate at which listed agents that have sent no status for the lifetime of
    /// a flow are probed. Most of their instances are gone; they do not slow
    /// down the probes of others.
    std::uint32_t silent_probes_per_second_ = 40;
    /// Minimum time between two probes of one agent.
    duration min_probe_interval_ = std::chrono::milliseconds(2500);
    /// Number of random peers that get a hello in each round. Versions of rules
    /// reach all balancers within a few rounds.
    std::size_t peers_per_round_ = 8;
    /// A peer that has sent no hello for this time, in which a running one
    /// sends many, is silent: it gets hellos of `silent_peers_per_round_` only.
    duration peer_silence_timeout_ = std::chrono::seconds(30);
    /// Number of random silent peers that get a hello in each round, in case
    /// they are running and could not be reached.
    std::size_t silent_peers_per_round_ = 1;
    /// An agent or a peer that is neither listed nor sends a message for this
    /// time is forgotten.
    duration forget_after_ = std::chrono::seconds(120);
};

/// Limits of a balancer's decisions.
struct pass_balancer_settings
{
    host_address host_;
    data_centre data_centre_;
    /// Maximum number of agents of the balancer's data centre that one opening
    /// segment is sent to, one after the other.
    std::size_t max_near_candidates_ = 8;
    /// Maximum number of agents of other data centres that the segment is sent
    /// to after those.
    std::size_t max_far_candidates_ = 3;
    /// An agent that has sent no status for this time gets no new flows. The
    /// time is longer than two of an agent's longest status intervals.
    duration agent_timeout_ = std::chrono::milliseconds(1600);
    /// A retransmitted opening segment goes to another agent if its agent has
    /// sent no status for this time, which is longer than an agent's status
    /// interval.
    duration retransmit_agent_timeout_ = std::chrono::milliseconds(700);
    /// Callers leave at least 200 ms between two transmissions of an opening
    /// segment. If two arrive within this shorter time, they were delayed in
    /// the balancer and are no sign that the agent does not respond.
    duration min_retransmit_gap_ = std::chrono::milliseconds(150);
    /// Speed of a cold upstream relative to a warm one (the platform's servers
    /// take 1.6 times as long when cold).
    double cold_speed_ = 0.6;
    /// A random amount up to this is added to an agent's load (requests per
    /// slot), so that balancers with the same statuses do not all choose the
    /// same agent.
    double load_jitter_ = 0.7;
    /// Flows that are idle for longer are removed, unless the idle timeout of
    /// the rules and `idle_margin_` are longer together.
    duration flow_idle_timeout_ = std::chrono::seconds(20);
    /// Time for a caller's last segment before the timeout to arrive, with its
    /// retransmissions.
    duration idle_margin_ = std::chrono::seconds(5);
    /// Time for which a finished flow is kept after its last segment.
    duration flow_linger_ = std::chrono::seconds(4);
    /// Minimum time between two rounds of questions in the search for the owner
    /// of one flow. It is long enough for the responses of the agents and of
    /// relays to arrive.
    duration search_interval_ = std::chrono::milliseconds(150);
    /// Maximum time between two rounds that a search starts by itself, until
    /// `search_timeout_` after the caller's last segment. A lost message, or an
    /// agent that was down, would otherwise cost the caller a retransmission,
    /// and few fit into its deadline. The intervals double from
    /// `search_interval_` while no agent responds.
    duration max_round_interval_ = std::chrono::milliseconds(600);
    /// An agent that has sent no status since it was first listed is waited for
    /// by searches for this time, in which a restart ends. Its entry may have
    /// been left behind by an instance that is gone.
    duration unheard_agent_timeout_ = std::chrono::seconds(2);
    /// An agent without an upstream's process that is silent for this time is
    /// not waited for by searches. The process of an upstream that starts
    /// beside it takes longer to get its first flows.
    duration ended_agent_silence_ = std::chrono::seconds(1);
    /// Agents of one data centre are asked through a relay if there are at
    /// least this many. Without relays a search in a fleet of 46 agents takes
    /// 200 messages; after a loss of power, searches for 4,000 flows filled the
    /// links of balancers (10 Mbit/s) for ten seconds.
    std::size_t min_relay_group_ = 4;
    /// In a service with more agents than this, those of the own data centre
    /// are asked before the others, as nearly all flows are there.
    std::size_t max_single_stage_ = 8;
    /// Time for which an agent counts as undecided without being asked again.
    /// It may restart meanwhile, and a restarting agent may be the owner's.
    duration undecided_validity_ = std::chrono::milliseconds(500);
    /// Number of undecided agents that ask their upstreams in the first batch;
    /// each further batch has four times as many. An upstream that gets three
    /// segments of a flow of another one disturbs its caller, so the first
    /// batch, which mostly finds the owner, stays below.
    std::size_t first_asking_batch_ = 2;
    /// Time after which an upstream that has neither returned a segment nor
    /// answered it has probably ended. Most requests take less.
    duration upstream_response_time_ = std::chrono::milliseconds(100);
    /// A search ends this long after the caller's last segment. Callers
    /// retransmit within it.
    duration search_timeout_ = std::chrono::seconds(3);
    /// Maximum age of a pending opening segment: half of the duration of a
    /// caller's attempt. An older segment is refused, and the caller starts a
    /// new attempt at once, which can be answered soon.
    duration max_opening_wait_ = std::chrono::milliseconds(700);
    /// Maximum number of pending opening segments; further ones are refused.
    std::size_t max_pending_openings_ = 2000;
    /// Pending segments are placed only while an agent of their service has
    /// fewer requests per slot than this, so that the first agent to come back
    /// does not get all of them.
    double max_load_for_pending_ = 2.0;
    /// An agent that has sent no status for this time is probably down for
    /// longer than a restart takes, and searches do not wait for it. For an
    /// agent that is only probed, several probes must have had no response.
    duration agent_gone_timeout_ = std::chrono::seconds(8);
    /// A search ends in a reset only if the registrations were read at most
    /// this long ago, which covers several reads. Other balancers may use
    /// agents that have registered since.
    duration max_member_list_age_ = std::chrono::seconds(15);
    /// Longest lifetime of a flow.
    duration flow_lifetime_ = std::chrono::seconds(60);
    subscription_settings subscriptions_;
    /// A balancer that handled nothing for longer than this was paused: routers
    /// have sent its callers' retransmissions to other balancers since.
    duration max_unattended_ = std::chrono::seconds(1);
    /// Evacuations of data centres are applied and announced.
    bool follows_evacuations_ = false;
    hedge_settings hedging_;
};

/// State of one agent at a balancer.
struct agent_record
{
    status_message status_;
    /// When the last status arrived; before the first one, when the agent was
    /// first listed.
    instant last_status_at_{};
    /// When the store or a peer last listed the agent.
    instant last_listed_at_{};
    /// When the last hello was sent to the agent.
    instant hello_sent_at_{};
    /// Opening segments sent to the agent since its last status.
    std::uint32_t placed_since_status_ = 0;
    bool has_status_ = false;
    /// The agent sends its status periodically.
    bool subscribed_ = false;
};

/// The agents of one service at a balancer.
struct service_agents
{
    std::vector<host_address> all_;
    /// Those with a subscription.
    std::vector<host_address> subscribed_;
};

/// State of one flow at a balancer.
struct balancer_flow
{
    /// The agent that gets the flow's segments; zero if unknown.
    host_address owner_;
    instant last_active_{};
    /// When the caller's attempt to open the flow started, estimated from the
    /// retransmission count of the first opening segment that arrived.
    instant attempt_started_at_{};
    std::uint32_t opening_sequence_ = 0;
    /// The caller has finished or reset the flow, or no agent has it.
    bool finished_ = false;
    /// The opening segment is queued at the owner.
    bool queued_ = false;
};

/// Agents that a search for the owner of a flow has asked so far.
enum class search_scope : std::uint8_t
{
    /// Those of `expected_services` in the balancer's data centre.
    near_agents,
    /// Those whose service the active rule selects, and those whose service is
    /// unknown. The owner is nearly always one of them.
    expected_services,
    /// All. The rule may have had other services when the flow was opened.
    all_agents,
};

/// Another balancer. The store also lists balancers whose instance is gone.
struct peer_record
{
    instant last_listed_at_{};
    /// When the peer last sent a hello; when it was first listed if it has sent
    /// none.
    instant last_heard_at_{};
};

/// An agent whose upstream may have a flow from before the agent's start.
struct undecided_agent
{
    host_address host_;
    instant responded_at_{};
};

/// A search for the owner of one flow. Denials count until the search ends; a
/// retransmission asks only the other agents again.
struct owner_search
{
    instant asked_at_{};
    search_scope scope_ = search_scope::expected_services;
    /// The bytes of the caller's last segment.
    std::vector<std::uint8_t> packet_;
    /// The agent that returned the segment, or zero.
    host_address returned_by_;
    /// Next sequence number that the caller expects.
    std::uint32_t caller_expected_sequence_ = 0;
    /// Number of agents whose first response the search waits for. Responses
    /// are counted, so that the lists below are compared with all agents only
    /// when the last one arrives.
    std::uint32_t awaited_ = 0;
    /// Agents that do not have the flow.
    std::vector<host_address> denied_by_;
    std::vector<undecided_agent> undecided_;
    /// Agents that have been told to ask their upstreams and have not confirmed
    /// it. Such an agent may have ended since its first response.
    std::vector<host_address> told_to_ask_;
    /// Agents that have asked their upstreams, which have not responded.
    std::vector<host_address> asking_upstream_;
    /// Number of agents that have been told to ask their upstreams so far.
    std::size_t asked_upstreams_ = 0;
    /// Size of the last batch of such agents.
    std::size_t last_batch_ = 0;
    /// When the caller's last segment arrived.
    instant caller_sent_at_{};
    /// All have responded but agents that are probably down. One that comes
    /// back may be the owner's, so they are asked again.
    bool waits_for_silent_ = false;
    /// All have denied the flow, but the list of agents was read too long ago.
    bool waits_for_list_ = false;
    /// Rounds so far, and those that the search has started by itself since an
    /// agent last responded.
    unsigned rounds_ = 0;
    unsigned unanswered_rounds_ = 0;
    /// The owner, once it is found. The search then only waits for the next
    /// tick, which sends the owner the segment once more.
    host_address owner_;
};

/// An opening segment that waits for a usable agent or for the first rules.
struct pending_opening
{
    segment_header segment_;
    std::vector<std::uint8_t> packet_;
    /// When the caller's attempt to open the flow started, estimated from the
    /// segment's retransmission count.
    instant attempt_started_at_{};
};

/// All state of a balancer's decisions.
struct pass_balancer_state
{
    pass_balancer_settings settings_;
    std::shared_ptr<const pass_rules> rules_;
    std::unordered_map<host_address, agent_record> agents_;
    /// Number of agents that have sent no status for the lifetime of a flow, at
    /// the last round of hellos.
    std::size_t silent_agents_ = 0;
    /// Agents by the service of their last status.
    std::unordered_map<service_name, service_agents> services_;
    /// Other balancers that are listed or send hellos.
    std::unordered_map<host_address, peer_record> peers_;
    std::unordered_map<flow_key, balancer_flow> flows_;
    /// Searches for the owners of flows of `flows_`.
    std::unordered_map<flow_key, owner_search> searches_;
    /// Segments that the last tick sent to owners once more; the actions refer
    /// to their bytes.
    std::vector<std::vector<std::uint8_t>> confirmed_packets_;
    /// Agents in these data centres get no new flows.
    evacuation_state evacuations_;
    /// When the latest read of the store began that found no rules newer than
    /// the active ones; unset if none is known. The read may have been one of
    /// another balancer.
    std::optional<instant> rules_read_at_;
    /// The same for the evacuations.
    std::optional<instant> evacuations_read_at_;
    std::vector<pending_opening> pending_openings_;
    /// Flows of `pending_openings_`.
    std::unordered_set<flow_key> pending_flows_;
    std::minstd_rand random_;
    /// Opening segments refused because no rule has their address, since the
    /// metrics were last updated.
    std::uint64_t refused_no_rule_ = 0;
    /// When the registrations of all members were last read; unset before the
    /// first time.
    std::optional<instant> members_read_at_;
    /// The balancer's process is about to end.
    bool leaving_ = false;
    /// When the balancer last handled an event; unset before the first one.
    std::optional<instant> last_attended_at_;
    /// The balancer was paused, and segments that arrived during the pause may
    /// still wait in its socket.
    bool resuming_ = false;
    /// Unused if hedging is disabled.
    hedge_state hedging_;
};

/// Returns the initial state of a balancer.
pass_balancer_state new_pass_balancer(const pass_balancer_settings& settings,
                                      std::uint32_t seed);

/// Applies `rules` if they are newer than the active ones, and returns whether
/// they are.
bool update_rules(pass_balancer_state& state,
                  std::shared_ptr<const pass_rules> rules);

/// Applies evacuations from the store or a peer if they are later than the
/// current ones. If they change, all peers and agents get a hello with them at
/// once.
evacuation_update update_evacuations(pass_balancer_state& state,
                                     const evacuation_state& next, instant now,
                                     pass_actions& out);

/// Returns the agents for an opening segment to `service`, best first: those of
/// this data centre by their load, then those of others. Empty if no agent
/// accepts new flows.
std::vector<host_address> candidates_for(pass_balancer_state& state,
                                         const service_name& service,
                                         instant now);

/// Records that the balancer handles an event now. After a pause it drops
/// opening segments, pending ones and those that waited in its socket: another
/// balancer may have placed them, and a refusal would reset the flow.
void note_attention(pass_balancer_state& state, instant now, pass_actions& out);

/// Records that no segment waits in the socket any more.
void note_caught_up(pass_balancer_state& state);

/// Handles a segment from a caller: places an opening segment, sends any other
/// segment to the flow's owner, or starts a search for the owner.
void handle_caller_segment(pass_balancer_state& state, const segment_header& s,
                           byte_view bytes, instant now, pass_actions& out);

/// Handles an agent's status, and places pending segments if the agent is
/// usable.
void handle_status(pass_balancer_state& state, const status_message& status,
                   instant now, pass_actions& out);

/// Records an agent that the store or a peer lists, and probes it if it is new.
void add_listed_agent(pass_balancer_state& state, host_address agent,
                      instant now, pass_actions& out);

/// Records that all members in the store have just been read, after the own
/// entry was written.
void note_members_read(pass_balancer_state& state, instant now);

/// Records a balancer that the store or a peer lists, and sends it a hello if
/// it is new.
void add_listed_peer(pass_balancer_state& state, host_address peer, instant now,
                     pass_actions& out);

/// Handles a hello of a peer, after its evacuations were applied. Returns
/// whether the peer has newer rules.
bool handle_hello(pass_balancer_state& state, const hello_message& hello,
                  instant now);

/// Announces the active rules to all peers that are not silent at once.
void announce_rules(const pass_balancer_state& state, instant now,
                    pass_actions& out);

/// Reads of the store by this balancer: when each began. Unset for none.
struct store_reads
{
    /// Found no rules newer than the active ones.
    std::optional<instant> rules_at_;
    /// Found no evacuations later than the current ones.
    std::optional<instant> evacuations_at_;
};

/// Records reads of the store, and tells all peers that are not silent, which
/// then need no read of their own for a while.
void note_store_reads(pass_balancer_state& state, const store_reads& reads,
                      instant now, pass_actions& out);

/// Chooses the agents to subscribe to, and sends the hellos that are due to
/// agents and to some random peers. To be called every
/// `hello_round_interval`.
void send_hellos(pass_balancer_state& state, instant now, pass_actions& out);

/// Time between two calls of `send_hellos`.
inline constexpr duration hello_round_interval = std::chrono::milliseconds(500);

/// Returns the time after which an agent that sends no status is probably down.
duration gone_timeout(const pass_balancer_state& state,
                      const agent_record& agent);

/// Handles an agent's message about a flow's owner. Owner zero means that the
/// sender does not have the flow or is undecided. If all agents have denied it,
/// whatever their service, the upstream's process has ended, and the caller
/// gets a reset.
void handle_flow_owner(pass_balancer_state& state,
                       const flow_owner_message& message, instant now,
                       pass_actions& out);

/// Handles a relay's summary of the responses of its group, like the responses
/// themselves.
void handle_search_result(pass_balancer_state& state,
                          const search_result_message& message, instant now,
                          pass_actions& out);

/// Handles a segment that an agent returned because it does not know the flow:
/// sends the segment to the flow's owner if that is another agent by now, or
/// starts a search for the owner.
void handle_returned_segment(pass_balancer_state& state,
                             const locate_message& message,
                             const segment_header& s, instant now,
                             pass_actions& out);

/// Removes expired flows, and places or refuses pending opening segments. To be
/// called periodically.
void handle_tick(pass_balancer_state& state, instant now, pass_actions& out);

/// Records which agent has offered a hedge, if `message` reports it. To be
/// called before `handle_flow_owner`.
void note_owner_report(pass_balancer_state& state,
                       const flow_owner_message& message);

/// Sends the hedges that are due, and counts those that won. To be called every
/// `hedge_tick_interval` if hedging is enabled.
void handle_hedge_tick(pass_balancer_state& state, instant now,
                       pass_actions& out);

/// Time between two calls of `handle_hedge_tick`.
inline constexpr duration hedge_tick_interval = std::chrono::milliseconds(10);

/// Returns the number of agents that have sent a status within
/// `agent_timeout_`.
std::size_t count_live_agents(const pass_balancer_state& state, instant now);

} // namespace galenafork

#endif
