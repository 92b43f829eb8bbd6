/// \file
/// All callers of one run: flows that start, end and are followed by new ones.

#ifndef GALENAFORK_STANDINS_POPULATION_H
#define GALENAFORK_STANDINS_POPULATION_H

#include "flow.h"

#include <list>
#include <memory>
#include <vector>

namespace galenafork::standin
{

/// So many flows side by side of one kind.
struct flow_group
{
    flow_settings settings_;
    unsigned flows_ = 0;
};

/// Keeps each group at its size until the run ends.
class population
{
public:
    population(event_loop& loop, std::vector<flow_group> groups, tally& counts,
               std::uint64_t seed);

    /// Starts all flows, spread over a short time.
    void start();

    /// Starts no further flow and lets each end after its request; stops the
    /// loop when all have ended.
    void finish_up();

private:
    void add_flow(const flow_group& group, duration delay);
    void on_flow_end(const flow_group& group);

    event_loop& loop_;
    std::vector<flow_group> groups_;
    tally& counts_;
    std::string tag_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<flow>> flows_;
    std::uint32_t next_number_ = 0;
    std::uint32_t open_ = 0;
    bool ending_ = false;
};

} // namespace galenafork::standin

#endif
