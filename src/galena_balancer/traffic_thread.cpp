#include "traffic_thread.h"

#include <galenafork/input_handler.h>
#include <galenafork/time.h>
#include <galenafork/wire.h>

#include <ace/Dev_Poll_Reactor.h>
#include <ace/OS_NS_Thread.h>
#include <ace/Reactor.h>
#include <chrono>

namespace galenafork
{

namespace
{

// Maximum number of batches received from the fabric before other events are
// handled.
constexpr int max_batches_per_turn = 8;

// The forwarding decision is timed for one packet in `timing_sample_interval`.
constexpr std::uint64_t timing_sample_interval = 256;

constexpr std::size_t snapshot_inbox_capacity = 64;

// Maximum size of a notice, which holds a service name and at most
// `max_list_items` expired members.
constexpr std::size_t max_notice_bytes = 32UL * 1024;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    const std::chrono::duration<double> elapsed =
        std::chrono::steady_clock::now() - start;
    return elapsed.count();
}

} // namespace

/// Sockets, state and event handlers of the thread. Other threads call only
/// `stop` and `publish`.
class traffic_thread::worker
{
public:
    worker(const packet_settings& settings, std::uint64_t thread_number,
           traffic_dependencies dependencies, unique_fd fabric,
           unique_fd agents)
        : answer_endpoint_(settings.answer_endpoint_),
          fabric_socket_(std::move(fabric)), agent_socket_(std::move(agents)),
          metrics_(dependencies.metrics_, thread_number),
          spans_(dependencies.spans_), notices_(dependencies.notices_),
          forwarder_(local_endpoint(agent_socket_), dependencies.traces_),
          reactor_(new ACE_Dev_Poll_Reactor, true)
    {
        add_handler(fabric_socket_.get(), on_fabric_);
        add_handler(agent_socket_.get(), on_agents_);
        add_handler(inbox_.fd(), on_inbox_);
        add_handler(stop_.fd(), on_stop_);
    }

    ~worker()
    {
        for (const int fd : {fabric_socket_.get(), agent_socket_.get(),
                             inbox_.fd(), stop_.fd()})
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
        }
    }

    void stop()
    {
        stop_.signal();
    }

    void publish(std::shared_ptr<const routing_snapshot> snapshot)
    {
        inbox_.post(std::move(snapshot));
    }

private:
    void add_handler(int fd, input_handler& handler)
    {
        reactor_.register_handler(fd, &handler, ACE_Event_Handler::READ_MASK);
    }

    void receive_from_fabric()
    {
        for (int i = 0; i < max_batches_per_turn; ++i)
        {
            const std::size_t count = received_.receive(fabric_socket_);
            metrics_.received_.add(count);
            for (std::size_t at = 0; at < count; ++at)
            {
                forward(received_.view(at));
            }
            metrics_.send_failures_.add(sending_.flush(agent_socket_));
            if (count < udp_batch_size)
            {
                return;
            }
        }
    }

    void forward(const datagram_view& received)
    {
        if (!snapshot_)
        {
            metrics_.count_refused(refusal::unknown_service);
            return;
        }
        if (received.size_ > max_datagram_bytes)
        {
            metrics_.count_refused(refusal::malformed);
            return;
        }
        if (received.age_ > max_datagram_age)
        {
            metrics_.count_refused(refusal::deadline_passed);
            return;
        }
        const bool timed = ++packet_count_ % timing_sample_interval == 0;
        const auto start = timed ? std::chrono::steady_clock::now()
                                 : std::chrono::steady_clock::time_point();
        const endpoint& answer_endpoint =
            answer_endpoint_.port_ != 0 ? answer_endpoint_ : received.from_;
        const forward_result result = forwarder_.forward(
            *snapshot_, {received.bytes_, received.size_, answer_endpoint},
            sending_.next(), max_datagram_bytes);
        if (timed)
        {
            metrics_.decision_seconds_.record(seconds_since(start));
        }
        handle_result(result);
    }

    void handle_result(const forward_result& result)
    {
        if (result.trace_.sampled_)
        {
            record_span(result);
        }
        if (result.refusal_ != refusal::none)
        {
            metrics_.count_refused(result.refusal_);
            return;
        }
        sending_.add(result.to_, result.size_);
        metrics_.forwarded_.add();
    }

    void record_span(const forward_result& result)
    {
        span s;
        s.context_ = result.trace_;
        s.parent_id_ = result.parent_trace_.span_id_;
        s.name_ = "balancer.forward";
        s.end_ns_ = read_wall_clock_ns();
        s.start_ns_ = s.end_ns_;
        s.attributes_ = {{"service", result.route_->service_.value()},
                         {"agent", to_string(result.to_)},
                         {"outcome", to_string(result.refusal_)}};
        spans_.try_push(std::move(s));
    }

    void receive_notices()
    {
        const std::size_t count = received_notices_.receive(agent_socket_);
        for (std::size_t at = 0; at < count; ++at)
        {
            const datagram_view received = received_notices_.view(at);
            auto message = received.size_ > max_notice_bytes
                               ? tl::unexpected(error{})
                               : decode(received.bytes_, received.size_);
            auto* notice =
                message ? std::get_if<stale_notice>(&*message) : nullptr;
            if (notice == nullptr)
            {
                metrics_.bad_notices_.add();
                continue;
            }
            metrics_.notices_.add();
            notices_.post(std::move(*notice));
        }
    }

    void update_snapshot()
    {
        auto snapshots = inbox_.pop_all();
        if (!snapshots.empty())
        {
            snapshot_ = std::move(snapshots.back());
        }
    }

    endpoint answer_endpoint_;
    unique_fd fabric_socket_;
    unique_fd agent_socket_;
    traffic_metrics metrics_;
    span_queue& spans_;
    mailbox<stale_notice>& notices_;
    forwarder forwarder_;
    receive_batch received_{max_datagram_bytes};
    receive_batch received_notices_{max_notice_bytes};
    send_batch sending_{max_datagram_bytes};
    std::shared_ptr<const routing_snapshot> snapshot_;
    std::uint64_t packet_count_ = 0;
    mailbox<std::shared_ptr<const routing_snapshot>> inbox_{
        snapshot_inbox_capacity};
    wake_event stop_;
    bool stopped_ = false;
    input_handler on_fabric_{[this] { receive_from_fabric(); }};
    input_handler on_agents_{[this] { receive_notices(); }};
    input_handler on_inbox_{[this] { update_snapshot(); }};
    input_handler on_stop_{[this] { stopped_ = true; }};
    // Declared last, so that it is destroyed before the handlers.
    ACE_Reactor reactor_;
};

tl::expected<std::unique_ptr<traffic_thread>, error>
traffic_thread::open(const packet_settings& settings,
                     std::uint64_t thread_number,
                     traffic_dependencies dependencies)
{
    const bool share_address = settings.threads_ > 1;
    auto fabric = open_udp(settings.fabric_endpoint_, share_address);
    if (!fabric)
    {
        return tl::unexpected(fabric.error());
    }
    auto agents = open_udp(settings.agent_endpoint_, share_address);
    if (!agents)
    {
        return tl::unexpected(agents.error());
    }
    auto w = std::make_unique<worker>(settings, thread_number, dependencies,
                                      std::move(*fabric), std::move(*agents));
    return std::unique_ptr<traffic_thread>(new traffic_thread(std::move(w)));
}

traffic_thread::traffic_thread(std::unique_ptr<worker> w)
    : worker_(std::move(w))
{
}

traffic_thread::~traffic_thread()
{
    worker_->stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

void traffic_thread::start()
{
    thread_ = std::thread([this] { worker_->run(); });
}

void traffic_thread::publish(std::shared_ptr<const routing_snapshot> snapshot)
{
    worker_->publish(std::move(snapshot));
}

} // namespace galenafork
