/// \file
/// The load of a run: groups of flows, in which each flow that ends is replaced
/// by a new one.

#ifndef GALENAFORK_STANDINS_LOAD_GENERATOR_H
#define GALENAFORK_STANDINS_LOAD_GENERATOR_H

#include "flow.h"

#include <list>
#include <memory>
#include <vector>

namespace galenafork::standin
{

/// A number of concurrent flows with the same settings.
struct flow_group
{
    flow_settings settings_;
    unsigned flow_count_ = 0;
};

/// Keeps the number of flows of each group constant until the run ends.
class load_generator
{
public:
    load_generator(event_loop& loop, std::vector<flow_group> groups,
                   request_stats& stats, std::uint64_t seed);

    /// Starts all flows, each after a random delay of less than half a second.
    void start();

    /// Ends each flow after its current request, without starting new ones, and
    /// stops the loop when all flows have ended.
    void stop_gracefully();

private:
    void add_flow(const flow_group& group, duration delay);
    void on_flow_end(const flow_group& group);

    event_loop& loop_;
    std::vector<flow_group> groups_;
    request_stats& stats_;
    std::string tag_;
    std::mt19937_64 random_;
    std::list<std::unique_ptr<flow>> flows_;
    std::uint32_t next_flow_number_ = 0;
    std::uint32_t open_flows_ = 0;
    bool stopping_ = false;
};

} // namespace galenafork::standin

#endif
