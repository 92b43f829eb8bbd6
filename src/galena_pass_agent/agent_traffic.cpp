#include "agent_traffic.h"

#include <galenafork/input_handler.h>
#include <galenafork/interval_timer.h>
#include <platform/segment_codec.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Reactor.h>
#include <algorithm>
#include <unordered_map>

namespace galenafork
{

namespace
{

constexpr std::size_t commands_mail = 256;

// Batches taken from one socket before the others get their turn.
constexpr int batches_per_turn = 4;

// Finest step of what an agent does by time: unanswered openings are noticed
// within a step of their limit.
constexpr duration tick_interval = std::chrono::milliseconds(50);

// A balancer that said no hello for this time gets no more status: some of its
// hello rounds.
constexpr duration balancer_silence = std::chrono::seconds(4);

// Reports of status that one balancer takes in a second at most, from all
// agents together: under a hundredth of a core of the smallest instance.
constexpr std::uint32_t statuses_per_second = 250;

// Between two reports of status if the fleet is small.
constexpr duration least_status_interval = std::chrono::milliseconds(200);

// Largest interval: well below the time after which a balancer takes an agent
// for dead.
constexpr duration most_status_interval = std::chrono::milliseconds(600);

} // namespace

/// All that the thread itself touches.
class agent_traffic::worker
{
public:
    worker(agent_traffic& owner, const pass_agent_settings& settings,
           packet_io io, unique_fd from_upstream, decision_log& log,
           metrics_registry& metrics)
        : owner_(owner),
          state_(new_pass_agent(settings, read_monotonic_clock())),
          io_(std::move(io)), from_upstream_(std::move(from_upstream)),
          log_(log),
          segments_(platform_adapter::max_segment_bytes, ip_family::v4),
          messages_(max_message_bytes, ip_family::v4), tick_(tick_interval),
          malformed_(metrics.add_counter(
              "galena_datagrams_malformed_total",
              "Datagrams that are neither a segment nor a message.")),
          flows_(metrics.add_gauge("galena_flows", "Flows known.")),
          service_time_(
              metrics.add_gauge("galena_upstream_service_microseconds",
                                "Smoothed time of a request at the upstream.")),
          reactor_(new ACE_Dev_Poll_Reactor, true)
    {
        watch(io_.packets().get(), on_packets_);
        watch(io_.peers().get(), on_peers_);
        watch(from_upstream_.get(), on_upstream_);
        watch(tick_.fd(), on_tick_);
        watch(owner_.commands_.fd(), on_commands_);
        watch(stop_.fd(), on_stop_);
    }

    ~worker()
    {
        for (const int fd :
             {io_.packets().get(), io_.peers().get(), from_upstream_.get(),
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
                state_.status_changed_ = false;
                send_status();
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

    template <class Take>
    void take_batches(const unique_fd& fd, receive_batch& batch, Take take)
    {
        now_ = read_monotonic_clock();
        for (int i = 0; i < batches_per_turn; ++i)
        {
            const std::size_t count = batch.receive(fd);
            for (std::size_t at = 0; at < count; ++at)
            {
                take(batch.view(at));
                io_.enqueue(actions_);
            }
            if (count < udp_batch_size)
            {
                return;
            }
        }
    }

    void take_packet(const datagram_view& in)
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

    void take_upstream(const datagram_view& in)
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
            bounced_.assign(in.bytes_, in.bytes_ + in.size_);
            platform_adapter::clear_bounced(bounced_.data());
            s = platform_adapter::decode_segment(
                bytes, platform_adapter::direction::from_caller);
            handle_upstream_segment(
                state_, *s, {bounced_.data(), bounced_.size()}, now_, actions_);
            return;
        }
        handle_upstream_segment(state_, *s, bytes, now_, actions_);
    }

    void take_message(const datagram_view& in)
    {
        const auto message = decode_pass_message({in.bytes_, in.size_});
        if (!message)
        {
            malformed_.add();
            return;
        }
        if (const auto* place = std::get_if<place_message>(&*message))
        {
            const auto s = opening_of(place->packet_);
            if (s)
            {
                handle_place(state_, *place, *s, now_, actions_);
            }
        }
        else if (const auto* locate = std::get_if<locate_message>(&*message))
        {
            const auto s = opening_of(locate->packet_);
            if (s)
            {
                handle_locate(state_, *locate, *s, now_, actions_);
            }
        }
        else if (const auto* hello = std::get_if<hello_message>(&*message))
        {
            take_hello(*hello);
        }
        // Actions may refer to the message's bytes.
        io_.enqueue(actions_);
    }

    std::optional<segment_header>
    opening_of(const std::vector<std::uint8_t>& packet)
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

    void take_hello(const hello_message& hello)
    {
        fleet_agents_ = std::max<std::uint32_t>(hello.agents_, 1);
        const bool is_new = balancers_.find(hello.host_) == balancers_.end();
        balancers_[hello.host_] = now_;
        if (is_new)
        {
            actions_.send_to_peer(hello.host_, status_of(state_, now_));
        }
    }

    void take_commands()
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
            for (const host_address host : commands.balancers_)
            {
                if (balancers_.emplace(host, now_).second)
                {
                    actions_.send_to_peer(host, status_of(state_, now_));
                }
            }
            io_.enqueue(actions_);
        }
        publish();
    }

    void send_status()
    {
        std::vector<host_address> hosts;
        for (const auto& entry : balancers_)
        {
            hosts.push_back(entry.first);
        }
        actions_.send_to_peers(hosts, status_of(state_, now_));
        status_sent_ = now_;
        io_.enqueue(actions_);
    }

    duration status_interval() const
    {
        const duration fair =
            std::chrono::seconds(1) * fleet_agents_ / statuses_per_second;
        return std::clamp(fair, least_status_interval, most_status_interval);
    }

    void on_timer()
    {
        tick_.clear();
        now_ = read_monotonic_clock();
        handle_tick(state_, now_, actions_);
        for (auto it = balancers_.begin(); it != balancers_.end();)
        {
            it = now_ - it->second > balancer_silence ? balancers_.erase(it)
                                                      : std::next(it);
        }
        if (now_ - status_sent_ >= status_interval())
        {
            send_status();
        }
        io_.enqueue(actions_);
        publish();
    }

    void publish()
    {
        owner_.status_.idle_ = is_idle(state_);
        owner_.status_.accepting_ = accepts_new_flows(state_, now_);
        owner_.status_.in_flight_ = state_.in_flight_;
        owner_.status_.queued_ =
            static_cast<std::uint32_t>(state_.queue_.size());
        flows_.set(static_cast<std::int64_t>(state_.flows_.size()));
        service_time_.set(state_.service_time_.count());
    }

    agent_traffic& owner_;
    pass_agent_state state_;
    packet_io io_;
    unique_fd from_upstream_;
    decision_log& log_;
    receive_batch segments_;
    receive_batch messages_;
    interval_timer tick_;
    counter& malformed_;
    gauge& flows_;
    gauge& service_time_;
    wake_event stop_;
    pass_actions actions_;
    std::vector<std::uint8_t> bounced_;
    instant now_{};
    instant status_sent_{};
    std::uint32_t fleet_agents_ = 1;
    bool stopped_ = false;
    std::unordered_map<host_address, instant> balancers_;
    input_handler on_packets_{[this]
                              {
                                  take_batches(io_.packets(), segments_,
                                               [this](const datagram_view& in)
                                               { take_packet(in); });
                              }};
    input_handler on_peers_{[this]
                            {
                                take_batches(io_.peers(), messages_,
                                             [this](const datagram_view& in)
                                             { take_message(in); });
                            }};
    input_handler on_upstream_{[this]
                               {
                                   take_batches(from_upstream_, segments_,
                                                [this](const datagram_view& in)
                                                { take_upstream(in); });
                               }};
    input_handler on_tick_{[this] { on_timer(); }};
    input_handler on_commands_{[this] { take_commands(); }};
    input_handler on_stop_{[this] { stopped_ = true; }};
    ACE_Reactor reactor_;
};

agent_traffic::agent_traffic(const pass_agent_settings& settings, packet_io io,
                             unique_fd from_upstream, decision_log& log,
                             metrics_registry& metrics)
    : commands_(commands_mail),
      worker_(std::make_unique<worker>(*this, settings, std::move(io),
                                       std::move(from_upstream), log, metrics))
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
