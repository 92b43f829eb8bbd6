/// \file
/// The results of decisions about passthrough flows: datagrams that the daemons
/// send and entries for their logs.

#ifndef GALENAFORK_PASS_ACTIONS_H
#define GALENAFORK_PASS_ACTIONS_H

#include <galenafork/pass_messages.h>
#include <galenafork/pass_types.h>

#include <memory>
#include <optional>
#include <vector>

namespace galenafork
{

/// Destination of a datagram.
enum class pass_target
{
    /// The upstream beside this agent.
    upstream,
    /// The caller of the flow.
    caller,
    /// Another agent, which gets the segment without a message around it.
    agent,
    /// The caller of the flow, which gets a reset segment made by the daemon.
    reset,
    /// A balancer or an agent, which gets a `pass_message`.
    peer,
};

/// One datagram to send. `bytes_` is valid until the next decision.
struct pass_datagram
{
    pass_target target_ = pass_target::upstream;
    flow_key flow_;
    byte_view bytes_;
    host_address host_;
    /// Sequence number of a reset.
    std::uint32_t sequence_ = 0;
    /// For `pass_target::agent`: the segment's new hop count.
    std::uint8_t hops_ = 0;
    /// For `pass_target::peer`; datagrams to several receivers share it.
    std::shared_ptr<const pass_message> message_;
};

/// Agents in a search for the owner of a flow.
struct search_counts
{
    /// Agents that are asked with this decision.
    std::uint32_t asked_ = 0;
    /// Agents that have denied the flow.
    std::uint32_t denied_ = 0;
    /// Agents whose upstreams may have the flow, and that have not asked them.
    std::uint32_t undecided_ = 0;
    /// Agents that need not be asked.
    std::uint32_t ruled_out_ = 0;
};

/// One decision for the log: its subject, its inputs and its outcome.
struct pass_decision
{
    /// A string literal, for example `offered`, `held` or `refused`.
    const char* event_ = "";
    /// A string literal; empty if the event needs no reason.
    const char* reason_ = "";
    flow_key flow_;
    /// Sequence number of the opening segment. Together with the flow it
    /// identifies one attempt, in the same way on all instances.
    std::uint32_t opening_sequence_ = 0;
    /// The peer that the decision concerns; zero for none.
    host_address host_;
    /// Version of the rules that applied; zero if no rules were involved.
    pass_rules_version version_;
    /// Requests in flight at the upstream and queued opening segments: on
    /// agents their own numbers, on balancers those of the peer's last status.
    std::uint32_t in_flight_ = 0;
    std::uint32_t queued_ = 0;
    /// On balancers the age of the peer's last status, on agents the age of the
    /// opening segment.
    duration age_{0};
    /// Only for decisions of a search.
    std::optional<search_counts> search_;
    /// Marks all but ordinary placements: for example refusals, resets and
    /// changes of state. The log limits their rate separately, so that ordinary
    /// placements do not displace them.
    bool important_ = false;
};

/// Collects the datagrams and log entries of one or more decisions.
struct pass_actions
{
    std::vector<pass_datagram> datagrams_;
    std::vector<pass_decision> decisions_;

    void send_to_upstream(byte_view bytes);
    void send_to_caller(const flow_key& flow, byte_view bytes);
    void send_to_agent(host_address host, byte_view bytes,
                       std::uint8_t hops = 0);
    void send_reset(const flow_key& flow, std::uint32_t sequence);
    void send_to_peer(host_address host, pass_message message);
    /// Adds a datagram with the same message for each of `hosts`.
    void send_to_peers(const std::vector<host_address>& hosts,
                       pass_message message);
};

} // namespace galenafork

#endif
