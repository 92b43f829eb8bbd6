#include "simulation.h"

namespace galenafork::pvt
{

void simulation::heartbeat(std::size_t member)
{
    upstream& u = members_[member];
    if (u.alive_)
    {
        count(u, now_, timing_.smoothing_);
        reports_[member] = report_of(u, input_.setup_->faults_, now_);
        for (auto& by_home : assigned_)
        {
            by_home[member] = {};
        }
    }
    schedule(now_ + timing_.heartbeat_interval_, event_kind::heartbeat, 0,
             member);
}

void simulation::fault()
{
    upstream& first = members_.front();
    before_change(0);
    first.fault_ = scenario_.fault_;
    first.fault_since_ = now_;
    duration until_known = timing_.roster_delay_;
    switch (scenario_.fault_)
    {
    case fault_kind::cold_start:
        first.alive_ = true;
        break;
    case fault_kind::drain:
        first.draining_ = true;
        break;
    case fault_kind::member_lost:
        until_known = timing_.takeover_delay_;
        lose(0);
        break;
    case fault_kind::data_centre_leaves:
        until_known = timing_.takeover_delay_;
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            if (members_[i].data_centre_ == first.data_centre_)
            {
                lose(i);
            }
        }
        break;
    default:
        break;
    }
    after_change(0);
    schedule(now_ + until_known, event_kind::news, 0);
}

// Callers of lost requests repeat them after their timeout.
void simulation::lose(std::size_t member)
{
    before_change(member);
    upstream& u = members_[member];
    u.alive_ = false;
    ++u.life_;
    u.running_ = 0;
    u.queue_.clear();
    after_change(member);
    for (std::uint32_t flow = 0; flow < flows_.size(); ++flow)
    {
        live_flow& f = flows_[flow];
        if (f.held_ && f.owner_ == member)
        {
            f.held_ = false;
            retry_or_fail(flow, f.sent_ + timing_.retransmit_timeout_,
                          duration(0));
        }
    }
}

void simulation::news()
{
    for (upstream& u : members_)
    {
        const bool joins = u.alive_ && !u.accepts_new_flows_ && !u.draining_;
        if (joins)
        {
            u.serving_since_ = now_;
        }
        u.accepts_new_flows_ = u.alive_ && !u.draining_;
    }
    homes_ = take_over(homes_, members_, timing_.deputies_);
}

} // namespace galenafork::pvt
