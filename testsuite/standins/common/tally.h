/// \file
/// What became of the requests of all callers.

#ifndef GALENAFORK_STANDINS_TALLY_H
#define GALENAFORK_STANDINS_TALLY_H

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
    /// Refused with a verdict.
    refused,
    /// No answer, a wrong answer, or an answer of another instance than the
    /// flow had before.
    broken,
    /// Answered by an instance of another service.
    misdelivered,
};

/// What is known about the run of an intake.
enum class intake_state
{
    ran,
    did_not_run,
    may_have_run,
    unknown,
};

/// Counts outcomes and writes what became of each intake to a file.
class tally
{
public:
    /// Appends `STATE ID` lines to `path`; empty for no file.
    explicit tally(const std::string& path);

    /// A request goes out for the first time.
    void sent()
    {
        ++sent_;
    }

    /// A request ended; `reason` says more of one that was not answered.
    void ended(outcome how, const std::string& reason);

    /// An answered request took that long.
    void took(duration time)
    {
        times_.push_back(time);
    }

    /// An answer to an earlier request came and was passed over.
    void came_late()
    {
        ++late_;
    }

    /// An intake ended.
    void intake_ended(intake_state state, const std::string& id);

    /// `caller sent=N answered=N refused=N broken=N doubled=0 misdelivered=N`.
    std::string summary() const;

    /// Reasons and times, as one log line.
    void log_details();

    /// True if no request was broken or misdelivered.
    bool is_clean() const
    {
        return broken_ == 0 && misdelivered_ == 0;
    }

private:
    std::ofstream intakes_;
    std::uint64_t sent_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t broken_ = 0;
    std::uint64_t misdelivered_ = 0;
    std::uint64_t late_ = 0;
    std::map<std::string, std::uint64_t> reasons_;
    std::vector<duration> times_;
};

} // namespace galenafork::standin

#endif
