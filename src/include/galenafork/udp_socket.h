/// \file
/// UDP sockets that send and receive datagrams in batches.

#ifndef GALENAFORK_UDP_SOCKET_H
#define GALENAFORK_UDP_SOCKET_H

#include <galenafork/endpoint.h>
#include <galenafork/error.h>
#include <galenafork/time.h>
#include <galenafork/unique_fd.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <tl/expected.hpp>

namespace galenafork
{

/// Maximum number of datagrams in one system call.
inline constexpr std::size_t udp_batch_size = 32;

/// Maximum time that a datagram may spend in the socket's receive buffer;
/// daemons drop an older one. A longer wait means that the process was stopped,
/// and the caller's retransmission has been served by then. The limit is far
/// below the time for which the journal keeps a request, so that a late
/// datagram can't run a request again after its journal entry was removed.
inline constexpr duration max_datagram_age = std::chrono::seconds(1);

/// A datagram in the buffer of a batch; valid until the batch receives again.
struct datagram_view
{
    endpoint from_;
    const std::uint8_t* bytes_ = nullptr;
    std::size_t size_ = 0;
    /// Time since the kernel received the datagram; 0 if the socket has no
    /// receive timestamps, as after `open_udp_v4`.
    duration age_{0};
};

/// Opens a non-blocking dual-stack UDP socket that is bound to `at`. An IPv4
/// address is bound in mapped form; a socket bound to `[::]` carries both IPv4
/// and IPv6. With `shared`, several sockets can bind the address, and the
/// kernel distributes the datagrams among them. Fails with `unavailable` if the
/// address can't be bound.
tl::expected<unique_fd, error> open_udp(const endpoint& at, bool shared);

/// Address family of a socket and its batches.
enum class ip_family
{
    /// IPv6 with IPv4 in mapped form, as `open_udp` binds.
    dual_stack,
    /// IPv4 only, as `open_udp_v4` binds.
    v4,
};

/// Opens a non-blocking IPv4 UDP socket that is bound to `at`, for machines
/// without IPv6. `buffer_bytes` limits the kernel's buffer in each direction.
/// Fails with `bad_address` if `at` is not an IPv4 address and with
/// `unavailable` if the address can't be bound.
tl::expected<unique_fd, error> open_udp_v4(const endpoint& at,
                                           int buffer_bytes);

/// Returns the address to which the dual-stack socket `fd` is bound.
endpoint local_endpoint(const unique_fd& fd);

/// Opens a non-blocking UDP socket that exchanges datagrams with `to` only.
/// Returns an empty `unique_fd` if the socket can't be opened or connected.
unique_fd connect_udp(const endpoint& to);

/// Sends one datagram on a dual-stack socket without waiting. Returns false if
/// the kernel did not accept it.
bool send_udp(const unique_fd& fd, const endpoint& to,
              const std::uint8_t* bytes, std::size_t size);

/// Buffers for receiving a batch of datagrams; allocates only on construction.
class receive_batch
{
public:
    /// Allocates space for `udp_batch_size` datagrams of `max_bytes`. A longer
    /// datagram is truncated, but its `view().size_` is the full size.
    explicit receive_batch(std::size_t max_bytes,
                           ip_family family = ip_family::dual_stack);
    ~receive_batch();
    receive_batch(const receive_batch&) = delete;
    receive_batch& operator=(const receive_batch&) = delete;

    /// Receives the datagrams that are available, without waiting, and returns
    /// their number.
    std::size_t receive(const unique_fd& fd);

    /// Returns the datagram at `index` of the last `receive`, aligned to 8
    /// bytes.
    datagram_view view(std::size_t index) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Buffers for sending a batch of datagrams; allocates only on construction.
class send_batch
{
public:
    /// Allocates space for `udp_batch_size` datagrams of `max_bytes`.
    explicit send_batch(std::size_t max_bytes,
                        ip_family family = ip_family::dual_stack);
    ~send_batch();
    send_batch(const send_batch&) = delete;
    send_batch& operator=(const send_batch&) = delete;

    /// Returns the buffer for the next datagram, aligned to 8 bytes.
    std::uint8_t* next();

    /// Adds the datagram of `size` bytes that was written to `next`. The batch
    /// must not be full.
    void add(const endpoint& to, std::size_t size);

    /// Returns true if no datagram can be added before `flush`.
    bool full() const;

    /// Sends all datagrams and empties the batch. Returns the number of
    /// datagrams that the kernel did not accept, which are lost.
    std::size_t flush(const unique_fd& fd);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenafork

#endif
