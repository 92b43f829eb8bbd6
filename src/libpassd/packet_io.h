/// \file
/// The two UDP sockets of a passthrough daemon: one for segments, one for
/// messages between peers.

#ifndef LIBPASSD_PACKET_IO_H
#define LIBPASSD_PACKET_IO_H

#include <galenafork/metrics.h>
#include <galenafork/pass_actions.h>
#include <galenafork/udp_socket.h>

#include <tl/expected.hpp>

namespace galenafork
{

/// UDP addresses of a passthrough daemon.
struct packet_addresses
{
    /// Receives segments. All agents and all callers use the same port.
    endpoint segments_;
    /// Receives messages between peers. All peers use the same port.
    endpoint peers_;
    /// The upstream beside the agent; port 0 on a balancer.
    endpoint upstream_;
};

/// Maximum size of a message between peers, which may contain a whole segment
/// and the fields that describe it.
inline constexpr std::size_t max_message_bytes = 2048;

/// Owns both sockets and sends the datagrams of decisions in batches.
class packet_io
{
public:
    /// Binds both sockets. Fails with `unavailable` if an address is taken, and
    /// with `bad_address` if one is not an IPv4 address.
    static tl::expected<packet_io, error>
    open(const packet_addresses& addresses, metrics_registry& metrics);

    const unique_fd& segments() const
    {
        return segments_;
    }
    const unique_fd& peers() const
    {
        return peers_;
    }

    /// Moves the datagrams of `actions` into the send batches.
    void enqueue(pass_actions& actions);

    /// Sends both batches.
    void flush();

private:
    packet_io(const packet_addresses& addresses, unique_fd segments,
              unique_fd peers, metrics_registry& metrics);

    void send_segment(const endpoint& to, byte_view bytes,
                      std::uint8_t hops = 0);
    void send_message(host_address to,
                      const std::shared_ptr<const pass_message>& message);

    packet_addresses addresses_;
    unique_fd segments_;
    unique_fd peers_;
    std::unique_ptr<send_batch> segment_batch_;
    std::unique_ptr<send_batch> message_batch_;
    /// The last encoded message and its bytes, reused for its other receivers.
    std::shared_ptr<const pass_message> encoded_message_;
    std::vector<std::uint8_t> encoded_bytes_;
    counter* datagrams_unsent_;
    counter* segments_sent_;
    counter* messages_sent_;
    counter* resets_sent_;
};

} // namespace galenafork

#endif
