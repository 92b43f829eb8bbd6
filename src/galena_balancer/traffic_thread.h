/// \file
/// A traffic thread: an ACE reactor that forwards packets from the fabric to
/// the agents.

#ifndef GALENAFORK_GALENA_BALANCER_TRAFFIC_THREAD_H
#define GALENAFORK_GALENA_BALANCER_TRAFFIC_THREAD_H

#include "balancer_settings.h"
#include "traffic_metrics.h"

#include <galenafork/forwarder.h>
#include <galenafork/mailbox.h>
#include <galenafork/routing.h>
#include <galenafork/udp_socket.h>

#include <atomic>
#include <functional>
#include <memory>
#include <thread>
#include <vector>

namespace galenafork
{

/// Dependencies of a traffic thread; the references must outlive it.
struct traffic_dependencies
{
    metrics_registry& metrics_;
    span_queue& spans_;
    /// Stale notices for the control thread.
    mailbox<stale_notice>& notices_;
    trace_sampler traces_;
};

/// One traffic thread with its sockets. Without a snapshot it refuses every
/// packet with `unknown_service`.
class traffic_thread
{
public:
    /// Opens the sockets. Fails with `unavailable` if an address can't be
    /// bound.
    static tl::expected<std::unique_ptr<traffic_thread>, error>
    open(const packet_settings& settings, std::uint64_t thread_number,
         traffic_dependencies dependencies);

    /// Stops the thread and closes the sockets.
    ~traffic_thread();
    traffic_thread(const traffic_thread&) = delete;
    traffic_thread& operator=(const traffic_thread&) = delete;

    /// Starts the thread.
    void start();

    /// Passes a newer snapshot to the thread. Called by the control thread.
    void publish(std::shared_ptr<const routing_snapshot> snapshot);

private:
    class worker;
    explicit traffic_thread(std::unique_ptr<worker> w);

    std::unique_ptr<worker> worker_;
    std::thread thread_;
};

} // namespace galenafork

#endif
