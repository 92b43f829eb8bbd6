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

// Batches taken from one socket before the others get their turn.
constexpr int batches_per_turn = 8;

// One packet in so many has its time taken.
constexpr std::uint64_t timed_one_in = 256;

constexpr std::size_t snapshot_mail = 64;

// A notice names a service and at most `max_list_items` lapsed lives.
constexpr std::size_t max_notice_bytes = 32UL * 1024;

double seconds_since(std::chrono::steady_clock::time_point start)
{
    const std::chrono::duration<double> passed =
        std::chrono::steady_clock::now() - start;
    return passed.count();
}

} // namespace

/// All that the thread itself touches.
class traffic_thread::worker
{
public:
    worker(const packet_settings& settings, std::uint64_t number,
           traffic_dependencies dependencies, unique_fd fabric,
           unique_fd agents)
        : answers_(settings.answer_endpoint_), fabric_(std::move(fabric)),
          agents_(std::move(agents)), metrics_(dependencies.metrics_, number),
          spans_(dependencies.spans_), notices_(dependencies.notices_),
          forwarder_(local_endpoint(agents_), dependencies.traces_),
          reactor_(new ACE_Dev_Poll_Reactor, true)
    {
        watch(fabric_.get(), on_fabric_);
        watch(agents_.get(), on_agents_);
        watch(inbox_.fd(), on_inbox_);
        watch(stop_.fd(), on_stop_);
    }

    ~worker()
    {
        for (const int fd :
             {fabric_.get(), agents_.get(), inbox_.fd(), stop_.fd()})
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
    void watch(int fd, input_handler& handler)
    {
        reactor_.register_handler(fd, &handler, ACE_Event_Handler::READ_MASK);
    }

    void take_fabric()
    {
        for (int i = 0; i < batches_per_turn; ++i)
        {
            const std::size_t count = received_.receive(fabric_);
            metrics_.received_.add(count);
            for (std::size_t at = 0; at < count; ++at)
            {
                forward(received_.view(at));
            }
            metrics_.send_failures_.add(sending_.flush(agents_));
            if (count < udp_batch_size)
            {
                return;
            }
        }
    }

    void forward(const datagram_view& in)
    {
        if (!snapshot_)
        {
            metrics_.count_refused(refusal::unknown_service);
            return;
        }
        if (in.size_ > max_datagram_bytes)
        {
            metrics_.count_refused(refusal::malformed);
            return;
        }
        if (in.age_ > max_datagram_age)
        {
            metrics_.count_refused(refusal::deadline_passed);
            return;
        }
        const bool timed = ++packets_ % timed_one_in == 0;
        const auto start = timed ? std::chrono::steady_clock::now()
                                 : std::chrono::steady_clock::time_point();
        const endpoint& answers = answers_.port_ != 0 ? answers_ : in.from_;
        const forward_result done =
            forwarder_.forward(*snapshot_, {in.bytes_, in.size_, answers},
                               sending_.next(), max_datagram_bytes);
        if (timed)
        {
            metrics_.decision_seconds_.record(seconds_since(start));
        }
        finish(done);
    }

    void finish(const forward_result& done)
    {
        if (done.trace_.sampled_)
        {
            offer_span(done);
        }
        if (done.refusal_ != refusal::none)
        {
            metrics_.count_refused(done.refusal_);
            return;
        }
        sending_.add(done.to_, done.size_);
        metrics_.forwarded_.add();
    }

    void offer_span(const forward_result& done)
    {
        span s;
        s.context_ = done.trace_;
        s.parent_id_ = done.parent_trace_.span_id_;
        s.name_ = "balancer.forward";
        s.end_ns_ = read_wall_clock_ns();
        s.start_ns_ = s.end_ns_;
        s.attributes_ = {{"service", done.route_->service_.value()},
                         {"agent", to_string(done.to_)},
                         {"outcome", to_string(done.refusal_)}};
        spans_.try_push(std::move(s));
    }

    void take_notices()
    {
        const std::size_t count = noticed_.receive(agents_);
        for (std::size_t at = 0; at < count; ++at)
        {
            const datagram_view in = noticed_.view(at);
            auto message = in.size_ > max_notice_bytes
                               ? tl::unexpected(error{})
                               : decode(in.bytes_, in.size_);
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

    void take_snapshot()
    {
        auto mail = inbox_.pop_all();
        if (!mail.empty())
        {
            snapshot_ = std::move(mail.back());
        }
    }

    endpoint answers_;
    unique_fd fabric_;
    unique_fd agents_;
    traffic_metrics metrics_;
    span_queue& spans_;
    mailbox<stale_notice>& notices_;
    forwarder forwarder_;
    receive_batch received_{max_datagram_bytes};
    receive_batch noticed_{max_notice_bytes};
    send_batch sending_{max_datagram_bytes};
    std::shared_ptr<const routing_snapshot> snapshot_;
    std::uint64_t packets_ = 0;
    mailbox<std::shared_ptr<const routing_snapshot>> inbox_{snapshot_mail};
    wake_event stop_;
    bool stopped_ = false;
    input_handler on_fabric_{[this] { take_fabric(); }};
    input_handler on_agents_{[this] { take_notices(); }};
    input_handler on_inbox_{[this] { take_snapshot(); }};
    input_handler on_stop_{[this] { stopped_ = true; }};
    // Last, so that it goes before the handlers.
    ACE_Reactor reactor_;
};

tl::expected<std::unique_ptr<traffic_thread>, error>
traffic_thread::open(const packet_settings& settings, std::uint64_t number,
                     traffic_dependencies dependencies)
{
    const bool shared = settings.threads_ > 1;
    auto fabric = open_udp(settings.fabric_endpoint_, shared);
    if (!fabric)
    {
        return tl::unexpected(fabric.error());
    }
    auto agents = open_udp(settings.agent_endpoint_, shared);
    if (!agents)
    {
        return tl::unexpected(agents.error());
    }
    auto w = std::make_unique<worker>(settings, number, dependencies,
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
