#include "population.h"

namespace galenafork::standin
{

namespace
{

constexpr std::uint64_t start_spread_us = 500000;

} // namespace

population::population(event_loop& loop, std::vector<flow_group> groups,
                       tally& counts, std::uint64_t seed)
    : loop_(loop), groups_(std::move(groups)), counts_(counts),
      tag_(std::to_string(seed)), random_(seed)
{
}

void population::start()
{
    for (const flow_group& group : groups_)
    {
        for (unsigned i = 0; i < group.flows_; ++i)
        {
            const auto delay =
                static_cast<std::int64_t>(random_() % start_spread_us);
            add_flow(group, duration(delay));
        }
    }
}

void population::finish_up()
{
    ending_ = true;
    for (const auto& f : flows_)
    {
        f->finish_up();
    }
    if (open_ == 0)
    {
        loop_.stop();
    }
}

void population::add_flow(const flow_group& group, duration delay)
{
    flows_.push_back(std::make_unique<flow>(loop_, group.settings_, counts_,
                                            next_number_, tag_));
    ++next_number_;
    ++open_;
    flows_.back()->start(delay, [this, &group] { on_flow_end(group); });
}

void population::on_flow_end(const flow_group& group)
{
    --open_;
    if (!ending_)
    {
        add_flow(group, duration(0));
    }
    else if (open_ == 0)
    {
        loop_.stop();
    }
}

} // namespace galenafork::standin
