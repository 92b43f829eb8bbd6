#include <galenafork/udp_socket.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <vector>

namespace galenafork
{

namespace
{

constexpr std::size_t alignment = 8;

// Holds the datagrams that arrive under load until a traffic thread is
// scheduled again.
constexpr int socket_buffer_bytes = 4 * 1024 * 1024;

using buffer_unit = std::uint64_t;

std::size_t units_for(std::size_t bytes)
{
    return (bytes + alignment - 1) / alignment;
}

sockaddr_in6 to_sockaddr(const endpoint& e)
{
    sockaddr_in6 address{};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(e.port_);
    std::memcpy(&address.sin6_addr, e.address_.bytes_.data(),
                e.address_.bytes_.size());
    return address;
}

endpoint to_endpoint(const sockaddr_in6& address)
{
    endpoint e;
    e.port_ = ntohs(address.sin6_port);
    std::memcpy(e.address_.bytes_.data(), &address.sin6_addr,
                e.address_.bytes_.size());
    return e;
}

constexpr std::size_t v4_offset = 12;

sockaddr_in to_sockaddr_v4(const endpoint& e)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(e.port_);
    std::memcpy(&address.sin_addr, e.address_.bytes_.data() + v4_offset,
                sizeof address.sin_addr);
    return address;
}

endpoint to_endpoint(const sockaddr_in& address)
{
    std::array<std::uint8_t, 4> bytes{};
    std::memcpy(bytes.data(), &address.sin_addr, bytes.size());
    return {make_v4(bytes[0], bytes[1], bytes[2], bytes[3]),
            ntohs(address.sin_port)};
}

/// Socket address of either family.
union any_sockaddr
{
    sockaddr_in6 v6_{};
    sockaddr_in v4_;
};

void set_option(int fd, int level, int option, int value)
{
    ::setsockopt(fd, level, option, &value, sizeof value);
}

/// Message headers, addresses and buffers of one `recvmmsg` or `sendmmsg` call.
struct message_batch
{
    message_batch(std::size_t max_bytes, ip_family family)
        : family_(family), units_per_buffer_(units_for(max_bytes)),
          buffers_(units_per_buffer_ * udp_batch_size)
    {
        for (std::size_t i = 0; i < udp_batch_size; ++i)
        {
            iovecs_[i] = {buffer(i), max_bytes};
            msghdr& header = headers_[i].msg_hdr;
            header.msg_name = &addresses_[i];
            header.msg_namelen = address_size();
            header.msg_iov = &iovecs_[i];
            header.msg_iovlen = 1;
        }
    }

    std::uint8_t* buffer(std::size_t index)
    {
        return reinterpret_cast<std::uint8_t*>(buffers_.data() +
                                               index * units_per_buffer_);
    }

    socklen_t address_size() const
    {
        return family_ == ip_family::v4 ? sizeof(sockaddr_in)
                                        : sizeof(sockaddr_in6);
    }

    void set_address(std::size_t index, const endpoint& to)
    {
        if (family_ == ip_family::v4)
        {
            addresses_[index].v4_ = to_sockaddr_v4(to);
            return;
        }
        addresses_[index].v6_ = to_sockaddr(to);
    }

    endpoint address(std::size_t index) const
    {
        return family_ == ip_family::v4 ? to_endpoint(addresses_[index].v4_)
                                        : to_endpoint(addresses_[index].v6_);
    }

    ip_family family_;
    std::size_t units_per_buffer_;
    std::vector<buffer_unit> buffers_;
    std::array<mmsghdr, udp_batch_size> headers_{};
    std::array<iovec, udp_batch_size> iovecs_{};
    std::array<any_sockaddr, udp_batch_size> addresses_{};
};

constexpr std::size_t cmsg_bytes = CMSG_SPACE(sizeof(timespec));

/// Control buffers for the kernel's receive timestamp of each datagram in a
/// batch.
struct timestamp_batch
{
    explicit timestamp_batch(message_batch& messages) : messages_(messages) {}

    // Resets the lengths, which the kernel overwrites in each call.
    void prepare()
    {
        for (std::size_t i = 0; i < udp_batch_size; ++i)
        {
            msghdr& header = messages_.headers_[i].msg_hdr;
            header.msg_control = &buffers_[i * cmsg_bytes];
            header.msg_controllen = cmsg_bytes;
            header.msg_namelen = messages_.address_size();
        }
    }

    duration age_of(std::size_t index) const
    {
        msghdr& header = messages_.headers_[index].msg_hdr;
        const cmsghdr* control_header = CMSG_FIRSTHDR(&header);
        if (control_header == nullptr ||
            control_header->cmsg_type != SCM_TIMESTAMPNS)
        {
            return duration(0);
        }
        timespec timestamp{};
        std::memcpy(&timestamp, CMSG_DATA(control_header), sizeof timestamp);
        const auto received = std::chrono::seconds(timestamp.tv_sec) +
                              std::chrono::nanoseconds(timestamp.tv_nsec);
        const auto age =
            std::chrono::system_clock::now().time_since_epoch() - received;
        return std::max(duration(0), std::chrono::duration_cast<duration>(age));
    }

    message_batch& messages_;
    alignas(cmsghdr) std::array<char, cmsg_bytes * udp_batch_size> buffers_{};
};

} // namespace

tl::expected<unique_fd, error> open_udp(const endpoint& at, bool shared)
{
    unique_fd fd(
        ::socket(AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(fd.get(), IPPROTO_IPV6, IPV6_V6ONLY, 0);
    set_option(fd.get(), SOL_SOCKET, SO_RCVBUF, socket_buffer_bytes);
    set_option(fd.get(), SOL_SOCKET, SO_SNDBUF, socket_buffer_bytes);
    set_option(fd.get(), SOL_SOCKET, SO_TIMESTAMPNS, 1);
    if (shared)
    {
        set_option(fd.get(), SOL_SOCKET, SO_REUSEPORT, 1);
    }
    const sockaddr_in6 address = to_sockaddr(at);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(fd.get(), generic, sizeof address) != 0)
    {
        return tl::unexpected(error{
            error_code::unavailable,
            to_string(at) + ": " + std::generic_category().message(errno)});
    }
    return fd;
}

tl::expected<unique_fd, error> open_udp_v4(const endpoint& at, int buffer_bytes)
{
    if (!at.address_.is_v4())
    {
        return tl::unexpected(error{error_code::bad_address,
                                    to_string(at) + " is not an IPv4 address"});
    }
    unique_fd fd(
        ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    set_option(fd.get(), SOL_SOCKET, SO_RCVBUF, buffer_bytes);
    set_option(fd.get(), SOL_SOCKET, SO_SNDBUF, buffer_bytes);
    const sockaddr_in address = to_sockaddr_v4(at);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::bind(fd.get(), generic, sizeof address) != 0)
    {
        return tl::unexpected(error{
            error_code::unavailable,
            to_string(at) + ": " + std::generic_category().message(errno)});
    }
    return fd;
}

unique_fd connect_udp(const endpoint& to)
{
    unique_fd fd(
        ::socket(AF_INET6, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    const sockaddr_in6 address = to_sockaddr(to);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (fd.get() >= 0 && ::connect(fd.get(), generic, sizeof(address)) != 0)
    {
        return unique_fd();
    }
    return fd;
}

bool send_udp(const unique_fd& fd, const endpoint& to,
              const std::uint8_t* bytes, std::size_t size)
{
    const sockaddr_in6 address = to_sockaddr(to);
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    return ::sendto(fd.get(), bytes, size, MSG_DONTWAIT, generic,
                    sizeof(address)) >= 0;
}

endpoint local_endpoint(const unique_fd& fd)
{
    sockaddr_in6 address{};
    socklen_t size = sizeof address;
    ::getsockname(fd.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return to_endpoint(address);
}

struct receive_batch::state
{
    state(std::size_t max_bytes, ip_family family)
        : messages_(max_bytes, family), timestamps_(messages_)
    {
    }

    message_batch messages_;
    timestamp_batch timestamps_;
};

receive_batch::receive_batch(std::size_t max_bytes, ip_family family)
    : state_(std::make_unique<state>(max_bytes, family))
{
}

receive_batch::~receive_batch() = default;

std::size_t receive_batch::receive(const unique_fd& fd)
{
    auto& headers = state_->messages_.headers_;
    state_->timestamps_.prepare();
    const int count = ::recvmmsg(fd.get(), headers.data(), headers.size(),
                                 MSG_DONTWAIT | MSG_TRUNC, nullptr);
    return count < 0 ? 0 : static_cast<std::size_t>(count);
}

datagram_view receive_batch::view(std::size_t index) const
{
    auto& messages = state_->messages_;
    return {messages.address(index), messages.buffer(index),
            messages.headers_[index].msg_len,
            state_->timestamps_.age_of(index)};
}

struct send_batch::state
{
    state(std::size_t max_bytes, ip_family family)
        : messages_(max_bytes, family)
    {
    }

    message_batch messages_;
    std::size_t count_ = 0;
};

send_batch::send_batch(std::size_t max_bytes, ip_family family)
    : state_(std::make_unique<state>(max_bytes, family))
{
}

send_batch::~send_batch() = default;

std::uint8_t* send_batch::next()
{
    return state_->messages_.buffer(state_->count_);
}

void send_batch::add(const endpoint& to, std::size_t size)
{
    auto& messages = state_->messages_;
    messages.set_address(state_->count_, to);
    messages.iovecs_[state_->count_].iov_len = size;
    ++state_->count_;
}

bool send_batch::full() const
{
    return state_->count_ == udp_batch_size;
}

std::size_t send_batch::flush(const unique_fd& fd)
{
    std::size_t sent = 0;
    std::size_t refused = 0;
    while (sent < state_->count_)
    {
        const int count = ::sendmmsg(
            fd.get(), state_->messages_.headers_.data() + sent,
            static_cast<unsigned>(state_->count_ - sent), MSG_DONTWAIT);
        // An error always concerns the first datagram of a call, which is
        // skipped.
        refused += count < 0 ? 1 : 0;
        sent += count < 0 ? 1 : static_cast<std::size_t>(count);
    }
    state_->count_ = 0;
    return refused;
}

} // namespace galenafork
