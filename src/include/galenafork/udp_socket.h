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

/// Datagrams that go through one system call at most.
inline constexpr std::size_t udp_batch_size = 32;

/// A packet that lay longer than this in a socket's buffer is dropped: its
/// process stood still meanwhile, and a caller's repeat has long been served.
/// Far below the time that the journal keeps a request.
inline constexpr duration max_datagram_age = std::chrono::seconds(1);

/// A datagram in a batch's buffer; valid until the batch's next use.
struct datagram_view
{
    endpoint from_;
    const std::uint8_t* bytes_ = nullptr;
    std::size_t size_ = 0;
    /// Time since the kernel received it.
    duration age_{0};
};

/// Opens a non-blocking UDP socket that is bound to `at`; `shared` lets
/// several sockets share the address, and the kernel spreads datagrams over
/// them. An IPv4 address is bound in mapped form, so that the socket reaches
/// IPv4 and, bound to `[::]`, IPv6 too. Fails with `unavailable`.
tl::expected<unique_fd, error> open_udp(const endpoint& at, bool shared);

/// Which addresses a socket and its batches carry.
enum class ip_family
{
    /// IPv6 with IPv4 in mapped form, as `open_udp` binds.
    dual_stack,
    /// IPv4 only, as `open_udp_v4` binds.
    v4,
};

/// Opens a non-blocking IPv4 socket that is bound to `at`, for machines
/// without IPv6. `buffer_bytes` bounds what the kernel holds in each
/// direction. Fails with `unavailable`, and with `bad_address` if `at` is not
/// an IPv4 address.
tl::expected<unique_fd, error> open_udp_v4(const endpoint& at,
                                           int buffer_bytes);

/// The address that `fd` is bound to.
endpoint local_endpoint(const unique_fd& fd);

/// Opens a non-blocking UDP socket that talks to `to` only. Its descriptor is
/// negative if there is none left.
unique_fd connect_udp(const endpoint& to);

/// Sends one datagram without waiting. False if the kernel refused it.
bool send_udp(const unique_fd& fd, const endpoint& to,
              const std::uint8_t* bytes, std::size_t size);

/// Buffers to receive a batch of datagrams into; allocates once.
class receive_batch
{
public:
    /// Room for `udp_batch_size` datagrams of `max_bytes`; longer ones are cut
    /// and so counted by `view().size_ > max_bytes`.
    explicit receive_batch(std::size_t max_bytes,
                           ip_family family = ip_family::dual_stack);
    ~receive_batch();
    receive_batch(const receive_batch&) = delete;
    receive_batch& operator=(const receive_batch&) = delete;

    /// Receives what is there without waiting; returns how many.
    std::size_t receive(const unique_fd& fd);

    /// The datagram at `index` of the last `receive`. Its buffer is aligned to
    /// 8 bytes.
    datagram_view view(std::size_t index) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Buffers to send a batch of datagrams from; allocates once.
class send_batch
{
public:
    /// Room for `udp_batch_size` datagrams of `max_bytes`.
    explicit send_batch(std::size_t max_bytes,
                        ip_family family = ip_family::dual_stack);
    ~send_batch();
    send_batch(const send_batch&) = delete;
    send_batch& operator=(const send_batch&) = delete;

    /// Where the next datagram is to be written, aligned to 8 bytes.
    std::uint8_t* next();

    /// Adds the datagram written to `next`. Flush before adding to a full
    /// batch.
    void add(const endpoint& to, std::size_t size);

    /// True if no datagram can be added before `flush`.
    bool full() const;

    /// Sends all and empties the batch; returns how many the kernel refused
    /// (they are lost).
    std::size_t flush(const unique_fd& fd);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace galenafork

#endif
