/// \file
/// Trace spans of the stand-ins.

#ifndef GALENAFORK_STANDINS_SPAN_H
#define GALENAFORK_STANDINS_SPAN_H

#include <galenafork/trace.h>

#include <random>
#include <string>

namespace galenafork::standin
{

/// Returns a sampled trace context with random ids.
trace_context start_trace(std::mt19937_64& random);

/// Returns the context of a new span of the same trace.
trace_context child_span(const trace_context& parent, std::mt19937_64& random);

/// Returns whether spans of `trace` are to be recorded. An unset trace id
/// counts as not sampled.
bool is_sampled(const trace_context& trace);

/// Logs one span of `hop`, with ids in hexadecimal as in W3C Trace Context. The
/// parent id is left empty if `parent` isn't sampled, as for a root span.
void log_span(const char* hop, const trace_context& trace,
              const trace_context& parent, const std::string& peer);

} // namespace galenafork::standin

#endif
