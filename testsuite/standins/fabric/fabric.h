/// \file
/// The fabric stand-in: forwards each datagram of a caller to a random
/// balancer, and answers of agents to the callers.

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

/// Fractions of the datagrams, in both directions, that are dropped, sent twice
/// or delayed.
struct link_faults
{
    unsigned drop_permille_ = 0;
    unsigned duplicate_permille_ = 0;
    unsigned reorder_permille_ = 0;
};

/// Settings of the fabric.
struct fabric_settings
{
    /// For each service the address that callers send to, and the service
    /// address that it represents.
    std::vector<std::pair<endpoint, endpoint>> services_;
    /// Address that agents send answers to.
    endpoint answer_endpoint_;
    std::vector<endpoint> balancers_;
    /// File with the address of one balancer per line, reloaded when it
    /// changes. If it is empty, `balancers_` stays as it is.
    std::string balancers_file_;
    link_faults faults_;
    /// Fraction of the callers' datagrams that start a trace.
    unsigned trace_permille_ = 0;
    std::uint64_t seed_ = 1;
};

/// Counters, logged when the fabric stops.
struct fabric_counters
{
    /// Forwarded datagrams, including those that are dropped on the way.
    std::uint64_t to_balancers_ = 0;
    std::uint64_t to_callers_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t duplicated_ = 0;
    std::uint64_t reordered_ = 0;
    std::uint64_t no_balancer_ = 0;
    std::uint64_t bad_answers_ = 0;
};

/// The fabric. It forwards datagrams while `loop` runs.
class fabric
{
public:
    /// Throws `std::system_error` if a socket can't be bound.
    fabric(event_loop& loop, fabric_settings settings);

    /// Returns the counters since the start.
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

    void forward_requests(const service_port& port);
    void forward_answers();
    void forward_answer(const byte_buffer& bytes);
    void send(const udp_socket& socket, byte_buffer bytes, const endpoint& to);
    void reload_balancers();
    bool is_selected_at_random(unsigned permille);
    trace_context sample_trace(const endpoint& caller);

    event_loop& loop_;
    fabric_settings settings_;
    std::mt19937_64 random_;
    udp_socket answer_socket_;
    // Sends to balancers. Its own address appears in no message.
    udp_socket balancer_socket_;
    std::vector<std::unique_ptr<service_port>> ports_;
    std::map<endpoint, const service_port*> ports_by_address_;
    std::filesystem::file_time_type balancers_file_time_;
    fabric_counters counters_;
};

} // namespace galenafork::standin

#endif
