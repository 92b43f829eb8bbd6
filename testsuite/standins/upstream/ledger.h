/// \file
/// The record of every run of a non-idempotent request.

#ifndef GALENAFORK_STANDINS_LEDGER_H
#define GALENAFORK_STANDINS_LEDGER_H

#include <cstdint>
#include <fstream>
#include <string>
#include <unordered_map>

namespace galenafork::standin
{

/// Counts runs by request id and appends each to a file at once, so that the
/// record outlives a killed process.
class ledger
{
public:
    /// Appends to `path`; empty for no file.
    explicit ledger(const std::string& path);

    /// Records a run and returns how often this id has run.
    std::uint64_t record(const std::string& id);

    /// Runs so far, repeats included.
    std::uint64_t runs() const
    {
        return runs_;
    }

    /// Ids that ran more than once.
    std::uint64_t doubled() const
    {
        return doubled_;
    }

private:
    std::ofstream file_;
    std::unordered_map<std::string, std::uint64_t> runs_by_id_;
    std::uint64_t runs_ = 0;
    std::uint64_t doubled_ = 0;
};

} // namespace galenafork::standin

#endif
