/// \file
/// Decisions of the balancer of passthrough flows: which agents an opening
/// segment may go to, and where the segments of known and unknown flows go. No
/// clock, socket or log in here.

#ifndef GALENAFORK_PASS_BALANCER_H
#define GALENAFORK_PASS_BALANCER_H

#include <galenafork/pass_actions.h>
#include <galenafork/pass_messages.h>
#include <galenafork/pass_types.h>

#include <memory>
#include <random>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace galenafork
{

/// Limits of a balancer's decisions.
struct pass_balancer_settings
{
    host_address host_;
    data_centre data_centre_;
    /// Agents of the caller's data centre that one opening segment may visit.
    std::size_t max_near_candidates_ = 4;
    /// Agents elsewhere that it may visit after those.
    std::size_t max_far_candidates_ = 3;
    /// An agent not heard of for this time gets nothing new: some of its
    /// longest report intervals.
    duration agent_timeout_ = std::chrono::milliseconds(1600);
    /// When an opening segment is repeated and its agent was silent for this
    /// time, the copy goes elsewhere: more than an agent's report interval.
    duration retransmit_agent_timeout_ = std::chrono::milliseconds(700);
    /// Copies that come closer together than this have waited here, and say
    /// nothing of their agent: callers leave 200 ms between two.
    duration min_retransmit_gap_ = std::chrono::milliseconds(150);
    /// Share of a slot's work that a cold upstream does (the platform's
    /// servers work 1.6 times as long when cold).
    double cold_speed_ = 0.6;
    /// Random part of a load, in slots, so that balancers with the same
    /// reports do not all choose the same agent.
    double load_jitter_ = 0.35;
    /// A flow idle for longer is forgotten.
    duration flow_idle_timeout_ = std::chrono::seconds(20);
    /// After the caller's last segment.
    duration flow_linger_ = std::chrono::seconds(4);
    /// Between two searches for the owner of one flow: a round trip to the
    /// agents and their answer.
    duration locate_interval_ = std::chrono::milliseconds(150);
    /// An opening segment waits at most this long for a first agent: half of a
    /// caller's attempt. Whoever waited longer is refused and comes back at
    /// once, as one of those that can be answered soon.
    duration max_opening_wait_ = std::chrono::milliseconds(700);
    /// Opening segments that wait for a first agent.
    std::size_t max_pending_openings_ = 2000;
    /// They are placed while an agent has less than this many requests a slot:
    /// the first agent to come back must not get them all.
    double max_load_for_pending_ = 2.0;
    /// An agent silent for this time has gone with its upstream: far longer
    /// than any restart takes.
    duration agent_gone_timeout_ = std::chrono::seconds(8);
};

/// One agent as a balancer knows it.
struct agent_record
{
    status_message status_;
    instant last_heard_{};
    /// Opening segments sent there since that status.
    std::uint32_t placed_since_status_ = 0;
    bool has_status_ = false;
};

/// One flow as a balancer knows it.
struct balancer_flow
{
    host_address owner_;
    instant last_active_{};
    instant first_copy_at_{};
    std::uint32_t opening_sequence_ = 0;
    instant locate_sent_at_{};
    bool finished_ = false;
    /// Its opening segment waits at the owner for a slot.
    bool queued_ = false;
    /// Next sequence number that the caller expects.
    std::uint32_t caller_expected_sequence_ = 0;
    /// Agents that answered the last question with "not here".
    std::vector<host_address> denied_by_;
};

/// An opening segment that no agent can take yet.
struct pending_opening
{
    segment_header segment_;
    std::vector<std::uint8_t> packet_;
    /// When its caller's attempt began, as far as its copy number tells.
    instant first_copy_at_{};
};

/// All that a balancer's traffic thread knows.
struct pass_balancer_state
{
    pass_balancer_settings settings_;
    std::shared_ptr<const pass_rules> rules_;
    std::unordered_map<host_address, agent_record> agents_;
    std::unordered_map<service_name, std::vector<host_address>> services_;
    std::unordered_map<flow_key, balancer_flow> flows_;
    std::vector<pending_opening> pending_openings_;
    /// Flows of `pending_openings_`.
    std::unordered_set<flow_key> pending_flows_;
    std::minstd_rand random_;
    std::uint64_t refused_no_rule_ = 0;
    /// All entries of agents have been read.
    bool members_complete_ = false;
};

/// Fresh state of a balancer.
pass_balancer_state new_pass_balancer(const pass_balancer_settings& settings,
                                      std::uint32_t seed);

/// Takes rules newer than those in force; older ones are ignored. Returns
/// whether they were taken.
bool update_rules(pass_balancer_state& state,
                  std::shared_ptr<const pass_rules> rules);

/// Agents for an opening segment to `service`, best first: those of this data
/// centre by their load, then others. Empty if none accepts.
std::vector<host_address> candidates_for(pass_balancer_state& state,
                                         const service_name& service,
                                         instant now);

/// Takes a segment from a caller.
void handle_caller_segment(pass_balancer_state& state, const segment_header& s,
                           byte_view bytes, instant now, pass_actions& out);

/// Takes an agent's status.
void handle_status(pass_balancer_state& state, const status_message& status,
                   instant now, pass_actions& out);

/// Notes an agent that the store or a peer names.
void add_listed_agent(pass_balancer_state& state, host_address agent,
                      instant now);

/// Takes the news of a flow's owner. Owner zero: the sender does not have it.
/// When no agent has it, its upstream's life is over, and the caller is told by
/// a reset.
void handle_flow_owner(pass_balancer_state& state,
                       const flow_owner_message& message, instant now,
                       pass_actions& out);

/// An agent handed back the segment of a flow that it does not have.
void handle_returned_segment(pass_balancer_state& state,
                             const locate_message& message,
                             const segment_header& s, instant now,
                             pass_actions& out);

/// Forgets what is over, and places what waited.
void handle_tick(pass_balancer_state& state, instant now, pass_actions& out);

/// Agents heard of within `agent_timeout_`.
std::size_t count_live_agents(const pass_balancer_state& state, instant now);

} // namespace galenafork

#endif
