#include "simulation.h"

namespace galenafork::pvt
{

// The fabric sends the request to a balancer in a random data centre, which
// forwards it to the home of the flow's bucket.
void simulation::send_request(std::uint32_t flow, instant sent_at)
{
    flow_progress& f = flows_[flow];
    f.sent_at_ = sent_at;
    metrics_recorder_.request_sent(sent_at, f.attempt_ > 0);
    const auto data_centres =
        static_cast<double>(service_.servers_per_data_centre_.size());
    const auto balancer_data_centre =
        static_cast<std::size_t>(random_.uniform() * data_centres);
    const std::size_t home = homes_[workload_[flow].bucket_];
    const duration home_delay =
        balancer_data_centre == members_[home].data_centre_
            ? network_.within_data_centre_
            : network_.between_data_centres_;
    schedule(sent_at + network_.caller_ + home_delay,
             event_kind::request_at_home, flow);
}

void simulation::send_next_request(std::uint32_t flow,
                                   instant previous_ended_at)
{
    flow_progress& f = flows_[flow];
    ++f.request_index_;
    f.attempt_ = 0;
    if (f.request_index_ < workload_[flow].request_count_)
    {
        f.first_sent_at_ =
            previous_ended_at +
            think_time_before(workload_[flow], f.request_index_, service_);
        send_request(flow, f.first_sent_at_);
    }
}

void simulation::retry_or_fail(std::uint32_t flow, instant failed_at,
                               duration wait)
{
    flow_progress& f = flows_[flow];
    const instant retry_at = failed_at + wait;
    if (f.attempt_ < scenario_.caller_retries_ &&
        retry_at < request_deadline(flow))
    {
        ++f.attempt_;
        send_request(flow, retry_at);
        return;
    }
    metrics_recorder_.request_failed(failed_at);
    send_next_request(flow, failed_at);
}

duration simulation::retry_wait(duration hint) const
{
    if (scenario_.callers_ignore_hint_)
    {
        return retry_wait_ignoring_hint;
    }
    const duration unit = run_setup_.hint_unit_;
    return unit * ((hint + unit - duration(1)) / unit);
}

instant simulation::request_deadline(std::uint32_t flow) const
{
    return flows_[flow].first_sent_at_ + service_.deadline_;
}

} // namespace galenafork::pvt
