/// \file
/// The UDP socket of a stand-in.

#ifndef GALENAFORK_STANDINS_UDP_SOCKET_H
#define GALENAFORK_STANDINS_UDP_SOCKET_H

#include <galenafork/endpoint.h>
#include <galenafork/messages.h>

#include <optional>

namespace galenafork::standin
{

/// A datagram and its source address.
struct received_datagram
{
    endpoint from_;
    byte_buffer bytes_;
};

/// A non-blocking UDP socket, closed on destruction.
class udp_socket
{
public:
    /// Binds to `local`; with port 0 the system chooses a free port. Throws
    /// `std::system_error` if the socket can't be opened or bound.
    explicit udp_socket(const endpoint& local);
    ~udp_socket();
    udp_socket(const udp_socket&) = delete;
    udp_socket& operator=(const udp_socket&) = delete;

    /// Returns the descriptor, for polling.
    int descriptor() const
    {
        return descriptor_;
    }

    /// Returns the address that the socket is bound to.
    endpoint local() const;

    /// Sends a datagram. Errors are ignored, as if the network had dropped the
    /// datagram.
    void send(const byte_buffer& bytes, const endpoint& to) const;

    /// Returns the next datagram, or nothing if none is queued.
    std::optional<received_datagram> receive() const;

private:
    int descriptor_;
};

/// Returns 127.0.0.1 with port 0.
endpoint any_loopback_port();

} // namespace galenafork::standin

#endif
