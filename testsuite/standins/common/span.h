/// \file
/// Trace spans of the stand-ins.

#ifndef GALENAFORK_STANDINS_SPAN_H
#define GALENAFORK_STANDINS_SPAN_H

#include <galenafork/trace.h>

#include <random>
#include <string>

namespace galenafork::standin
{

/// A sampled trace with new ids.
trace_context start_trace(std::mt19937_64& random);

/// The same trace under a new span id.
trace_context child_span(const trace_context& parent, std::mt19937_64& random);

/// True if `trace` is to be recorded.
bool is_sampled(const trace_context& trace);

/// Logs one span of `hop`: ids in hexadecimal as in W3C Trace Context; the
/// parent is empty for a root.
void log_span(const char* hop, const trace_context& trace,
              const trace_context& parent, const std::string& peer);

} // namespace galenafork::standin

#endif
