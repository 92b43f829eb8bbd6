#include "request_tracker.h"

namespace galenafork
{

tl::expected<std::optional<request_info>, error>
read_request(const forwarded_packet& packet)
{
    const auto message =
        parse_coap(packet.payload_.data(), packet.payload_.size());
    if (!message)
    {
        return tl::unexpected(message.error());
    }
    if (!is_request(*message))
    {
        return std::nullopt;
    }
    const request_key key{packet.flow_, message->message_id_, message->token_};
    return request_info{key, is_idempotent(message->code_)};
}

bool request_tracker::add(const flow_key& flow, const byte_buffer& token,
                          const outstanding_request& request)
{
    const bool added = flows_[flow].emplace(token, request).second;
    size_ += added ? 1 : 0;
    return added;
}

std::optional<outstanding_request>
request_tracker::finish(const flow_key& flow, const byte_buffer& token)
{
    const auto found = flows_.find(flow);
    if (found == flows_.end())
    {
        return std::nullopt;
    }
    const auto request = found->second.find(token);
    if (request == found->second.end())
    {
        return std::nullopt;
    }
    const outstanding_request finished = request->second;
    found->second.erase(request);
    --size_;
    return finished;
}

void request_tracker::remove_flow(const flow_key& flow)
{
    const auto found = flows_.find(flow);
    if (found != flows_.end())
    {
        size_ -= found->second.size();
        flows_.erase(found);
    }
}

std::size_t request_tracker::expire(instant limit)
{
    std::size_t expired = 0;
    for (auto& [flow, requests] : flows_)
    {
        for (auto at = requests.begin(); at != requests.end();)
        {
            const bool old = at->second.sent_at_ < limit;
            expired += old ? 1 : 0;
            at = old ? requests.erase(at) : std::next(at);
        }
    }
    size_ -= expired;
    return expired;
}

} // namespace galenafork
