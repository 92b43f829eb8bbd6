/// \file
/// A UDP socket.

#ifndef GALENAFORK_STANDINS_UDP_SOCKET_H
#define GALENAFORK_STANDINS_UDP_SOCKET_H

#include <galenafork/endpoint.h>
#include <galenafork/messages.h>

#include <optional>

namespace galenafork::standin
{

/// A datagram and where it came from.
struct received_datagram
{
    endpoint from_;
    byte_buffer bytes_;
};

/// A non-blocking UDP socket, closed on destruction.
class udp_socket
{
public:
    /// Binds to `local`; port 0 takes a free one. Throws `std::system_error`.
    explicit udp_socket(const endpoint& local);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// The descriptor, for polling.
    int descriptor() const
    {
        return descriptor_;
    }

    /// The address that the socket is bound to.
    endpoint local() const;

    /// Sends one datagram; a failure counts as a loss on the way.
    void send(const byte_buffer& bytes, const endpoint& to) const;

    /// The next datagram, or nothing if none waits.
    std::optional<received_datagram> receive() const;

private:
    int descriptor_;
};

/// 127.0.0.1 with port 0.
endpoint any_loopback_port();

} // namespace galenafork::standin

#endif
