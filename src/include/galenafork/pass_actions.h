/// \file
/// What the decisions about passthrough flows ask the daemons to do.

#ifndef GALENAFORK_PASS_ACTIONS_H
#define GALENAFORK_PASS_ACTIONS_H

#include <galenafork/pass_messages.h>
#include <galenafork/pass_types.h>

#include <memory>
#include <vector>

namespace galenafork
{

/// Where a datagram goes.
enum class pass_target
{
    /// The upstream beside this agent.
    upstream,
    /// The caller of the flow.
    caller,
    /// Another agent, as a bare segment.
    agent,
    /// The caller, as a reset made by the system.
    reset,
    /// A peer, as a message.
    peer,
};

/// One datagram to send. Views are valid until the next decision.
struct pass_datagram
{
    pass_target target_ = pass_target::upstream;
    flow_key flow_;
    byte_view bytes_;
    host_address host_;
    /// Of a reset.
    std::uint32_t sequence_ = 0;
    /// For `pass_target::agent`: hops that the segment has behind it then.
    std::uint8_t hops_ = 0;
    /// For `pass_target::peer`; actions with several receivers share it.
    std::shared_ptr<const pass_message> message_;
};

/// One decision for the log: what it was about, its inputs and its outcome.
struct pass_decision
{
    /// A literal, for example `offered`, `held`, `refused`.
    const char* event_ = "";
    /// A literal; empty if the event says all.
    const char* reason_ = "";
    flow_key flow_;
    /// Sequence number of the opening segment: with the flow the id of one
    /// attempt, the same on all instances.
    std::uint32_t opening_sequence_ = 0;
    /// The peer that it concerns; zero for none.
    host_address host_;
    /// Version of the rules, where they decided.
    pass_rules_version version_;
    /// Requests at the upstream and waiting segments, as known here.
    std::uint32_t in_flight_ = 0;
    std::uint32_t queued_ = 0;
    /// Age of what decided: of the peer's last status on balancers, of the
    /// opening segment on agents.
    duration age_{0};
    /// Refusals, resets and changes of belief are logged before placements
    /// when the log's budget is short.
    bool important_ = false;
};

/// Collects what one or more decisions ask for.
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
    /// The same message to each of `hosts`.
    void send_to_peers(const std::vector<host_address>& hosts,
                       pass_message message);
};

} // namespace galenafork

#endif
