/// \file
/// Sockets of a passthrough daemon: segments on one, messages between peers on
/// the other.

#ifndef LIBPASSD_PACKET_IO_H
#define LIBPASSD_PACKET_IO_H

#include <galenafork/metrics.h>
#include <galenafork/pass_actions.h>
#include <galenafork/udp_socket.h>

#include <tl/expected.hpp>

namespace galenafork
{

/// Addresses of a passthrough daemon.
struct packet_addresses
{
    /// Segments; its port is that of all agents and of all callers.
    endpoint packets_;
    /// Messages between peers; its port is that of all peers.
    endpoint peers_;
    /// The upstream beside an agent; port 0 on a balancer.
    endpoint upstream_;
};

/// Largest message between peers: a segment with its context.
inline constexpr std::size_t max_message_bytes = 2048;

/// Owns both sockets and sends what decisions ask for, in batches.
class packet_io
{
public:
    /// Fails with `unavailable` if an address is taken.
    static tl::expected<packet_io, error>
    open(const packet_addresses& addresses, metrics_registry& metrics);

    const unique_fd& packets() const
    {
        return packets_;
    }
    const unique_fd& peers() const
    {
        return peers_;
    }

    /// Puts the datagrams of `actions` into the batches and empties it.
    void enqueue(pass_actions& actions);

    /// Sends what waits in the batches.
    void flush();

private:
    packet_io(const packet_addresses& addresses, unique_fd packets,
              unique_fd peers, metrics_registry& metrics);

    void send_segment(const endpoint& to, byte_view bytes,
                      std::uint8_t hops = 0);
    void send_message(host_address to,
                      const std::shared_ptr<const pass_message>& message);

    packet_addresses addresses_;
    unique_fd packets_;
    unique_fd peers_;
    std::unique_ptr<send_batch> segment_batch_;
    std::unique_ptr<send_batch> message_batch_;
    /// The message encoded last and its bytes.
    std::shared_ptr<const pass_message> encoded_;
    std::vector<std::uint8_t> encoded_bytes_;
    counter* lost_;
    counter* segments_sent_;
    counter* messages_sent_;
    counter* resets_sent_;
};

} // namespace galenafork

#endif
