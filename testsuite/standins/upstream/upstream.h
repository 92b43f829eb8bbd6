/// \file
/// The upstream stand-in: a CoAP server for parcel status, intake and photo
/// sets, or an echo of opaque datagrams.

#ifndef GALENAFORK_STANDINS_UPSTREAM_H
#define GALENAFORK_STANDINS_UPSTREAM_H

#include "ledger.h"

#include <common/answer_text.h>
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

/// What an upstream is told at its start.
struct upstream_settings
{
    endpoint listen_;
    service_name service_;
    instance_id instance_;
    slot_count slots_{3};
    /// Most requests that wait for a slot; more are shed.
    std::size_t queue_limit_ = 64;
    duration status_time_ = std::chrono::milliseconds(2);
    duration intake_time_ = std::chrono::milliseconds(5);
    duration photo_time_ = std::chrono::milliseconds(1);
    /// While cold, requests take `cold_factor_` times as long.
    duration cold_time_{0};
    unsigned cold_factor_ = 4;
    /// The load report is that old at worst.
    duration load_lag_{0};
    /// Reported load in thousandths of the true one.
    unsigned load_bias_permille_ = 1000;
    std::size_t photo_bytes_ = std::size_t{64} * 1024;
    /// Answer any datagram by its echo instead of reading CoAP.
    bool echo_ = false;
    std::string ledger_path_;
};

/// Counters, printed at the end.
struct upstream_counters
{
    std::uint64_t served_ = 0;
    std::uint64_t shed_ = 0;
    std::uint64_t late_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t malformed_ = 0;
};

/// The upstream; works while `loop` runs.
class upstream
{
public:
    /// Binds its socket; throws `std::system_error`.
    upstream(event_loop& loop, upstream_settings settings);

    /// Refuses new work; the loop stops when no request is left.
    void drain();

    /// What has happened so far.
    const upstream_counters& counters() const
    {
        return counters_;
    }

    /// Runs of non-idempotent requests.
    const ledger& runs() const
    {
        return ledger_;
    }

private:
    // A request that waits for a slot or holds one.
    struct job
    {
        endpoint from_;
        coap_message request_;
        duration service_time_{};
    };

    void take_datagrams();
    void echo(const received_datagram& received);
    void take_message(const received_datagram& received);
    void take_request(const endpoint& from, const coap_message& request);
    void submit(job work);
    void start_waiting();
    void start(const job& work);
    void finish(const job& work);
    void cancel(const endpoint& from, std::uint16_t message_id);
    void refuse(const job& work, refusal reason);
    void send(const endpoint& to, const coap_message& message) const;
    bool is_late(const job& work) const;
    bool is_cold() const;
    void stop_when_idle();
    coap_message make_response(const job& work);
    void add_photo_block(const coap_message& request, const std::string& id,
                         coap_message& answer) const;
    answer_text text_for(const std::string& id) const;
    std::string load_json() const;
    unsigned true_load_permille() const;
    void record_span(const job& work);

    event_loop& loop_;
    upstream_settings settings_;
    udp_socket socket_;
    ledger ledger_;
    instant started_;
    std::mt19937_64 random_{std::random_device{}()};
    std::deque<job> waiting_;
    std::uint32_t running_ = 0;
    bool draining_ = false;
    std::string load_report_;
    upstream_counters counters_;
};

} // namespace galenafork::standin

#endif
