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
constexpr duration status_interval = milliseconds(250);
constexpr std::size_t inbox_capacity = 256;
// Batches received from the socket before other events are handled.
constexpr int max_batches_per_turn = 8;

// Weight of the newest sample in the smoothed service time.
constexpr double service_time_weight = 0.1;

double seconds_of(duration d)
{
    return std::chrono::duration<double>(d).count();
}

duration duration_of(double value_s)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value_s));
}

} // namespace

agent_worker::agent_worker(const agent_config& config, unique_fd packets,
                           worker_dependencies dependencies)
    : config_(config), packet_socket_(std::move(packets)),
      metrics_(dependencies.metrics_), spans_(dependencies.spans_),
      control_messages_(dependencies.control_messages_), inbox_(inbox_capacity),
      traces_(dependencies.seed_, 0), seed_(dependencies.seed_),
      started_at_(read_monotonic_clock()), received_(max_datagram_bytes),
      tick_timer_(tick_interval), on_packets_([this] { receive_packets(); }),
      on_inbox_([this] { handle_messages(); }),
      on_stop_([this] { stopped_ = true; }),
      on_tick_([this] { handle_tick(); }),
      reactor_(new ACE_Dev_Poll_Reactor, true),
      upstream_flows_(config.upstream_, reactor_,
                      [this](const flow_key& flow, const byte_buffer& answer)
                      { handle_upstream_datagram(flow, answer); })
{
    add_handler(packet_socket_.get(), on_packets_);
    add_handler(inbox_.fd(), on_inbox_);
    add_handler(stop_.fd(), on_stop_);
    add_handler(tick_timer_.fd(), on_tick_);
}

agent_worker::~agent_worker()
{
    for (const int fd :
         {packet_socket_.get(), inbox_.fd(), stop_.fd(), tick_timer_.fd()})
    {
        reactor_.remove_handler(fd, ACE_Event_Handler::READ_MASK |
                                        ACE_Event_Handler::DONT_CALL);
    }
}

void agent_worker::add_handler(int fd, input_handler& handler)
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

void agent_worker::post(traffic_message message)
{
    inbox_.post(std::move(message));
}

void agent_worker::handle_messages()
{
    for (traffic_message& message : inbox_.pop_all())
    {
        if (const auto* command = std::get_if<start_incarnation>(&message))
        {
            start(*command);
        }
        else if (state_)
        {
            perform_actions(on_roster(*state_, std::get<roster>(message),
                                      read_monotonic_clock()));
        }
    }
    send_status();
}

void agent_worker::start(const start_incarnation& command)
{
    upstream_flows_.close_all();
    requests_ = request_tracker();
    state_ =
        make_agent(config_.agent_settings_, command.self_,
                   command.initial_roster_, command.join_requested_at_, seed_);
    state_->choose_owner_ = choose_by_load;
    state_->load_settings_ = config_.load_;
}

void agent_worker::receive_packets()
{
    for (int i = 0; i < max_batches_per_turn; ++i)
    {
        const std::size_t count = received_.receive(packet_socket_);
        for (std::size_t at = 0; at < count; ++at)
        {
            handle_datagram(received_.view(at));
        }
        if (count < udp_batch_size)
        {
            return;
        }
    }
}

void agent_worker::handle_datagram(const datagram_view& received)
{
    auto message = received.size_ > max_datagram_bytes
                       ? tl::unexpected(error{})
                       : decode(received.bytes_, received.size_);
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
    if (received.age_ > max_datagram_age)
    {
        metrics_.count_refused(refusal::deadline_passed, false);
        return;
    }
    if (auto* packet = std::get_if<forwarded_packet>(&*message))
    {
        metrics_.packets_.add();
        handle_packet(std::move(*packet));
    }
    else if (const auto* peer = std::get_if<peer_message>(&*message))
    {
        metrics_.peer_messages_.add();
        perform_actions(
            on_peer_message(*state_, *peer, read_monotonic_clock()));
    }
}

void agent_worker::handle_packet(forwarded_packet packet)
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
    perform_actions(on_packet(*state_, std::move(packet), std::move(request),
                              read_monotonic_clock()));
}

void agent_worker::handle_tick()
{
    tick_timer_.clear();
    if (!state_)
    {
        return;
    }
    const instant now = read_monotonic_clock();
    update_load();
    perform_actions(on_tick(*state_, now));
    if (now >= last_status_sent_at_ + status_interval)
    {
        requests_.expire(now - config_.load_.deadline_.request_time_limit_);
        send_status();
    }
}

void agent_worker::update_load()
{
    state_->load_.in_flight_ = static_cast<std::uint32_t>(requests_.size());
    state_->load_.slots_ = config_.slots_;
    state_->load_.cold_ = read_monotonic_clock() <
                          started_at_ + config_.load_.slow_start_.length_;
}

void agent_worker::perform_actions(const agent_actions& actions)
{
    for (const agent_action& action : actions)
    {
        std::visit([this](const auto& a) { perform(a); }, action);
    }
}

void agent_worker::send(const datagram& message, const endpoint& to)
{
    const byte_buffer bytes = encode(message);
    send_udp(packet_socket_, to, bytes.data(), bytes.size());
}

void agent_worker::perform(const send_peer_message& action)
{
    metrics_.peer_messages_sent_.add();
    const byte_buffer bytes = encode(action.message_);
    metrics_.peer_bytes_sent_.add(bytes.size());
    send_udp(packet_socket_, action.to_, bytes.data(), bytes.size());
}

void agent_worker::perform(const forward_to_agent& action)
{
    metrics_.passed_on_.add();
    forwarded_packet packet = action.packet_;
    packet.trace_ = record_span(packet, "agent.pass_on");
    send(packet, action.to_);
}

void agent_worker::perform(const send_stale_notice& action)
{
    send(action.notice_, action.to_);
}

trace_context agent_worker::record_span(const forwarded_packet& packet,
                                        const char* name)
{
    const trace_context context = traces_.child_context(packet.trace_);
    if (!context.sampled_)
    {
        return context;
    }
    span s;
    s.context_ = context;
    s.parent_id_ = packet.trace_.span_id_;
    s.name_ = name;
    s.end_ns_ = read_wall_clock_ns();
    s.start_ns_ = s.end_ns_;
    s.attributes_ = {{"service", config_.service_.value()},
                     {"instance", config_.instance_.value()},
                     {"caller", to_string(packet.flow_.caller_)}};
    spans_.try_push(std::move(s));
    return context;
}

bool agent_worker::admit_or_shed(const send_to_upstream& action)
{
    if (!action.request_)
    {
        return true;
    }
    const upstream_load load{config_.slots_,
                             static_cast<std::uint32_t>(requests_.size()),
                             duration_of(service_time_s_), false};
    const admission_decision decision =
        admit(load, admission_request{}, retry_budget_, config_.load_,
              read_monotonic_clock(), 0.0);
    if (decision.admitted_)
    {
        retry_budget_ = credit_request(retry_budget_, config_.load_.retry_);
        return true;
    }
    perform_actions(on_request_shed(*state_, action.packet_, action.request_,
                                    decision.verdict_.reason_,
                                    read_monotonic_clock()));
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
        const auto since_epoch = std::chrono::duration_cast<milliseconds>(
            deadline.time_since_epoch());
        set_uint_option(*message, coap_option_number::deadline,
                        static_cast<std::uint64_t>(since_epoch.count()));
    }
    return encode_coap(*message).value_or(payload);
}

void agent_worker::perform(const send_to_upstream& action)
{
    if (!admit_or_shed(action))
    {
        return;
    }
    const flow_key& flow = action.packet_.flow_;
    if (action.request_)
    {
        outstanding_request request{std::nullopt, read_monotonic_clock()};
        if (!action.request_->idempotent_)
        {
            request.journal_key_ = action.request_->key_;
        }
        requests_.add(flow, action.request_->key_.token_, request);
    }
    const trace_context trace = record_span(action.packet_, "agent.deliver");
    metrics_.delivered_.add();
    upstream_flows_.send(flow, upstream_payload(action, trace));
}

void agent_worker::handle_upstream_datagram(const flow_key& flow,
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
    const double elapsed_s = seconds_of(now - finished->sent_at_);
    metrics_.answer_seconds_.record(elapsed_s);
    service_time_s_ += service_time_weight * (elapsed_s - service_time_s_);
    perform_actions(
        on_upstream_answer(*state_, flow, finished->journal_key_, answer, now));
}

void agent_worker::send_to_caller(const flow_key& flow, const endpoint& fabric,
                                  const byte_buffer& answer)
{
    const proxy_header header{flow.service_address_, flow.caller_, {}};
    const byte_buffer bytes = make_proxy_datagram(header, answer);
    send_udp(packet_socket_, fabric, bytes.data(), bytes.size());
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
    const coap_message response =
        make_error_response(*request, action.verdict_, seconds(1));
    if (const auto bytes = encode_coap(response))
    {
        send_to_caller(action.packet_.flow_, action.packet_.fabric_, *bytes);
    }
}

void agent_worker::perform(const close_flow& action)
{
    upstream_flows_.close(action.flow_);
    requests_.remove_flow(action.flow_);
}

void agent_worker::perform(const fetch_roster& action)
{
    control_messages_.post(action);
}

void agent_worker::perform(const request_removal& action)
{
    control_messages_.post(action);
}

void agent_worker::perform(const rejoin_service& action)
{
    upstream_flows_.close_all();
    requests_ = request_tracker();
    control_messages_.post(action);
}

void agent_worker::send_status()
{
    if (!state_)
    {
        return;
    }
    const instant now = read_monotonic_clock();
    last_status_sent_at_ = now;
    const auto peers = live_peers(state_->view_, state_->self_);
    agent_status status;
    status.incarnation_ = state_->self_.incarnation_;
    status.epoch_ = state_->view_.roster_.epoch_;
    status.holds_lease_ = holds_lease(state_->lease_, state_->view_,
                                      config_.agent_settings_.lease_, now);
    const member* self = find_incarnation(state_->view_, state_->self_);
    status.serving_ = self != nullptr && self->state_ == member_state::serving;
    status.fenced_ = state_->fenced_;
    const bool is_draining =
        self != nullptr && self->state_ == member_state::draining;
    status.may_leave_ = is_draining && may_leave(*state_);
    status.follows_platform_ =
        std::all_of(peers.begin(), peers.end(),
                    [&](const member* m)
                    { return state_->self_.instance_ < m->instance_; });
    status.flows_ = state_->owned_flows_.size();
    for (const bucket_state& bucket : state_->buckets_)
    {
        status.homes_ += bucket.is_home_ ? 1 : 0;
        status.open_homes_ +=
            bucket.is_home_ && bucket.directory_complete_ ? 1 : 0;
    }
    status.journal_entries_ = state_->journal_.entries_.size();
    status.in_flight_ = static_cast<std::uint32_t>(requests_.size());
    metrics_.flows_.set(static_cast<std::int64_t>(status.flows_));
    metrics_.homes_.set(static_cast<std::int64_t>(status.homes_));
    metrics_.journal_entries_.set(
        static_cast<std::int64_t>(status.journal_entries_));
    metrics_.in_flight_.set(status.in_flight_);
    metrics_.held_packets_.set(
        static_cast<std::int64_t>(state_->held_packets_.size()));
    metrics_.lease_.set(status.holds_lease_ ? 1 : 0);
    control_messages_.post(status);
}

} // namespace galenafork
