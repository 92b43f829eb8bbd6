#include "simulation.h"

namespace galenafork::pvt
{

// The fabric hands the packet to a balancer in any data centre.
void simulation::send_request(std::uint32_t flow, instant at)
{
    live_flow& f = flows_[flow];
    f.sent_ = at;
    recorder_.request_sent(at, f.attempt_ > 0);
    const auto data_centres =
        static_cast<double>(service_.servers_per_data_centre_.size());
    const auto balancer_at =
        static_cast<std::size_t>(random_.uniform() * data_centres);
    const std::size_t home = homes_[trace_[flow].bucket_];
    const duration inner = balancer_at == members_[home].data_centre_
                               ? network_.within_data_centre_
                               : network_.between_data_centres_;
    schedule(at + network_.caller_ + inner, event_kind::request_at_home, flow);
}

void simulation::next_request(std::uint32_t flow, instant answered)
{
    live_flow& f = flows_[flow];
    ++f.request_;
    f.attempt_ = 0;
    if (f.request_ < trace_[flow].requests_)
    {
        f.first_sent_ =
            answered + pause_before(trace_[flow], f.request_, service_);
        send_request(flow, f.first_sent_);
    }
}

void simulation::retry_or_fail(std::uint32_t flow, instant at, duration wait)
{
    live_flow& f = flows_[flow];
    const instant again = at + wait;
    if (f.attempt_ < scenario_.caller_retries_ && again < deadline_of(flow))
    {
        ++f.attempt_;
        send_request(flow, again);
        return;
    }
    recorder_.request_failed(at);
    next_request(flow, at);
}

duration simulation::caller_wait(duration hint) const
{
    if (scenario_.callers_ignore_hint_)
    {
        return impatient_wait;
    }
    const duration unit = timing_.hint_unit_;
    return unit * ((hint + unit - duration(1)) / unit);
}

instant simulation::deadline_of(std::uint32_t flow) const
{
    return flows_[flow].first_sent_ + service_.deadline_;
}

} // namespace galenafork::pvt
