#include "agent_traffic.h"

#include <galenafork/input_handler.h>
#include <galenafork/interval_timer.h>
#include <platform/segment_codec.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Reactor.h>

namespace galenafork
{

namespace
{

constexpr std::size_t max_queued_commands = 256;

// Batches received from one socket before the other sockets are served.
constexpr int batches_per_turn = 4;

// Resolution of the agent's timeouts: an unanswered opening segment is detected
// at most this long after its timeout.
constexpr duration tick_interval = std::chrono::milliseconds(50);

} // namespace

/// State and event handlers of the traffic thread.
class agent_traffic::worker
{
public:
    worker(agent_traffic& owner, const pass_agent_settings& settings,
           packet_io io, unique_fd upstream_socket, decision_log& log,
           mailbox<evacuation_change>& evacuation_changes,
           mailbox<upstream_check_request>& check_requests,
           metrics_registry& metrics)
        : owner_(owner),
          state_(new_pass_agent(settings, read_monotonic_clock())),
          io_(std::move(io)), upstream_socket_(std::move(upstream_socket)),
          check_requests_(check_requests), log_(log),
          evacuation_changes_(evacuation_changes),
          segments_(platform_adapter::max_segment_bytes, ip_family::v4),
          messages_(max_message_bytes, ip_family::v4), tick_(tick_interval),
          malformed_(metrics.add_counter(
              "galena_datagrams_malformed_total",
              "Datagrams that are neither a segment nor a message.")),
          flows_(metrics.add_gauge("galena_flows", "Flows in the flow table.")),
          service_time_(
              metrics.add_gauge("galena_upstream_service_microseconds",
                                "Smoothed time of a request at the upstream.")),
          reactor_(new ACE_Dev_Poll_Reactor, true)
    {
        watch(io_.segments().get(), on_segments_);
        watch(io_.peers().get(), on_peers_);
        watch(upstream_socket_.get(), on_upstream_);
        watch(tick_.fd(), on_tick_);
        watch(owner_.commands_.fd(), on_commands_);
        watch(stop_.fd(), on_stop_);
    }

    ~worker()
    {
        for (const int fd :
             {io_.segments().get(), io_.peers().get(), upstream_socket_.get(),
              tick_.fd(), owner_.commands_.fd(), stop_.fd()})
        {
            reactor_.remove_handler(fd, ACE_Event_Handler::READ_MASK |
                                            ACE_Event_Handler::DONT_CALL);
        }
    }
    worker(const worker&) = delete;
    worker& operator=(const worker&) = delete;

    void run()
    {
        reactor_.owner(ACE_OS::thr_self());
        while (!stopped_)
        {
            reactor_.handle_events();
            if (state_.status_changed_)
            {
                send_statuses(state_, now_, actions_);
                io_.enqueue(actions_);
            }
            io_.flush();
            log_.add(actions_.decisions_, now_);
        }
    }

    void stop()
    {
        stop_.signal();
    }

private:
    void watch(int fd, input_handler& handler)
    {
        reactor_.register_handler(fd, &handler, ACE_Event_Handler::READ_MASK);
    }

    template <class Handler>
    void receive_batches(const unique_fd& fd, receive_batch& batch,
                         Handler handle)
    {
        now_ = read_monotonic_clock();
        for (int i = 0; i < batches_per_turn; ++i)
        {
            const std::size_t count = batch.receive(fd);
            for (std::size_t at = 0; at < count; ++at)
            {
                handle(batch.view(at));
                io_.enqueue(actions_);
            }
            if (count < udp_batch_size)
            {
                return;
            }
        }
    }

    void handle_segment(const datagram_view& in)
    {
        const byte_view bytes{in.bytes_, in.size_};
        const auto s = platform_adapter::decode_segment(
            bytes, platform_adapter::direction::from_caller);
        if (!s)
        {
            malformed_.add();
            return;
        }
        handle_caller_segment(state_, *s, bytes, host_of(in.from_), now_,
                              actions_);
    }

    void handle_upstream_datagram(const datagram_view& in)
    {
        const byte_view bytes{in.bytes_, in.size_};
        auto s = platform_adapter::decode_segment(
            bytes, platform_adapter::direction::from_upstream);
        if (!s)
        {
            malformed_.add();
            return;
        }
        if (s->bounced_)
        {
            returned_segment_.assign(in.bytes_, in.bytes_ + in.size_);
            platform_adapter::clear_bounced(returned_segment_.data());
            s = platform_adapter::decode_segment(
                bytes, platform_adapter::direction::from_caller);
            handle_upstream_segment(
                state_, *s,
                {returned_segment_.data(), returned_segment_.size()}, now_,
                actions_);
            return;
        }
        handle_upstream_segment(state_, *s, bytes, now_, actions_);
    }

    void handle_message(const datagram_view& in)
    {
        const auto message = decode_pass_message({in.bytes_, in.size_});
        if (!message)
        {
            malformed_.add();
            return;
        }
        if (const auto* place = std::get_if<place_message>(&*message))
        {
            const auto s = decode_enclosed_segment(place->packet_);
            if (s)
            {
                handle_place(state_, *place, *s, now_, actions_);
            }
        }
        else if (const auto* locate = std::get_if<locate_message>(&*message))
        {
            const auto s = decode_enclosed_segment(locate->packet_);
            if (s)
            {
                handle_locate(state_, *locate, *s, now_, actions_);
            }
        }
        else if (const auto* hello = std::get_if<hello_message>(&*message))
        {
            handle_evacuations(*hello);
            handle_hello(state_, *hello, now_, actions_);
        }
        else if (const auto* response =
                     std::get_if<flow_owner_message>(&*message))
        {
            handle_flow_owner(state_, *response, actions_);
        }
        // Enqueued before `message` goes out of scope: actions may refer to its
        // bytes.
        io_.enqueue(actions_);
    }

    void handle_evacuations(const hello_message& hello)
    {
        std::vector<data_centre> before = state_.evacuations_.data_centres_;
        if (update_evacuations(state_, hello.evacuations_, now_, actions_) ==
            evacuation_update::changed)
        {
            evacuation_changes_.post(
                {state_.evacuations_, std::move(before), hello.host_});
        }
    }

    std::optional<segment_header>
    decode_enclosed_segment(const std::vector<std::uint8_t>& packet)
    {
        auto s = platform_adapter::decode_segment(
            {packet.data(), packet.size()},
            platform_adapter::direction::from_caller);
        if (!s)
        {
            malformed_.add();
        }
        return s;
    }

    void handle_commands()
    {
        now_ = read_monotonic_clock();
        for (const agent_commands& commands : owner_.commands_.pop_all())
        {
            if (commands.report_)
            {
                apply_report(state_, *commands.report_, now_, actions_);
            }
            if (commands.deregistered_)
            {
                handle_deregistration(state_, *commands.deregistered_, now_,
                                      actions_);
            }
            if (commands.shut_down_)
            {
                begin_shutdown(state_, now_, actions_);
            }
            state_.settings_.upstream_accepts_connections_ |=
                commands.upstream_accepts_connections_;
            if (commands.check_)
            {
                apply_upstream_check(state_, commands.check_->presence_,
                                     commands.check_->checked_at_, now_,
                                     actions_);
                ++checks_handled_;
            }
            for (const host_address host : commands.balancers_)
            {
                add_listed_balancer(state_, host, now_, actions_);
            }
            io_.enqueue(actions_);
        }
        publish_status();
    }

    void on_timer()
    {
        tick_.clear();
        now_ = read_monotonic_clock();
        handle_tick(state_, now_, actions_);
        if (const auto request = request_upstream_check(state_, now_))
        {
            check_requests_.post(*request);
        }
        send_statuses(state_, now_, actions_);
        io_.enqueue(actions_);
        publish_status();
    }

    void publish_status()
    {
        owner_.status_.idle_ = is_idle(state_, now_);
        owner_.status_.accepting_ = accepts_new_flows(state_, now_);
        owner_.status_.in_flight_ = state_.in_flight_;
        owner_.status_.queued_ =
            static_cast<std::uint32_t>(state_.queue_.size());
        owner_.status_.upstream_gone_ =
            state_.upstream_.state_ == upstream_state::gone;
        // After the states that the results may have changed.
        owner_.status_.checks_handled_ = checks_handled_;
        flows_.set(static_cast<std::int64_t>(state_.flows_.size()));
        service_time_.set(state_.service_time_.count());
    }

    agent_traffic& owner_;
    pass_agent_state state_;
    packet_io io_;
    unique_fd upstream_socket_;
    mailbox<upstream_check_request>& check_requests_;
    decision_log& log_;
    mailbox<evacuation_change>& evacuation_changes_;
    receive_batch segments_;
    receive_batch messages_;
    interval_timer tick_;
    counter& malformed_;
    gauge& flows_;
    gauge& service_time_;
    wake_event stop_;
    pass_actions actions_;
    std::vector<std::uint8_t> returned_segment_;
    instant now_{};
    std::uint32_t checks_handled_ = 0;
    bool stopped_ = false;
    input_handler on_segments_{
        [this]
        {
            receive_batches(io_.segments(), segments_,
                            [this](const datagram_view& in)
                            { handle_segment(in); });
        }};
    input_handler on_peers_{[this]
                            {
                                receive_batches(io_.peers(), messages_,
                                                [this](const datagram_view& in)
                                                { handle_message(in); });
                            }};
    input_handler on_upstream_{
        [this]
        {
            receive_batches(upstream_socket_, segments_,
                            [this](const datagram_view& in)
                            { handle_upstream_datagram(in); });
        }};
    input_handler on_tick_{[this] { on_timer(); }};
    input_handler on_commands_{[this] { handle_commands(); }};
    input_handler on_stop_{[this] { stopped_ = true; }};
    ACE_Reactor reactor_;
};

agent_traffic::agent_traffic(const pass_agent_settings& settings, packet_io io,
                             unique_fd upstream_socket, decision_log& log,
                             mailbox<evacuation_change>& evacuation_changes,
                             mailbox<upstream_check_request>& check_requests,
                             metrics_registry& metrics)
    : commands_(max_queued_commands),
      worker_(std::make_unique<worker>(
          *this, settings, std::move(io), std::move(upstream_socket), log,
          evacuation_changes, check_requests, metrics))
{
}

agent_traffic::~agent_traffic() = default;

void agent_traffic::run()
{
    worker_->run();
}

void agent_traffic::stop()
{
    worker_->stop();
}

} // namespace galenafork
