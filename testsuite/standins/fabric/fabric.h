/// \file
/// The fabric stand-in: sprays callers' datagrams over the balancers and takes
/// answers back to the callers.

#ifndef GALENAFORK_STANDINS_FABRIC_H
#define GALENAFORK_STANDINS_FABRIC_H

#include <common/event_loop.h>
#include <common/udp_socket.h>

#include <cstdint>
#include <filesystem>
#include <galenafork/proxy_protocol.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace galenafork::standin
{

/// How often a datagram is dropped, sent twice or held back, each way.
struct link_faults
{
    unsigned drop_permille_ = 0;
    unsigned duplicate_permille_ = 0;
    unsigned reorder_permille_ = 0;
};

/// What the fabric is told at its start.
struct fabric_settings
{
    /// Socket that callers send to, and the service address it stands for.
    std::vector<std::pair<endpoint, endpoint>> services_;
    /// Where agents send answers.
    endpoint answers_;
    std::vector<endpoint> balancers_;
    /// One balancer a line; read again whenever it changes. Empty: none.
    std::string balancers_file_;
    link_faults faults_;
    /// Share of datagrams that start a trace.
    unsigned trace_permille_ = 0;
    std::uint64_t seed_ = 1;
};

/// Counters, printed at the end.
struct fabric_counters
{
    std::uint64_t to_balancers_ = 0;
    std::uint64_t to_callers_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t duplicated_ = 0;
    std::uint64_t reordered_ = 0;
    std::uint64_t no_balancer_ = 0;
    std::uint64_t bad_answers_ = 0;
};

/// The fabric; works while `loop` runs.
class fabric
{
public:
    /// Binds all sockets; throws `std::system_error`.
    fabric(event_loop& loop, fabric_settings settings);

    /// What has passed so far.
    const fabric_counters& counters() const
    {
        return counters_;
    }

private:
    struct service_port
    {
        udp_socket socket_;
        endpoint address_;
    };

    void take_requests(const service_port& port);
    void take_answers();
    void pass_answer(const byte_buffer& bytes);
    void send(const udp_socket& socket, byte_buffer bytes, const endpoint& to);
    void reread_balancers();
    bool chance(unsigned permille);
    trace_context maybe_trace(const endpoint& caller);

    event_loop& loop_;
    fabric_settings settings_;
    std::mt19937_64 random_;
    udp_socket answers_;
    // Towards balancers; its own address shows in no message.
    udp_socket out_;
    std::vector<std::unique_ptr<service_port>> ports_;
    std::map<endpoint, const service_port*> ports_by_address_;
    std::filesystem::file_time_type file_time_;
    fabric_counters counters_;
};

} // namespace galenafork::standin

#endif
