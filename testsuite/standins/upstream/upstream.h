/// \file
/// The upstream stand-in: a CoAP server for parcel status, intake and photo
/// sets, or an echo server for opaque datagrams.

#ifndef GALENAFORK_STANDINS_UPSTREAM_H
#define GALENAFORK_STANDINS_UPSTREAM_H

#include "ledger.h"

#include <common/answer_identity.h>
#include <common/event_loop.h>
#include <common/udp_socket.h>

#include <cstdint>
#include <deque>
#include <galenafork/coap.h>
#include <optional>
#include <random>
#include <string>

namespace galenafork::standin
{

/// Settings of an upstream.
struct upstream_settings
{
    endpoint listen_;
    service_name service_;
    instance_id instance_;
    slot_count slots_{3};
    /// Maximum number of requests that wait for a slot; further ones are
    /// refused.
    std::size_t queue_limit_ = 64;
    duration status_time_ = std::chrono::milliseconds(2);
    duration intake_time_ = std::chrono::milliseconds(5);
    duration photo_time_ = std::chrono::milliseconds(1);
    /// Length of the cold start, during which service times are multiplied by
    /// `cold_factor_`.
    duration cold_start_length_{0};
    unsigned cold_factor_ = 4;
    /// Interval at which the load report is updated. If it is 0, each report is
    /// made on request.
    duration load_report_interval_{0};
    /// The reported load in thousandths of the actual load.
    unsigned load_bias_permille_ = 1000;
    std::size_t photo_bytes_ = std::size_t{64} * 1024;
    /// Echo every datagram instead of serving CoAP.
    bool echo_ = false;
    std::string ledger_path_;
};

/// Counters, logged when the upstream stops.
struct upstream_counters
{
    std::uint64_t served_ = 0;
    /// Refused requests, including expired ones.
    std::uint64_t refused_ = 0;
    /// Requests whose deadline had passed before they were started.
    std::uint64_t expired_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t malformed_ = 0;
};

/// An upstream. It serves requests while `loop` runs.
class upstream
{
public:
    /// Throws `std::system_error` if the socket can't be bound.
    upstream(event_loop& loop, upstream_settings settings);

    /// Refuses further requests and stops the loop when no request is queued or
    /// running any more.
    void drain();

    /// Returns the counters since the start.
    const upstream_counters& counters() const
    {
        return counters_;
    }

    /// Returns the record of runs of non-idempotent requests.
    const ledger& run_ledger() const
    {
        return ledger_;
    }

private:
    // A request that waits for a slot or occupies one.
    struct job
    {
        endpoint from_;
        coap_message request_;
        duration service_time_{};
    };

    void receive_datagrams();
    void echo(const received_datagram& received);
    void handle_message(const received_datagram& received);
    void handle_request(const endpoint& from, const coap_message& request);
    void submit(job work);
    void start_queued();
    void start(const job& work);
    void finish(const job& work);
    void cancel(const endpoint& from, std::uint16_t message_id);
    void refuse(const job& work, refusal reason);
    void send(const endpoint& to, const coap_message& message) const;
    bool is_expired(const job& work) const;
    bool is_cold() const;
    void stop_when_idle();
    coap_message make_response(const job& work);
    void add_photo_block(const coap_message& request, const std::string& id,
                         coap_message& answer) const;
    answer_identity identity_for(const std::string& id) const;
    std::string load_json() const;
    unsigned actual_load_permille() const;
    void log_request_span(const job& work);

    event_loop& loop_;
    upstream_settings settings_;
    udp_socket socket_;
    ledger ledger_;
    instant started_at_;
    std::mt19937_64 random_{std::random_device{}()};
    std::deque<job> queue_;
    std::uint32_t running_ = 0;
    bool draining_ = false;
    std::string load_report_;
    upstream_counters counters_;
};

} // namespace galenafork::standin

#endif
