#include "load_generator.h"

namespace galenafork::standin
{

namespace
{

constexpr std::uint64_t max_start_delay_us = 500000;

} // namespace

load_generator::load_generator(event_loop& loop, std::vector<flow_group> groups,
                               request_stats& stats, std::uint64_t seed)
    : loop_(loop), groups_(std::move(groups)), stats_(stats),
      tag_(std::to_string(seed)), random_(seed)
{
}

void load_generator::start()
{
    for (const flow_group& group : groups_)
    {
        for (unsigned i = 0; i < group.flow_count_; ++i)
        {
            const auto delay =
                static_cast<std::int64_t>(random_() % max_start_delay_us);
            add_flow(group, duration(delay));
        }
    }
}

void load_generator::stop_gracefully()
{
    stopping_ = true;
    for (const auto& f : flows_)
    {
        f->stop_gracefully();
    }
    if (open_flows_ == 0)
    {
        loop_.stop();
    }
}

void load_generator::add_flow(const flow_group& group, duration delay)
{
    flows_.push_back(std::make_unique<flow>(loop_, group.settings_, stats_,
                                            next_flow_number_, tag_));
    ++next_flow_number_;
    ++open_flows_;
    flows_.back()->start(delay, [this, &group] { on_flow_end(group); });
}

void load_generator::on_flow_end(const flow_group& group)
{
    --open_flows_;
    if (!stopping_)
    {
        add_flow(group, duration(0));
    }
    else if (open_flows_ == 0)
    {
        loop_.stop();
    }
}

} // namespace galenafork::standin
