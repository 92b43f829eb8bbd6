/// \file
/// The balancer's work on one packet: from the fabric's datagram to the
/// agent's. Allocates nothing once it is warm.

#ifndef GALENAFORK_FORWARDER_H
#define GALENAFORK_FORWARDER_H

#include <galenafork/messages.h>
#include <galenafork/routing.h>
#include <galenafork/trace_export.h>

#include <cstddef>
#include <cstdint>

namespace galenafork
{

/// What to do with one datagram from the fabric.
struct forward_result
{
    /// `none`: send `size_` bytes to `to_`.
    refusal refusal_ = refusal::none;
    endpoint to_;
    std::size_t size_ = 0;
    /// Trace of the packet as the agent gets it, and the fabric's span.
    trace_context trace_;
    trace_context parent_trace_;
    const service_route* route_ = nullptr;
};

/// A datagram from the fabric.
struct fabric_datagram
{
    const std::uint8_t* bytes_ = nullptr;
    std::size_t size_ = 0;
    /// Where the answer is to go.
    endpoint answer_endpoint_;
};

/// Makes agents' datagrams out of the fabric's. One per traffic thread.
class forwarder
{
public:
    /// `notices` is where agents send stale notices.
    forwarder(const endpoint& notices, trace_sampler traces);

    /// Writes the agent's datagram to `out`, which is aligned to
    /// `wire_alignment` and has `capacity` bytes. Refuses with `malformed`
    /// (also if it does not fit), `unknown_service` or `no_home`.
    forward_result forward(const routing_snapshot& snapshot,
                           const fabric_datagram& in, std::uint8_t* out,
                           std::size_t capacity);

private:
    void fill(const routing_snapshot& snapshot,
              const forwarding_decision& decision, const flow_key& flow,
              const trace_context& trace);

    // Reused, so that its strings and payload keep their memory.
    forwarded_packet packet_;
    trace_sampler traces_;
};

} // namespace galenafork

#endif
