#include "balancer_traffic.h"

#include <galenafork/input_handler.h>
#include <galenafork/interval_timer.h>
#include <platform/segment_codec.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Reactor.h>
#include <utility>

namespace galenafork
{

namespace
{

constexpr std::size_t max_queued_commands = 256;

// Batches received from one socket before the other sockets are served.
constexpr int batches_per_turn = 4;

// Interval at which expired flows are removed and pending opening segments
// checked.
constexpr duration tick_interval = std::chrono::milliseconds(100);

constexpr unsigned ticks_per_hello_round =
    static_cast<unsigned>(hello_round_interval / tick_interval);

/// Timer and metrics of hedging, which exist only if it is enabled.
struct hedge_counters
{
    explicit hedge_counters(metrics_registry& metrics)
        : tick_(hedge_tick_interval),
          sent_(metrics.add_counter(
              "galena_hedges_sent_total",
              "Opening segments sent to a second agent because "
              "the caller did not continue in time.")),
          won_(metrics.add_counter(
              "galena_hedges_won_total",
              "Hedges whose flow was opened by the second agent.")),
          denied_(metrics.add_counter("galena_hedges_denied_total",
                                      "Hedges that were due and not sent "
                                      "because the limit was reached."))
    {
    }

    static std::unique_ptr<hedge_counters>
    add_if_enabled(const hedge_settings& settings, metrics_registry& metrics)
    {
        return settings.percent_ > 0 ? std::make_unique<hedge_counters>(metrics)
                                     : nullptr;
    }

    /// Moves the counts of `state` to the metrics.
    void publish(hedge_state& state)
    {
        sent_.add(std::exchange(state.sent_, 0));
        won_.add(std::exchange(state.won_, 0));
        denied_.add(std::exchange(state.denied_by_limit_, 0));
    }

    interval_timer tick_;
    counter& sent_;
    counter& won_;
    counter& denied_;
};

} // namespace

/// State and event handlers of the traffic thread.
class balancer_traffic::worker
{
public:
    worker(balancer_traffic& owner, const pass_balancer_settings& settings,
           std::uint32_t seed, packet_io io, decision_log& log,
           mailbox<newer_rules>& newer_rules_mailbox,
           mailbox<evacuation_change>& evacuation_changes,
           metrics_registry& metrics)
        : owner_(owner), state_(new_pass_balancer(settings, seed)),
          io_(std::move(io)), log_(log),
          newer_rules_mailbox_(newer_rules_mailbox),
          evacuation_changes_(evacuation_changes),
          segments_(platform_adapter::max_segment_bytes, ip_family::v4),
          messages_(max_message_bytes, ip_family::v4), tick_(tick_interval),
          malformed_(metrics.add_counter(
              "galena_datagrams_malformed_total",
              "Datagrams that are neither a segment nor a message.")),
          flows_(metrics.add_gauge("galena_flows", "Flows in the flow table.")),
          openings_without_rule_(
              metrics.add_counter("galena_openings_without_rule_total",
                                  "Opening segments refused because no rule "
                                  "matches their address.")),
          hedges_(hedge_counters::add_if_enabled(settings.hedging_, metrics)),
          reactor_(new ACE_Dev_Poll_Reactor, true)
    {
        if (hedges_)
        {
            watch(hedges_->tick_.fd(), on_hedge_tick_);
        }
        watch(io_.segments().get(), on_segments_);
        watch(io_.peers().get(), on_peers_);
        watch(tick_.fd(), on_tick_);
        watch(owner_.commands_.fd(), on_commands_);
        watch(stop_.fd(), on_stop_);
    }

    ~worker()
    {
        for (const int fd : {io_.segments().get(), io_.peers().get(),
                             tick_.fd(), owner_.commands_.fd(), stop_.fd()})
        {
            unwatch(fd);
        }
        if (hedges_)
        {
            unwatch(hedges_->tick_.fd());
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

    void unwatch(int fd)
    {
        reactor_.remove_handler(fd, ACE_Event_Handler::READ_MASK |
                                        ACE_Event_Handler::DONT_CALL);
    }

    void attend()
    {
        now_ = read_monotonic_clock();
        note_attention(state_, now_, actions_);
    }

    void receive_segments()
    {
        attend();
        for (int i = 0; i < batches_per_turn; ++i)
        {
            const std::size_t count = segments_.receive(io_.segments());
            owner_.status_.segments_received_.fetch_add(
                count, std::memory_order_relaxed);
            for (std::size_t at = 0; at < count; ++at)
            {
                handle_segment(segments_.view(at));
            }
            if (count < udp_batch_size)
            {
                note_caught_up(state_);
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
        handle_caller_segment(state_, *s, bytes, now_, actions_);
        io_.enqueue(actions_);
    }

    void receive_messages()
    {
        attend();
        for (int i = 0; i < batches_per_turn; ++i)
        {
            const std::size_t count = messages_.receive(io_.peers());
            for (std::size_t at = 0; at < count; ++at)
            {
                handle_message(messages_.view(at));
            }
            if (count < udp_batch_size)
            {
                return;
            }
        }
    }

    void handle_message(const datagram_view& in)
    {
        auto message = decode_pass_message({in.bytes_, in.size_});
        if (!message)
        {
            malformed_.add();
            return;
        }
        if (const auto* status = std::get_if<status_message>(&*message))
        {
            handle_status(state_, *status, now_, actions_);
        }
        else if (const auto* flow_owner =
                     std::get_if<flow_owner_message>(&*message))
        {
            note_owner_report(state_, *flow_owner);
            handle_flow_owner(state_, *flow_owner, now_, actions_);
        }
        else if (const auto* result =
                     std::get_if<search_result_message>(&*message))
        {
            handle_search_result(state_, *result, now_, actions_);
        }
        else if (const auto* returned = std::get_if<locate_message>(&*message))
        {
            handle_returned(*returned);
        }
        else if (const auto* hello = std::get_if<hello_message>(&*message))
        {
            handle_peer_hello(*hello);
        }
        io_.enqueue(actions_);
    }

    void handle_returned(const locate_message& returned)
    {
        const auto s = platform_adapter::decode_segment(
            {returned.packet_.data(), returned.packet_.size()},
            platform_adapter::direction::from_caller);
        if (!s)
        {
            malformed_.add();
            return;
        }
        handle_returned_segment(state_, returned, *s, now_, actions_);
    }

    void handle_peer_hello(const hello_message& hello)
    {
        handle_evacuations(hello.evacuations_, hello.host_);
        if (handle_hello(state_, hello, now_))
        {
            newer_rules_mailbox_.post({hello.host_, hello.version_});
        }
        publish_reads();
    }

    void handle_evacuations(const evacuation_state& next, host_address source)
    {
        std::vector<data_centre> before = state_.evacuations_.data_centres_;
        const evacuation_update update =
            update_evacuations(state_, next, now_, actions_);
        if (update == evacuation_update::changed)
        {
            evacuation_changes_.post(
                {state_.evacuations_, std::move(before), source});
        }
        owner_.status_.evacuations_known_ = is_known(state_.evacuations_);
    }

    void handle_commands()
    {
        attend();
        for (balancer_commands& commands : owner_.commands_.pop_all())
        {
            if (commands.rules_ && update_rules(state_, commands.rules_))
            {
                owner_.status_.rules_version_ =
                    commands.rules_->version_.value();
                if (commands.announce_)
                {
                    announce_rules(state_, now_, actions_);
                }
            }
            if (commands.evacuations_)
            {
                handle_evacuations(*commands.evacuations_, {});
            }
            note_store_reads(state_, commands.reads_, now_, actions_);
            state_.leaving_ |= commands.leaving_;
            for (const host_address host : commands.agents_)
            {
                add_listed_agent(state_, host, now_, actions_);
            }
            for (const host_address host : commands.balancers_)
            {
                add_listed_peer(state_, host, now_, actions_);
            }
            if (commands.complete_)
            {
                note_members_read(state_, now_);
            }
        }
        publish_reads();
        io_.enqueue(actions_);
    }

    void publish_reads()
    {
        owner_.status_.rules_read_at_ =
            state_.rules_read_at_.value_or(instant());
        owner_.status_.evacuations_read_at_ =
            state_.evacuations_read_at_.value_or(instant());
    }

    void on_timer()
    {
        tick_.clear();
        attend();
        handle_tick(state_, now_, actions_);
        if (++ticks_ % ticks_per_hello_round == 0)
        {
            send_hellos(state_, now_, actions_);
        }
        publish_status();
        io_.enqueue(actions_);
    }

    void on_hedge_timer()
    {
        hedges_->tick_.clear();
        attend();
        handle_hedge_tick(state_, now_, actions_);
        io_.enqueue(actions_);
    }

    void publish_status()
    {
        owner_.status_.live_agents_ = count_live_agents(state_, now_);
        if (ticks_ % ticks_per_hello_round != 0)
        {
            return;
        }
        flows_.set(static_cast<std::int64_t>(state_.flows_.size()));
        openings_without_rule_.add(state_.refused_no_rule_);
        state_.refused_no_rule_ = 0;
        if (hedges_)
        {
            hedges_->publish(state_.hedging_);
        }
        const std::lock_guard<std::mutex> lock(owner_.agents_mutex_);
        owner_.agents_.clear();
        for (const auto& entry : state_.agents_)
        {
            owner_.agents_.push_back(entry.first);
        }
    }

    balancer_traffic& owner_;
    pass_balancer_state state_;
    packet_io io_;
    decision_log& log_;
    mailbox<newer_rules>& newer_rules_mailbox_;
    mailbox<evacuation_change>& evacuation_changes_;
    receive_batch segments_;
    receive_batch messages_;
    interval_timer tick_;
    counter& malformed_;
    gauge& flows_;
    counter& openings_without_rule_;
    std::unique_ptr<hedge_counters> hedges_;
    wake_event stop_;
    pass_actions actions_;
    instant now_{};
    unsigned ticks_ = 0;
    bool stopped_ = false;
    input_handler on_segments_{[this] { receive_segments(); }};
    input_handler on_peers_{[this] { receive_messages(); }};
    input_handler on_tick_{[this] { on_timer(); }};
    input_handler on_hedge_tick_{[this] { on_hedge_timer(); }};
    input_handler on_commands_{[this] { handle_commands(); }};
    input_handler on_stop_{[this] { stopped_ = true; }};
    ACE_Reactor reactor_;
};

balancer_traffic::balancer_traffic(
    const pass_balancer_settings& settings, std::uint32_t seed, packet_io io,
    decision_log& log, mailbox<newer_rules>& newer_rules_mailbox,
    mailbox<evacuation_change>& evacuation_changes, metrics_registry& metrics)
    : commands_(max_queued_commands),
      worker_(std::make_unique<worker>(*this, settings, seed, std::move(io),
                                       log, newer_rules_mailbox,
                                       evacuation_changes, metrics))
{
}

balancer_traffic::~balancer_traffic() = default;

void balancer_traffic::run()
{
    worker_->run();
}

void balancer_traffic::stop()
{
    worker_->stop();
}

std::vector<host_address> balancer_traffic::agents() const
{
    const std::lock_guard<std::mutex> lock(agents_mutex_);
    return agents_;
}

} // namespace galenafork
