#include <galenafork/pass_actions.h>

#include <utility>

namespace galenafork
{

void pass_actions::send_to_upstream(byte_view bytes)
{
    pass_datagram datagram;
    datagram.target_ = pass_target::upstream;
    datagram.bytes_ = bytes;
    datagrams_.push_back(std::move(datagram));
}

void pass_actions::send_to_caller(const flow_key& flow, byte_view bytes)
{
    pass_datagram datagram;
    datagram.target_ = pass_target::caller;
    datagram.flow_ = flow;
    datagram.bytes_ = bytes;
    datagrams_.push_back(std::move(datagram));
}

void pass_actions::send_to_agent(host_address host, byte_view bytes,
                                 std::uint8_t hops)
{
    pass_datagram datagram;
    datagram.target_ = pass_target::agent;
    datagram.host_ = host;
    datagram.bytes_ = bytes;
    datagram.hops_ = hops;
    datagrams_.push_back(std::move(datagram));
}

void pass_actions::send_reset(const flow_key& flow, std::uint32_t sequence)
{
    pass_datagram datagram;
    datagram.target_ = pass_target::reset;
    datagram.flow_ = flow;
    datagram.sequence_ = sequence;
    datagrams_.push_back(std::move(datagram));
}

void pass_actions::send_to_peer(host_address host, pass_message message)
{
    send_to_peers({host}, std::move(message));
}

void pass_actions::send_to_peers(const std::vector<host_address>& hosts,
                                 pass_message message)
{
    const auto shared =
        std::make_shared<const pass_message>(std::move(message));
    for (const host_address host : hosts)
    {
        pass_datagram datagram;
        datagram.target_ = pass_target::peer;
        datagram.host_ = host;
        datagram.message_ = shared;
        datagrams_.push_back(std::move(datagram));
    }
}

} // namespace galenafork
