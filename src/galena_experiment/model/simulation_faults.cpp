#include "simulation.h"

namespace galenafork::pvt
{

void simulation::send_heartbeat(std::size_t member)
{
    simulated_member& m = members_[member];
    if (m.present_)
    {
        update_smoothed_in_flight(m, now_, run_setup_.smoothing_time_constant_);
        reports_[member] = make_load_report(m, input_.setup_->faults_, now_);
        for (auto& by_home : assigned_)
        {
            by_home[member] = {};
        }
    }
    schedule(now_ + run_setup_.heartbeat_interval_, event_kind::heartbeat, 0,
             member);
}

void simulation::inject_fault()
{
    simulated_member& first_member = members_.front();
    update_averages(0);
    first_member.fault_ = scenario_.fault_;
    first_member.fault_since_ = now_;
    duration roster_update_delay = run_setup_.roster_delay_;
    switch (scenario_.fault_)
    {
    case fault_kind::cold_start:
        first_member.present_ = true;
        break;
    case fault_kind::drain:
        first_member.draining_ = true;
        break;
    case fault_kind::member_lost:
        roster_update_delay = run_setup_.takeover_delay_;
        remove_lost_member(0);
        break;
    case fault_kind::data_centre_leaves:
        roster_update_delay = run_setup_.takeover_delay_;
        for (std::size_t i = 0; i < members_.size(); ++i)
        {
            if (members_[i].data_centre_ == first_member.data_centre_)
            {
                remove_lost_member(i);
            }
        }
        break;
    default:
        break;
    }
    record_load(0);
    schedule(now_ + roster_update_delay, event_kind::roster_update, 0);
}

// Callers retransmit the lost requests after their retransmission timeout.
void simulation::remove_lost_member(std::size_t member)
{
    update_averages(member);
    simulated_member& m = members_[member];
    m.present_ = false;
    ++m.incarnation_;
    m.running_ = 0;
    m.queue_.clear();
    record_load(member);
    for (std::uint32_t flow = 0; flow < flows_.size(); ++flow)
    {
        flow_progress& f = flows_[flow];
        if (f.at_owner_ && f.owner_ == member)
        {
            f.at_owner_ = false;
            retry_or_fail(flow, f.sent_at_ + run_setup_.retransmit_timeout_,
                          duration(0));
        }
    }
}

void simulation::apply_roster_update()
{
    for (simulated_member& m : members_)
    {
        const bool joins = m.present_ && !m.serving_in_roster_ && !m.draining_;
        if (joins)
        {
            m.serving_since_ = now_;
        }
        m.serving_in_roster_ = m.present_ && !m.draining_;
    }
    homes_ = reassign_lost_buckets(homes_, members_, run_setup_.deputies_);
}

} // namespace galenafork::pvt
