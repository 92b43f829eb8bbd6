/// \file
/// A record of the runs of non-idempotent requests.

#ifndef GALENAFORK_STANDINS_LEDGER_H
#define GALENAFORK_STANDINS_LEDGER_H

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace galenafork::standin
{

/// Counts runs by request id and appends the id of each run to a file, flushed
/// at once so that it is not lost when the process is killed.
class ledger
{
public:
    /// Opens `path` for appending. An empty path means that no file is written.
    explicit ledger(const std::string& path);

    /// Records a run and returns how often the request `id` has run, including
    /// this time.
    std::uint64_t record_run(const std::string& id);

    /// Returns the number of runs, including repeated runs of a request.
    std::uint64_t runs() const
    {
        return runs_;
    }

    /// Returns the number of request ids that have run more than once.
    std::uint64_t duplicated_ids() const
    {
        return duplicated_ids_;
    }

private:
    std::ofstream file_;
    std::unordered_map<std::string, std::uint64_t> runs_by_id_;
    std::uint64_t runs_ = 0;
    std::uint64_t duplicated_ids_ = 0;
};

} // namespace galenafork::standin

#endif
