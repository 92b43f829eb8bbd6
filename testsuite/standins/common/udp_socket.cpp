#include <common/udp_socket.h>

#include <galenafork/wire.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstring>
#include <netinet/in.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace galenafork::standin
{

namespace
{

constexpr int receive_buffer_bytes = 4 * 1024 * 1024;
// Offset of an IPv4 address in its v4-mapped form.
constexpr std::size_t v4_offset = 12;

// An address in the form that system calls expect.
struct socket_address
{
    sockaddr_storage storage_{};
    socklen_t length_ = sizeof(sockaddr_storage);

    sockaddr* get()
    {
        return reinterpret_cast<sockaddr*>(&storage_);
    }
};

socket_address to_socket_address(const endpoint& e)
{
    socket_address result;
    if (e.address_.is_v4())
    {
        auto* v4 = reinterpret_cast<sockaddr_in*>(&result.storage_);
        v4->sin_family = AF_INET;
        v4->sin_port = htons(e.port_);
        std::memcpy(&v4->sin_addr, e.address_.bytes_.data() + v4_offset,
                    sizeof(v4->sin_addr));
        result.length_ = sizeof(sockaddr_in);
        return result;
    }
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&result.storage_);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(e.port_);
    std::memcpy(&v6->sin6_addr, e.address_.bytes_.data(),
                sizeof(v6->sin6_addr));
    result.length_ = sizeof(sockaddr_in6);
    return result;
}

endpoint from_socket_address(const socket_address& address)
{
    endpoint result;
    if (address.storage_.ss_family == AF_INET)
    {
        const auto* v4 =
            reinterpret_cast<const sockaddr_in*>(&address.storage_);
        std::array<std::uint8_t, 4> b{};
        std::memcpy(b.data(), &v4->sin_addr, b.size());
        result.address_ = make_v4(b[0], b[1], b[2], b[3]);
        result.port_ = ntohs(v4->sin_port);
        return result;
    }
    const auto* v6 = reinterpret_cast<const sockaddr_in6*>(&address.storage_);
    std::memcpy(result.address_.bytes_.data(), &v6->sin6_addr,
                result.address_.bytes_.size());
    result.port_ = ntohs(v6->sin6_port);
    return result;
}

[[noreturn]] void throw_errno(const char* call)
{
    throw std::system_error(errno, std::generic_category(), call);
}

} // namespace

udp_socket::udp_socket(const endpoint& local)
    : descriptor_(::socket(local.address_.is_v4() ? AF_INET : AF_INET6,
                           SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
{
    if (descriptor_ < 0)
    {
        throw_errno("socket");
    }
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes,
                 sizeof(receive_buffer_bytes));
    socket_address address = to_socket_address(local);
    if (::bind(descriptor_, address.get(), address.length_) != 0)
    {
        const int bind_errno = errno;
        ::close(descriptor_);
        errno = bind_errno;
        throw_errno("bind");
    }
}

udp_socket::~udp_socket()
{
    ::close(descriptor_);
}

endpoint udp_socket::local() const
{
    socket_address address;
    ::getsockname(descriptor_, address.get(), &address.length_);
    return from_socket_address(address);
}

void udp_socket::send(const byte_buffer& bytes, const endpoint& to) const
{
    socket_address address = to_socket_address(to);
    ::sendto(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL,
             address.get(), address.length_);
}

std::optional<received_datagram> udp_socket::receive() const
{
    static thread_local std::array<std::uint8_t, max_datagram_bytes> buffer;
    // An ICMP error caused by an earlier send makes one call fail, so a second
    // attempt is made.
    constexpr int attempts = 2;
    for (int i = 0; i < attempts; ++i)
    {
        socket_address from;
        const auto size = ::recvfrom(descriptor_, buffer.data(), buffer.size(),
                                     0, from.get(), &from.length_);
        if (size >= 0)
        {
            return received_datagram{
                from_socket_address(from),
                byte_buffer(buffer.begin(), buffer.begin() + size)};
        }
        if (errno == EAGAIN || errno == EWOULDBLOCK)
        {
            return std::nullopt;
        }
    }
    return std::nullopt;
}

endpoint any_loopback_port()
{
    return {make_v4(127, 0, 0, 1), 0};
}

} // namespace galenafork::standin
