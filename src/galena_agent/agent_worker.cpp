#include "agent_worker.h"

#include "placement_adapter.h"

#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/Thread.h>
#include <algorithm>
#include <sys/socket.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration tick_interval = milliseconds(20);
constexpr duration report_interval = milliseconds(250);
constexpr std::size_t inbox_size = 256;
constexpr int batches_per_turn = 8;

// Weight of the newest sample in the smoothed service time.
constexpr double service_time_weight = 0.1;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration duration_of(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

agent_worker::agent_worker(const agent_config& config, unique_fd packets,
                           worker_dependencies dependencies)
    : config_(config), packets_(std::move(packets)),
      metrics_(dependencies.metrics_), spans_(dependencies.spans_),
      to_control_(dependencies.to_control_), inbox_(inbox_size),
      traces_(dependencies.seed_, 0), random_(dependencies.seed_),
      started_(read_monotonic_clock()), received_(max_datagram_bytes),
      ticks_(tick_interval), on_packets_([this] { take_packets(); }),
      on_inbox_([this] { take_mail(); }), on_stop_([this] { stopped_ = true; }),
      on_tick_([this] { take_tick(); }),
      reactor_(new ACE_Dev_Poll_Reactor, true),
      upstreams_(config.upstream_, reactor_,
                 [this](const flow_key& flow, const byte_buffer& answer)
                 { take_upstream(flow, answer); })
{
    watch(packets_.get(), on_packets_);
    watch(inbox_.fd(), on_inbox_);
    watch(stop_.fd(), on_stop_);
    watch(ticks_.fd(), on_tick_);
}

agent_worker::~agent_worker()
{
    for (const int fd : {packets_.get(), inbox_.fd(), stop_.fd(), ticks_.fd()})
    {
        reactor_.remove_handler(fd, ACE_Event_Handler::READ_MASK |
                                        ACE_Event_Handler::DONT_CALL);
    }
}

void agent_worker::watch(int fd, input_handler& handler)
{
    reactor_.register_handler(fd, &handler, ACE_Event_Handler::READ_MASK);
}

void agent_worker::run()
{
    reactor_.owner(ACE_Thread::self());
    while (!stopped_)
    {
        reactor_.handle_events();
    }
}

void agent_worker::stop()
{
    stop_.signal();
}

void agent_worker::post(traffic_mail mail)
{
    inbox_.post(std::move(mail));
}

void agent_worker::take_mail()
{
    for (traffic_mail& mail : inbox_.pop_all())
    {
        if (const auto* life = std::get_if<begin_life>(&mail))
        {
            begin(*life);
        }
        else if (state_)
        {
            act(on_roster(*state_, std::get<roster>(mail),
                          read_monotonic_clock()));
        }
    }
    report();
}

void agent_worker::begin(const begin_life& life)
{
    upstreams_.close_all();
    requests_ = request_tracker();
    state_ = make_agent(config_.decisions_, life.self_, life.first_,
                        life.joined_, random_);
    state_->choose_owner_ = choose_by_load;
    state_->load_settings_ = config_.load_;
}

void agent_worker::take_packets()
{
    for (int i = 0; i < batches_per_turn; ++i)
    {
        const std::size_t count = received_.receive(packets_);
        for (std::size_t at = 0; at < count; ++at)
        {
            take_datagram(received_.view(at));
        }
        if (count < udp_batch_size)
        {
            return;
        }
    }
}

void agent_worker::take_datagram(const datagram_view& in)
{
    auto message = in.size_ > max_datagram_bytes ? tl::unexpected(error{})
                                                 : decode(in.bytes_, in.size_);
    if (!message)
    {
        metrics_.malformed_.add();
        return;
    }
    if (!state_)
    {
        metrics_.count_refused(refusal::no_home, false);
        return;
    }
    if (in.age_ > max_datagram_age)
    {
        metrics_.count_refused(refusal::deadline_passed, false);
        return;
    }
    if (auto* packet = std::get_if<forwarded_packet>(&*message))
    {
        metrics_.packets_.add();
        take_packet(std::move(*packet));
    }
    else if (const auto* peer = std::get_if<peer_message>(&*message))
    {
        metrics_.peer_messages_.add();
        act(on_peer_message(*state_, *peer, read_monotonic_clock()));
    }
}

void agent_worker::take_packet(forwarded_packet packet)
{
    std::optional<request_info> request;
    if (config_.kind_ == flow_kind::coap)
    {
        const auto read = read_request(packet);
        if (!read)
        {
            metrics_.count_refused(refusal::malformed, false);
            return;
        }
        request = *read;
    }
    act(on_packet(*state_, std::move(packet), std::move(request),
                  read_monotonic_clock()));
}

void agent_worker::take_tick()
{
    ticks_.clear();
    if (!state_)
    {
        return;
    }
    const instant now = read_monotonic_clock();
    update_load();
    act(on_tick(*state_, now));
    if (now >= last_report_ + report_interval)
    {
        requests_.expire(now - config_.load_.deadline_.request_time_limit_);
        report();
    }
}

void agent_worker::update_load()
{
    state_->load_.in_flight_ = static_cast<std::uint32_t>(requests_.size());
    state_->load_.slots_ = config_.slots_;
    state_->load_.cold_ =
        read_monotonic_clock() < started_ + config_.load_.slow_start_.length_;
}

void agent_worker::act(const agent_actions& actions)
{
    for (const agent_action& action : actions)
    {
        std::visit([this](const auto& a) { perform(a); }, action);
    }
}

void agent_worker::send(const datagram& message, const endpoint& to)
{
    const byte_buffer bytes = encode(message);
    send_udp(packets_, to, bytes.data(), bytes.size());
}

void agent_worker::perform(const send_peer_message& action)
{
    metrics_.peer_messages_sent_.add();
    const byte_buffer bytes = encode(action.message_);
    metrics_.peer_bytes_sent_.add(bytes.size());
    send_udp(packets_, action.to_, bytes.data(), bytes.size());
}

void agent_worker::perform(const forward_to_agent& action)
{
    metrics_.passed_on_.add();
    forwarded_packet packet = action.packet_;
    packet.trace_ = offer_span(packet, "agent.pass_on");
    send(packet, action.to_);
}

void agent_worker::perform(const send_stale_notice& action)
{
    send(action.notice_, action.to_);
}

trace_context agent_worker::offer_span(const forwarded_packet& packet,
                                       const char* name)
{
    const trace_context here = traces_.child_context(packet.trace_);
    if (!here.sampled_)
    {
        return here;
    }
    span s;
    s.context_ = here;
    s.parent_id_ = packet.trace_.span_id_;
    s.name_ = name;
    s.end_ns_ = read_wall_clock_ns();
    s.start_ns_ = s.end_ns_;
    s.attributes_ = {{"service", config_.service_.value()},
                     {"instance", config_.instance_.value()},
                     {"caller", to_string(packet.flow_.caller_)}};
    spans_.try_push(std::move(s));
    return here;
}

bool agent_worker::is_admitted(const send_to_upstream& action)
{
    if (!action.request_)
    {
        return true;
    }
    const upstream_load load{config_.slots_,
                             static_cast<std::uint32_t>(requests_.size()),
                             duration_of(service_seconds_), false};
    const admission_decision decided =
        admit(load, admission_request{}, budget_, config_.load_,
              read_monotonic_clock(), 0.0);
    if (decided.admitted_)
    {
        budget_ = credit_request(budget_, config_.load_.retry_);
        return true;
    }
    act(on_request_shed(*state_, action.packet_, action.request_,
                        decided.verdict_.reason_, read_monotonic_clock()));
    return false;
}

byte_buffer agent_worker::upstream_payload(const send_to_upstream& action,
                                           const trace_context& trace) const
{
    if (!action.request_ || (!trace.sampled_ && !action.upstream_timeout_))
    {
        return action.packet_.payload_;
    }
    const byte_buffer& payload = action.packet_.payload_;
    auto message = parse_coap(payload.data(), payload.size());
    if (!message)
    {
        return payload;
    }
    if (trace.sampled_)
    {
        set_trace(*message, trace);
    }
    if (action.upstream_timeout_)
    {
        const instant deadline =
            read_monotonic_clock() + *action.upstream_timeout_;
        const auto since_start = std::chrono::duration_cast<milliseconds>(
            deadline.time_since_epoch());
        set_uint_option(*message, coap_option_number::deadline,
                        static_cast<std::uint64_t>(since_start.count()));
    }
    return encode_coap(*message).value_or(payload);
}

void agent_worker::perform(const send_to_upstream& action)
{
    if (!is_admitted(action))
    {
        return;
    }
    const flow_key& flow = action.packet_.flow_;
    if (action.request_)
    {
        outstanding_request request{std::nullopt, read_monotonic_clock()};
        if (!action.request_->idempotent_)
        {
            request.guarded_ = action.request_->key_;
        }
        requests_.begin(flow, action.request_->key_.token_, request);
    }
    const trace_context trace = offer_span(action.packet_, "agent.deliver");
    metrics_.delivered_.add();
    upstreams_.send(flow, upstream_payload(action, trace));
}

void agent_worker::take_upstream(const flow_key& flow,
                                 const byte_buffer& answer)
{
    metrics_.answers_.add();
    const auto owned = state_->owned_flows_.find(flow);
    if (owned == state_->owned_flows_.end())
    {
        return;
    }
    const endpoint fabric = owned->second.fabric_;
    if (config_.kind_ == flow_kind::coap)
    {
        finish_request(flow, answer);
    }
    send_to_caller(flow, fabric, answer);
}

void agent_worker::finish_request(const flow_key& flow,
                                  const byte_buffer& answer)
{
    const auto message = parse_coap(answer.data(), answer.size());
    if (!message || !is_response(*message))
    {
        return;
    }
    const auto finished = requests_.finish(flow, message->token_);
    if (!finished)
    {
        return;
    }
    const instant now = read_monotonic_clock();
    const double took = seconds_of(now - finished->sent_);
    metrics_.answer_seconds_.record(took);
    service_seconds_ += service_time_weight * (took - service_seconds_);
    act(on_upstream_answer(*state_, flow, finished->guarded_, answer, now));
}

void agent_worker::send_to_caller(const flow_key& flow, const endpoint& fabric,
                                  const byte_buffer& answer)
{
    const proxy_header header{flow.service_address_, flow.caller_, {}};
    const byte_buffer bytes = make_proxy_datagram(header, answer);
    send_udp(packets_, fabric, bytes.data(), bytes.size());
}

void agent_worker::perform(const send_stored_answer& action)
{
    metrics_.stored_answers_.add();
    send_to_caller(action.flow_, action.fabric_, action.answer_);
}

void agent_worker::perform(const refuse_packet& action)
{
    metrics_.count_refused(action.verdict_.reason_, action.notify_caller_);
    if (!action.notify_caller_ || config_.kind_ != flow_kind::coap)
    {
        return;
    }
    const byte_buffer& payload = action.packet_.payload_;
    const auto request = parse_coap(payload.data(), payload.size());
    if (!request)
    {
        return;
    }
    const coap_message told =
        make_error_response(*request, action.verdict_, seconds(1));
    if (const auto bytes = encode_coap(told))
    {
        send_to_caller(action.packet_.flow_, action.packet_.fabric_, *bytes);
    }
}

void agent_worker::perform(const close_flow& action)
{
    upstreams_.close(action.flow_);
    requests_.close(action.flow_);
}

void agent_worker::perform(const fetch_roster& action)
{
    to_control_.post(action);
}

void agent_worker::perform(const request_removal& action)
{
    to_control_.post(action);
}

void agent_worker::perform(const rejoin_service& action)
{
    upstreams_.close_all();
    requests_ = request_tracker();
    to_control_.post(action);
}

void agent_worker::report()
{
    if (!state_)
    {
        return;
    }
    const instant now = read_monotonic_clock();
    last_report_ = now;
    const auto peers = live_peers(state_->view_, state_->self_);
    agent_report r;
    r.incarnation_ = state_->self_.incarnation_;
    r.epoch_ = state_->view_.roster_.epoch_;
    r.holds_lease_ = holds_lease(state_->lease_, state_->view_,
                                 config_.decisions_.lease_, now);
    const member* self = find_incarnation(state_->view_, state_->self_);
    r.serving_ = self != nullptr && self->state_ == member_state::serving;
    r.fenced_ = state_->fenced_;
    const bool drains =
        self != nullptr && self->state_ == member_state::draining;
    r.may_leave_ = drains && may_leave(*state_);
    r.is_first_ = std::all_of(peers.begin(), peers.end(),
                              [&](const member* m) {
                                  return state_->self_.instance_ < m->instance_;
                              });
    r.flows_ = state_->owned_flows_.size();
    for (const bucket_state& bucket : state_->buckets_)
    {
        r.homes_ += bucket.is_home_ ? 1 : 0;
        r.open_homes_ += bucket.is_home_ && bucket.directory_complete_ ? 1 : 0;
    }
    r.journal_entries_ = state_->journal_.entries_.size();
    r.in_flight_ = static_cast<std::uint32_t>(requests_.size());
    metrics_.flows_.set(static_cast<std::int64_t>(r.flows_));
    metrics_.homes_.set(static_cast<std::int64_t>(r.homes_));
    metrics_.journal_entries_.set(
        static_cast<std::int64_t>(r.journal_entries_));
    metrics_.in_flight_.set(r.in_flight_);
    metrics_.held_packets_.set(
        static_cast<std::int64_t>(state_->held_packets_.size()));
    metrics_.lease_.set(r.holds_lease_ ? 1 : 0);
    to_control_.post(r);
}

} // namespace galenafork
