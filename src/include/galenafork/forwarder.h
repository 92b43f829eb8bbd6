/// \file
/// Converts a datagram from the fabric into the datagram for the agent of the
/// flow's home. Allocates no memory per packet.

#ifndef GALENAFORK_FORWARDER_H
#define GALENAFORK_FORWARDER_H

#include <galenafork/messages.h>
#include <galenafork/routing.h>
#include <galenafork/trace_export.h>

#include <cstddef>
#include <cstdint>

namespace galenafork
{

/// The outcome for one datagram from the fabric.
struct forward_result
{
    /// If `none`, `size_` bytes are to be sent to `to_`.
    refusal refusal_ = refusal::none;
    endpoint to_;
    std::size_t size_ = 0;
    /// Trace context that the forwarded packet carries.
    trace_context trace_;
    /// Trace context that the fabric sent, the parent of `trace_`.
    trace_context parent_trace_;
    const service_route* route_ = nullptr;
};

/// A datagram from the fabric.
struct fabric_datagram
{
    const std::uint8_t* bytes_ = nullptr;
    std::size_t size_ = 0;
    /// Where the fabric expects the answer.
    endpoint answer_endpoint_;
};

/// Encodes datagrams for agents. Not thread-safe: each traffic thread has one.
class forwarder
{
public:
    /// `notice_endpoint` is the address to which agents send stale notices.
    forwarder(const endpoint& notice_endpoint, trace_sampler traces);

    /// Writes the datagram for the agent to `out`, which is aligned to
    /// `wire_alignment` and has `capacity` bytes. Refuses with `malformed` if
    /// `in` is malformed or the result exceeds `capacity`, and with
    /// `unknown_service` or `no_home` as `select_target` does.
    forward_result forward(const routing_snapshot& snapshot,
                           const fabric_datagram& in, std::uint8_t* out,
                           std::size_t capacity);

private:
    void fill_packet(const routing_snapshot& snapshot,
                     const forwarding_decision& decision, const flow_key& flow,
                     const trace_context& trace);

    // Reused for every datagram, so that its strings and payload keep their
    // buffers.
    forwarded_packet packet_;
    trace_sampler traces_;
};

} // namespace galenafork

#endif
