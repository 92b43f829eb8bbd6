/// \file
/// One UDP socket to the upstream for each owned flow, so that each flow has a
/// source address of its own at the upstream.

#ifndef GALENAFORK_GALENA_AGENT_UPSTREAM_FLOWS_H
#define GALENAFORK_GALENA_AGENT_UPSTREAM_FLOWS_H

#include <galenafork/flow.h>
#include <galenafork/input_handler.h>
#include <galenafork/messages.h>
#include <galenafork/unique_fd.h>

#include <ace/Reactor.h>
#include <functional>
#include <memory>
#include <unordered_map>

namespace galenafork
{

/// Sockets to the upstream by flow. Not thread-safe: for the reactor's thread.
class upstream_flows
{
public:
    /// Called with each datagram that the upstream sends on a flow's socket.
    using receiver =
        std::function<void(const flow_key& flow, const byte_buffer& bytes)>;

    /// `reactor` must outlive this object.
    upstream_flows(const endpoint& upstream, ACE_Reactor& reactor,
                   receiver on_datagram);
    ~upstream_flows();
    upstream_flows(const upstream_flows&) = delete;
    upstream_flows& operator=(const upstream_flows&) = delete;

    /// Sends a datagram on the flow's socket and opens the socket if there is
    /// none. False if the socket can't be opened, for example because the
    /// process has no descriptor left, or the kernel does not send the
    /// datagram.
    bool send(const flow_key& flow, const byte_buffer& bytes);

    /// Closes the flow's socket, if there is one.
    void close(const flow_key& flow);

    /// Closes every socket.
    void close_all();

    /// Returns the number of open sockets.
    std::size_t size() const
    {
        return flows_.size();
    }

private:
    struct flow_socket
    {
        unique_fd fd_;
        std::unique_ptr<input_handler> handler_;
    };

    flow_socket* open(const flow_key& flow);
    void receive(const flow_key& flow, int fd);
    void remove_handler(const flow_socket& socket);

    endpoint upstream_;
    ACE_Reactor& reactor_;
    receiver on_datagram_;
    std::unordered_map<flow_key, flow_socket> flows_;
};

} // namespace galenafork

#endif
