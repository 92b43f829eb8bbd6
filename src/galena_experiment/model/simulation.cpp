#include "simulation.h"

namespace galenafork::pvt
{

namespace
{

// Separates the placement's random numbers from the trace's.
constexpr std::uint64_t placement_stream = 0x7061636b65743031U;

// Connections that one upstream can hold.
constexpr std::uint32_t connection_limit = 2000;

std::vector<upstream> make_members(const service_setup& service)
{
    std::vector<upstream> members;
    for (std::size_t dc = 0; dc < service.servers_per_data_centre_.size(); ++dc)
    {
        for (std::uint32_t i = 0; i < service.servers_per_data_centre_[dc]; ++i)
        {
            upstream u;
            u.data_centre_ = dc;
            u.slots_ = service.slots_;
            u.service_time_ = service.request_cost_;
            members.push_back(u);
        }
    }
    return members;
}

} // namespace

run_output run(const run_input& input)
{
    return simulation(input).finish();
}

simulation::simulation(const run_input& input)
    : input_(input), service_(*input.service_), scenario_(*input.scenario_),
      network_(input.setup_->network_), timing_(input.setup_->run_),
      policy_(input.setup_->policy_), trace_(*input.trace_),
      end_(instant(timing_.warm_up_ + timing_.length_)),
      random_(input.seed_ ^ placement_stream),
      members_(make_members(*input.service_)), flows_(input.trace_->size()),
      reports_(members_.size()),
      assigned_(members_.size(), std::vector<assigned_flows>(members_.size())),
      recorder_(members_, instant(timing_.warm_up_), end_,
                instant(scenario_.fault_at_))
{
    view_.candidates_.resize(members_.size());
    view_.true_in_flight_.resize(members_.size());
    view_.reported_.resize(members_.size());
    start_members();
}

void simulation::start_members()
{
    if (scenario_.fault_ == fault_kind::cold_start)
    {
        members_.front().alive_ = false;
        members_.front().accepts_new_flows_ = false;
        recorder_.load_changed(0, members_.front());
    }
    homes_ = spread_buckets(homes_, members_);
    const auto count = static_cast<duration::rep>(members_.size());
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        reports_[i] = report_of(members_[i], input_.setup_->faults_, now_);
        const duration phase =
            timing_.heartbeat_interval_ * static_cast<duration::rep>(i) / count;
        schedule(now_ + phase, event_kind::heartbeat, 0, i);
    }
    if (scenario_.fault_ != fault_kind::none)
    {
        schedule(instant(scenario_.fault_at_), event_kind::fault, 0);
    }
}

run_output simulation::finish()
{
    std::uint32_t next = 0;
    while (true)
    {
        const bool starts = next < trace_.size() && trace_[next].start_ < end_;
        if (starts &&
            (events_.empty() || trace_[next].start_ <= events_.top().at_))
        {
            now_ = trace_[next].start_;
            flows_[next].first_sent_ = now_;
            send_request(next, now_);
            ++next;
            continue;
        }
        if (events_.empty() || events_.top().at_ >= end_)
        {
            break;
        }
        const event e = events_.top();
        events_.pop();
        now_ = e.at_;
        handle(e);
    }
    recorder_.advance(end_);
    return {recorder_.result(capacity(service_)), recorder_.windows()};
}

void simulation::handle(const event& e)
{
    switch (e.kind_)
    {
    case event_kind::request_at_home:
        return at_home(e.flow_);
    case event_kind::request_at_owner:
        return at_owner(e.flow_, e.member_, e.life_);
    case event_kind::request_done:
        return done(e);
    case event_kind::heartbeat:
        return heartbeat(e.member_);
    case event_kind::fault:
        return fault();
    case event_kind::news:
        return news();
    }
}

void simulation::schedule(instant at, event_kind kind, std::uint32_t flow,
                          std::size_t member)
{
    event e;
    e.at_ = at;
    e.order_ = orders_++;
    e.kind_ = kind;
    e.flow_ = flow;
    e.member_ = member;
    e.life_ = member == nobody ? 0 : members_[member].life_;
    events_.push(e);
}

void simulation::at_home(std::uint32_t flow)
{
    live_flow& f = flows_[flow];
    const std::size_t home = homes_[trace_[flow].bucket_];
    const instant timeout = f.sent_ + timing_.retransmit_timeout_;
    if (!members_[home].alive_)
    {
        return retry_or_fail(flow, timeout, duration(0));
    }
    if (f.owner_ != nobody && f.owner_life_ != members_[f.owner_].life_ &&
        members_[f.owner_].accepts_new_flows_ == members_[f.owner_].alive_)
    {
        recorder_.flow_broken(now_);
        f.owner_ = nobody;
    }
    if (f.owner_ == nobody)
    {
        f.owner_ = open_flow(home);
        if (f.owner_ == nobody)
        {
            return retry_or_fail(flow, timeout, duration(0));
        }
        f.owner_life_ = members_[f.owner_].life_;
    }
    if (f.owner_ == home)
    {
        return at_owner(flow, home, f.owner_life_);
    }
    schedule(now_ + delay(home, f.owner_), event_kind::request_at_owner, flow,
             f.owner_);
}

std::size_t simulation::open_flow(std::size_t home)
{
    look_from(home);
    const std::size_t owner =
        place(input_.strategy_, view_, policy_, random_, turn_);
    if (owner != nobody)
    {
        assigned_[home][owner] = add_flow(assigned_[home][owner],
                                          reports_[owner].service_time_, now_);
        recorder_.flow_opened(now_, owner != home, members_[owner].draining_);
    }
    return owner;
}

void simulation::look_from(std::size_t home)
{
    view_.home_ = home;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        view_.candidates_[i] = candidate_of(home, i);
        view_.true_in_flight_[i] = in_flight(members_[i]);
        view_.reported_[i] = reports_[i].upstream_report_.value_or(0);
    }
}

load_candidate simulation::candidate_of(std::size_t home,
                                        std::size_t member) const
{
    const upstream& u = members_[member];
    const load_sample& report = reports_[member];
    load_candidate c;
    c.member_ = member_index(static_cast<std::uint16_t>(member));
    c.same_data_centre_ = u.data_centre_ == members_[home].data_centre_;
    c.accepts_new_flows_ = u.accepts_new_flows_;
    c.slots_ = u.slots_;
    c.in_flight_ = report.in_flight_;
    c.assigned_since_report_ =
        decay(assigned_[home][member], report.service_time_, now_).count_;
    c.upstream_report_ = report.upstream_report_;
    c.service_time_ = report.service_time_;
    c.serving_for_ = report.serving_for_;
    if (member == home)
    {
        c.in_flight_ = in_flight(u);
        c.assigned_since_report_ = 0;
        c.service_time_ = u.service_time_;
        c.serving_for_ = serving_for(u, now_);
    }
    return c;
}

admission_decision simulation::admit_at(const upstream& u, std::uint32_t flow)
{
    const live_flow& f = flows_[flow];
    if (input_.strategy_ == strategy::no_shedding)
    {
        admission_decision all;
        all.admitted_ = in_flight(u) < connection_limit;
        all.retry_after_ = policy_.admission_.min_retry_after_;
        return all;
    }
    upstream_load load;
    load.slots_ = u.slots_;
    load.in_flight_ = in_flight(u);
    load.service_time_ = u.service_time_;
    admission_request request;
    request.deadline_ = deadline_of(flow);
    request.opens_flow_ = f.request_ == 0;
    request.is_retry_ = f.attempt_ > 0;
    return admit(load, request, u.retries_, policy_, now_, random_.uniform());
}

void simulation::at_owner(std::uint32_t flow, std::size_t owner,
                          std::uint32_t life)
{
    live_flow& f = flows_[flow];
    upstream& u = members_[owner];
    if (!u.alive_ || u.life_ != life)
    {
        return retry_or_fail(flow, f.sent_ + timing_.retransmit_timeout_,
                             duration(0));
    }
    const bool repeat = f.attempt_ > 0;
    const admission_decision answer = admit_at(u, flow);
    if (!answer.admitted_)
    {
        recorder_.request_refused(now_);
        return retry_or_fail(flow, now_ + network_.caller_,
                             caller_wait(answer.retry_after_));
    }
    u.retries_ = repeat ? consume_retry(u.retries_)
                        : credit_request(u.retries_, policy_.retry_);
    recorder_.request_admitted(now_, repeat, owner);
    start_or_queue(flow, owner);
}

void simulation::start_or_queue(std::uint32_t flow, std::size_t owner)
{
    before_change(owner);
    flows_[flow].held_ = true;
    upstream& u = members_[owner];
    if (has_free_slot(u))
    {
        start(flow, owner);
    }
    else
    {
        u.queue_.push_back(flow);
    }
    after_change(owner);
}

void simulation::start(std::uint32_t flow, std::size_t owner)
{
    upstream& u = members_[owner];
    const duration cost =
        cost_of(trace_[flow], flows_[flow].request_, service_);
    const double factor = cost_factor(u, input_.setup_->faults_, now_);
    const duration taken(
        static_cast<duration::rep>(static_cast<double>(cost.count()) * factor));
    ++u.running_;
    flows_[flow].started_ = now_;
    schedule(now_ + taken, event_kind::request_done, flow, owner);
}

void simulation::done(const event& e)
{
    upstream& u = members_[e.member_];
    if (u.life_ != e.life_)
    {
        return;
    }
    before_change(e.member_);
    live_flow& f = flows_[e.flow_];
    f.held_ = false;
    --u.running_;
    note_service_time(u, now_ - f.started_);
    const instant answered = now_ + network_.caller_;
    recorder_.request_answered(now_, answered - f.first_sent_,
                               answered <= deadline_of(e.flow_));
    start_queued(e.member_);
    after_change(e.member_);
    next_request(e.flow_, answered);
}

// A queued request whose deadline passed is dropped: it did not run.
void simulation::start_queued(std::size_t member)
{
    upstream& u = members_[member];
    while (has_free_slot(u) && !u.queue_.empty())
    {
        const std::uint32_t flow = u.queue_.front();
        u.queue_.pop_front();
        if (is_too_late(flow))
        {
            flows_[flow].held_ = false;
            recorder_.request_refused(now_);
            recorder_.request_failed(now_);
            next_request(flow, now_ + network_.caller_);
        }
        else
        {
            start(flow, member);
        }
    }
}

bool simulation::is_too_late(std::uint32_t flow) const
{
    return input_.strategy_ != strategy::no_shedding &&
           !time_for_upstream(deadline_of(flow), policy_.deadline_, now_);
}

duration simulation::delay(std::size_t from, std::size_t to) const
{
    return members_[from].data_centre_ == members_[to].data_centre_
               ? network_.within_data_centre_
               : network_.between_data_centres_;
}

void simulation::before_change(std::size_t member)
{
    recorder_.advance(now_);
    count(members_[member], now_, timing_.smoothing_);
}

void simulation::after_change(std::size_t member)
{
    recorder_.load_changed(member, members_[member]);
}

} // namespace galenafork::pvt
