#include <galenafork/pass_actions.h>

#include <utility>

namespace galenafork
{

void pass_actions::send_to_upstream(byte_view bytes)
{
    pass_datagram action;
    action.target_ = pass_target::upstream;
    action.bytes_ = bytes;
    datagrams_.push_back(std::move(action));
}

void pass_actions::send_to_caller(const flow_key& flow, byte_view bytes)
{
    pass_datagram action;
    action.target_ = pass_target::caller;
    action.flow_ = flow;
    action.bytes_ = bytes;
    datagrams_.push_back(std::move(action));
}

void pass_actions::send_to_agent(host_address host, byte_view bytes,
                                 std::uint8_t hops)
{
    pass_datagram action;
    action.target_ = pass_target::agent;
    action.host_ = host;
    action.bytes_ = bytes;
    action.hops_ = hops;
    datagrams_.push_back(std::move(action));
}

void pass_actions::send_reset(const flow_key& flow, std::uint32_t sequence)
{
    pass_datagram action;
    action.target_ = pass_target::reset;
    action.flow_ = flow;
    action.sequence_ = sequence;
    datagrams_.push_back(std::move(action));
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
        pass_datagram action;
        action.target_ = pass_target::peer;
        action.host_ = host;
        action.message_ = shared;
        datagrams_.push_back(std::move(action));
    }
}

} // namespace galenafork
