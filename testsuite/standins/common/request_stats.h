/// \file
/// Statistics on the requests of all callers of a process.

#ifndef GALENAFORK_STANDINS_REQUEST_STATS_H
#define GALENAFORK_STANDINS_REQUEST_STATS_H

#include <galenafork/time.h>

#include <cstdint>
#include <fstream>
#include <map>
#include <string>
#include <vector>

namespace galenafork::standin
{

/// How a request ended.
enum class outcome
{
    answered,
    /// Refused with an error response.
    refused,
    /// No answer, an invalid answer, or an answer from an instance other than
    /// the one that has answered the flow before.
    broken,
    /// Answered by an instance of another service.
    misdelivered,
};

/// Whether an upstream has run an intake request, as far as its caller can tell
/// from the answer.
enum class intake_state
{
    ran,
    did_not_run,
    /// Refused, after a response that leaves open whether the request ran.
    may_have_run,
    /// Neither answered correctly nor refused.
    unknown,
};

/// Counts the outcomes of requests and writes the state of each intake request
/// to a file.
class request_stats
{
public:
    /// Opens `path`, to which a line `STATE ID` is appended for each intake
    /// request. An empty path means that no file is written.
    explicit request_stats(const std::string& path);

    /// Counts a new request. Retransmissions and retries are not counted.
    void count_sent()
    {
        ++sent_;
    }

    /// Counts an outcome. `reason` is the cause of any outcome other than
    /// `answered`, and is counted as well.
    void count_outcome(outcome result, const std::string& reason);

    /// Adds the latency of an answered request.
    void add_latency(duration latency)
    {
        latencies_.push_back(latency);
    }

    /// Counts an answer to an earlier request, which the caller ignores.
    void count_late_answer()
    {
        ++late_answers_;
    }

    /// Appends the state of the intake request `id` to the file.
    void write_intake_state(intake_state state, const std::string& id);

    /// Returns the line `caller sent=N answered=N refused=N broken=N doubled=0
    /// misdelivered=N`. Callers can't see whether a request ran more than once,
    /// so `doubled` is always 0; the upstreams' ledgers show it.
    std::string summary() const;

    /// Logs the number of late answers, the counts by reason and the latency
    /// percentiles as one line.
    void log_details();

    /// Returns whether no outcome was `broken` or `misdelivered`.
    bool is_clean() const
    {
        return broken_ == 0 && misdelivered_ == 0;
    }

private:
    std::ofstream intakes_file_;
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t misdelivered_ = 0;
    std::uint64_t late_answers_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
    std::vector<duration> latencies_;
};

} // namespace galenafork::standin

#endif
