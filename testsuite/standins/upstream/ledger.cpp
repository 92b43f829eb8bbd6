#include "ledger.h"

namespace galenafork::standin
{

ledger::ledger(const std::string& path)
{
    if (!path.empty())
    {
        file_.open(path, std::ios::app);
    }
}

std::uint64_t ledger::record_run(const std::string& id)
{
    constexpr std::uint64_t second_run = 2;
    file_ << id << std::endl;
    ++runs_;
    const std::uint64_t runs = ++runs_by_id_[id];
    if (runs == second_run)
    {
        ++duplicated_ids_;
    }
    return runs;
}

} // namespace galenafork::standin
