/// \file
/// The timeline of one flow, merged from the logs of several processes.

#ifndef GALENAFORK_FLOW_TIMELINE_H
#define GALENAFORK_FLOW_TIMELINE_H

#include <galenafork/time.h>

#include <istream>
#include <string>
#include <vector>

namespace galenafork
{

/// A decision about a flow, as logged by one process.
struct flow_log_entry
{
    /// Time of the decision: the time of the log line minus its `ago_us`, the
    /// delay until the line was written. Unix time by the instance's clock.
    duration time_{0};
    /// Name of the log that has the line.
    std::string source_;
    /// The line from its `program` field on; the whole line if it lacks the
    /// field.
    std::string text_;
};

/// Appends to `entries` the lines of `log` whose `flow` field equals `flow` or
/// begins with `flow` followed by `>` or `#`. Skips all other lines, also those
/// without a readable time.
void collect_flow_log(std::istream& log, const std::string& source,
                      const std::string& flow,
                      std::vector<flow_log_entry>& entries);

/// Formats the entries in order of time, one per line: milliseconds since the
/// first entry, source, text.
std::string format_flow_timeline(std::vector<flow_log_entry> entries);

} // namespace galenafork

#endif
