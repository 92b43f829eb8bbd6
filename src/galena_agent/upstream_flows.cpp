#include "upstream_flows.h"

#include <galenafork/udp_socket.h>

#include <array>
#include <sys/socket.h>

namespace galenafork
{

namespace
{

constexpr std::size_t receive_buffer_bytes = 65536;

// Datagrams received from one flow before other events are handled.
constexpr int max_datagrams_per_turn = 16;

} // namespace

upstream_flows::upstream_flows(const endpoint& upstream, ACE_Reactor& reactor,
                               receiver on_datagram)
    : upstream_(upstream), reactor_(reactor),
      on_datagram_(std::move(on_datagram))
{
}

upstream_flows::~upstream_flows()
{
    close_all();
}

upstream_flows::flow_socket* upstream_flows::open(const flow_key& flow)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end())
    {
        return &found->second;
    }
    flow_socket socket{connect_udp(upstream_), nullptr};
    const int fd = socket.fd_.get();
    if (fd < 0)
    {
        return nullptr;
    }
    socket.handler_ = std::make_unique<input_handler>([this, flow, fd]
                                                      { receive(flow, fd); });
    reactor_.register_handler(fd, socket.handler_.get(),
                              ACE_Event_Handler::READ_MASK);
    return &flows_.emplace(flow, std::move(socket)).first->second;
}

bool upstream_flows::send(const flow_key& flow, const byte_buffer& bytes)
{
    const flow_socket* socket = open(flow);
    return socket != nullptr && ::send(socket->fd_.get(), bytes.data(),
                                       bytes.size(), MSG_DONTWAIT) >= 0;
}

void upstream_flows::receive(const flow_key& flow, int fd)
{
    // Copied because `flow` belongs to the handler, which is destroyed if
    // `on_datagram_` closes the flow.
    const flow_key current = flow;
    std::array<std::uint8_t, receive_buffer_bytes> buffer;
    for (int i = 0; i < max_datagrams_per_turn; ++i)
    {
        const ssize_t size =
            ::recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (size < 0)
        {
            return;
        }
        on_datagram_(current,
                     byte_buffer(buffer.begin(), buffer.begin() + size));
    }
}

void upstream_flows::remove_handler(const flow_socket& socket)
{
    reactor_.remove_handler(socket.fd_.get(), ACE_Event_Handler::READ_MASK |
                                                  ACE_Event_Handler::DONT_CALL);
}

void upstream_flows::close(const flow_key& flow)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end())
    {
        remove_handler(found->second);
        flows_.erase(found);
    }
}

void upstream_flows::close_all()
{
    for (const auto& [flow, socket] : flows_)
    {
        remove_handler(socket);
    }
    flows_.clear();
}

} // namespace galenafork
