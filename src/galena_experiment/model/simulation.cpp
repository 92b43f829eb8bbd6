#include "simulation.h"

namespace galenafork::pvt
{

namespace
{

// Separates the random numbers of placements from those of the workload.
constexpr std::uint64_t placement_stream = 0x7061636b65743031U;

// Limit on the connections to one upstream, which bounds its requests in flight
// under `strategy::no_shedding`.
constexpr std::uint32_t max_upstream_connections = 2000;

std::vector<simulated_member> make_members(const service_setup& service)
{
    std::vector<simulated_member> members;
    for (std::size_t dc = 0; dc < service.servers_per_data_centre_.size(); ++dc)
    {
        for (std::uint32_t i = 0; i < service.servers_per_data_centre_[dc]; ++i)
        {
            simulated_member m;
            m.data_centre_ = dc;
            m.slots_ = service.slots_;
            m.service_time_ = service.request_cost_;
            members.push_back(m);
        }
    }
    return members;
}

} // namespace

run_output run(const run_input& input)
{
    return simulation(input).run_to_end();
}

simulation::simulation(const run_input& input)
    : input_(input), service_(*input.service_), scenario_(*input.scenario_),
      network_(input.setup_->network_), run_setup_(input.setup_->run_),
      policy_(input.setup_->policy_), workload_(*input.workload_),
      end_(instant(run_setup_.warm_up_ + run_setup_.length_)),
      random_(input.seed_ ^ placement_stream),
      members_(make_members(*input.service_)), flows_(input.workload_->size()),
      reports_(members_.size()),
      assigned_(members_.size(), std::vector<assigned_flows>(members_.size())),
      metrics_recorder_(members_, instant(run_setup_.warm_up_), end_,
                        instant(scenario_.fault_at_))
{
    view_.candidates_.resize(members_.size());
    view_.true_in_flight_.resize(members_.size());
    view_.reported_in_flight_.resize(members_.size());
    start_members();
}

void simulation::start_members()
{
    if (scenario_.fault_ == fault_kind::cold_start)
    {
        members_.front().present_ = false;
        members_.front().serving_in_roster_ = false;
        metrics_recorder_.load_changed(0, members_.front());
    }
    homes_ = distribute_buckets(homes_, members_);
    const auto count = static_cast<duration::rep>(members_.size());
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        reports_[i] =
            make_load_report(members_[i], input_.setup_->faults_, now_);
        const duration phase = run_setup_.heartbeat_interval_ *
                               static_cast<duration::rep>(i) / count;
        schedule(now_ + phase, event_kind::heartbeat, 0, i);
    }
    if (scenario_.fault_ != fault_kind::none)
    {
        schedule(instant(scenario_.fault_at_), event_kind::fault, 0);
    }
}

run_output simulation::run_to_end()
{
    std::uint32_t next_flow = 0;
    while (true)
    {
        const bool has_next_flow = next_flow < workload_.size() &&
                                   workload_[next_flow].starts_at_ < end_;
        if (has_next_flow &&
            (events_.empty() ||
             workload_[next_flow].starts_at_ <= events_.top().at_))
        {
            now_ = workload_[next_flow].starts_at_;
            flows_[next_flow].first_sent_at_ = now_;
            send_request(next_flow, now_);
            ++next_flow;
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
    metrics_recorder_.advance(end_);
    return {metrics_recorder_.summarize(capacity(service_)),
            metrics_recorder_.windows()};
}

void simulation::handle(const event& e)
{
    switch (e.kind_)
    {
    case event_kind::request_at_home:
        return handle_at_home(e.flow_);
    case event_kind::request_at_owner:
        return handle_at_owner(e.flow_, e.member_, e.incarnation_);
    case event_kind::request_done:
        return complete_request(e);
    case event_kind::heartbeat:
        return send_heartbeat(e.member_);
    case event_kind::fault:
        return inject_fault();
    case event_kind::roster_update:
        return apply_roster_update();
    }
}

void simulation::schedule(instant at, event_kind kind, std::uint32_t flow,
                          std::size_t member)
{
    event e;
    e.at_ = at;
    e.sequence_ = next_event_sequence_++;
    e.kind_ = kind;
    e.flow_ = flow;
    e.member_ = member;
    e.incarnation_ =
        member == no_simulated_member ? 0 : members_[member].incarnation_;
    events_.push(e);
}

void simulation::handle_at_home(std::uint32_t flow)
{
    flow_progress& f = flows_[flow];
    const std::size_t home = homes_[workload_[flow].bucket_];
    const instant timeout_at = f.sent_at_ + run_setup_.retransmit_timeout_;
    if (!members_[home].present_)
    {
        return retry_or_fail(flow, timeout_at, duration(0));
    }
    // The home drops a lost owner only after the roster update that removes it.
    if (f.owner_ != no_simulated_member &&
        f.owner_incarnation_ != members_[f.owner_].incarnation_ &&
        members_[f.owner_].serving_in_roster_ == members_[f.owner_].present_)
    {
        metrics_recorder_.flow_broken(now_);
        f.owner_ = no_simulated_member;
    }
    if (f.owner_ == no_simulated_member)
    {
        f.owner_ = open_flow(home);
        if (f.owner_ == no_simulated_member)
        {
            return retry_or_fail(flow, timeout_at, duration(0));
        }
        f.owner_incarnation_ = members_[f.owner_].incarnation_;
    }
    if (f.owner_ == home)
    {
        return handle_at_owner(flow, home, f.owner_incarnation_);
    }
    schedule(now_ + one_way_delay(home, f.owner_), event_kind::request_at_owner,
             flow, f.owner_);
}

std::size_t simulation::open_flow(std::size_t home)
{
    fill_placement_view(home);
    const std::size_t owner = place_flow(input_.strategy_, view_, policy_,
                                         random_, round_robin_index_);
    if (owner != no_simulated_member)
    {
        assigned_[home][owner] = add_flow(assigned_[home][owner],
                                          reports_[owner].service_time_, now_);
        metrics_recorder_.flow_opened(now_, owner != home,
                                      members_[owner].draining_);
    }
    return owner;
}

void simulation::fill_placement_view(std::size_t home)
{
    view_.home_ = home;
    for (std::size_t i = 0; i < members_.size(); ++i)
    {
        view_.candidates_[i] = make_candidate(home, i);
        view_.true_in_flight_[i] = in_flight(members_[i]);
        view_.reported_in_flight_[i] = reports_[i].upstream_report_.value_or(0);
    }
}

load_candidate simulation::make_candidate(std::size_t home,
                                          std::size_t member) const
{
    const simulated_member& m = members_[member];
    const load_sample& report = reports_[member];
    load_candidate c;
    c.member_ = member_index(static_cast<std::uint16_t>(member));
    c.same_data_centre_ = m.data_centre_ == members_[home].data_centre_;
    c.accepts_new_flows_ = m.serving_in_roster_;
    c.slots_ = m.slots_;
    c.in_flight_ = report.in_flight_;
    c.assigned_since_report_ =
        decay(assigned_[home][member], report.service_time_, now_).count_;
    c.upstream_report_ = report.upstream_report_;
    c.service_time_ = report.service_time_;
    c.serving_for_ = report.serving_for_;
    if (member == home)
    {
        c.in_flight_ = in_flight(m);
        c.assigned_since_report_ = 0;
        c.service_time_ = m.service_time_;
        c.serving_for_ = serving_for(m, now_);
    }
    return c;
}

admission_decision simulation::decide_admission(const simulated_member& m,
                                                std::uint32_t flow)
{
    const flow_progress& f = flows_[flow];
    if (input_.strategy_ == strategy::no_shedding)
    {
        admission_decision decision;
        decision.admitted_ = in_flight(m) < max_upstream_connections;
        decision.retry_after_ = policy_.admission_.min_retry_after_;
        return decision;
    }
    upstream_load load;
    load.slots_ = m.slots_;
    load.in_flight_ = in_flight(m);
    load.service_time_ = m.service_time_;
    admission_request request;
    request.deadline_ = request_deadline(flow);
    request.opens_flow_ = f.request_index_ == 0;
    request.is_retry_ = f.attempt_ > 0;
    return admit(load, request, m.retry_budget_, policy_, now_,
                 random_.uniform());
}

void simulation::handle_at_owner(std::uint32_t flow, std::size_t owner,
                                 std::uint32_t owner_incarnation)
{
    flow_progress& f = flows_[flow];
    simulated_member& m = members_[owner];
    if (!m.present_ || m.incarnation_ != owner_incarnation)
    {
        return retry_or_fail(flow, f.sent_at_ + run_setup_.retransmit_timeout_,
                             duration(0));
    }
    const bool is_retry = f.attempt_ > 0;
    const admission_decision decision = decide_admission(m, flow);
    if (!decision.admitted_)
    {
        metrics_recorder_.request_refused(now_);
        return retry_or_fail(flow, now_ + network_.caller_,
                             retry_wait(decision.retry_after_));
    }
    m.retry_budget_ = is_retry
                          ? consume_retry(m.retry_budget_)
                          : credit_request(m.retry_budget_, policy_.retry_);
    metrics_recorder_.request_admitted(now_, is_retry, owner);
    start_or_queue(flow, owner);
}

void simulation::start_or_queue(std::uint32_t flow, std::size_t owner)
{
    update_averages(owner);
    flows_[flow].at_owner_ = true;
    simulated_member& m = members_[owner];
    if (has_free_slot(m))
    {
        start_request(flow, owner);
    }
    else
    {
        m.queue_.push_back(flow);
    }
    record_load(owner);
}

void simulation::start_request(std::uint32_t flow, std::size_t owner)
{
    simulated_member& m = members_[owner];
    const duration cost =
        request_cost(workload_[flow], flows_[flow].request_index_, service_);
    const double factor = cost_factor(m, input_.setup_->faults_, now_);
    const duration service_time(
        static_cast<duration::rep>(static_cast<double>(cost.count()) * factor));
    ++m.running_;
    flows_[flow].started_at_ = now_;
    schedule(now_ + service_time, event_kind::request_done, flow, owner);
}

void simulation::complete_request(const event& e)
{
    simulated_member& m = members_[e.member_];
    if (m.incarnation_ != e.incarnation_)
    {
        return;
    }
    update_averages(e.member_);
    flow_progress& f = flows_[e.flow_];
    f.at_owner_ = false;
    --m.running_;
    update_service_time(m, now_ - f.started_at_);
    const instant answered_at = now_ + network_.caller_;
    metrics_recorder_.request_answered(now_, answered_at - f.first_sent_at_,
                                       answered_at <=
                                           request_deadline(e.flow_));
    start_queued_requests(e.member_);
    record_load(e.member_);
    send_next_request(e.flow_, answered_at);
}

// Starts queued requests while there are free slots. Requests whose deadline
// has passed are dropped without running.
void simulation::start_queued_requests(std::size_t member)
{
    simulated_member& m = members_[member];
    while (has_free_slot(m) && !m.queue_.empty())
    {
        const std::uint32_t flow = m.queue_.front();
        m.queue_.pop_front();
        if (is_past_deadline(flow))
        {
            flows_[flow].at_owner_ = false;
            metrics_recorder_.request_refused(now_);
            metrics_recorder_.request_failed(now_);
            send_next_request(flow, now_ + network_.caller_);
        }
        else
        {
            start_request(flow, member);
        }
    }
}

bool simulation::is_past_deadline(std::uint32_t flow) const
{
    return input_.strategy_ != strategy::no_shedding &&
           !time_for_upstream(request_deadline(flow), policy_.deadline_, now_);
}

duration simulation::one_way_delay(std::size_t from, std::size_t to) const
{
    return members_[from].data_centre_ == members_[to].data_centre_
               ? network_.within_data_centre_
               : network_.between_data_centres_;
}

void simulation::update_averages(std::size_t member)
{
    metrics_recorder_.advance(now_);
    update_smoothed_in_flight(members_[member], now_,
                              run_setup_.smoothing_time_constant_);
}

void simulation::record_load(std::size_t member)
{
    metrics_recorder_.load_changed(member, members_[member]);
}

} // namespace galenafork::pvt
