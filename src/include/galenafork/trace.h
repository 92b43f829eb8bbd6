/// \file
/// Trace context, as in W3C Trace Context.

#ifndef GALENAFORK_TRACE_H
#define GALENAFORK_TRACE_H

#include <array>
#include <cstdint>

namespace galenafork
{

/// Ids that link the spans of one packet's hops. All zero means that the packet
/// is not traced.
struct trace_context
{
    std::array<std::uint8_t, 16> trace_id_{};
    /// Span of the hop that sent the packet, which is the parent of the
    /// receiver's span.
    std::array<std::uint8_t, 8> span_id_{};
    bool sampled_ = false;
};

} // namespace galenafork

#endif
