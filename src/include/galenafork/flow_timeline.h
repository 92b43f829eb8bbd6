/// \file
/// One flow's life out of the logs of several processes.

#ifndef GALENAFORK_FLOW_TIMELINE_H
#define GALENAFORK_FLOW_TIMELINE_H

#include <galenafork/time.h>

#include <istream>
#include <string>
#include <vector>

namespace galenafork
{

/// One decision about a flow, as a process logged it.
struct flow_log_entry
{
    /// When it was decided: the line's time less the `ago_us` that it waited to
    /// be written. Microseconds of Unix time by its instance's clock.
    duration time_{0};
    /// The log that it stands in.
    std::string source_;
    /// The line without its time.
    std::string text_;
};

/// Adds the lines of `log` whose `flow` field is `flow`, or begins with it up
/// to `>` or `#`. Lines that are none of ours are passed over.
void collect_flow_log(std::istream& log, const std::string& source,
                      const std::string& flow,
                      std::vector<flow_log_entry>& steps);

/// The steps by time, one a line: milliseconds since the first, source, text.
std::string format_flow_timeline(std::vector<flow_log_entry> steps);

} // namespace galenafork

#endif
