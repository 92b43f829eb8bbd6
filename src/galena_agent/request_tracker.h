/// \file
/// CoAP requests in flight at the upstream, by flow and token.

#ifndef GALENAFORK_GALENA_AGENT_REQUEST_TRACKER_H
#define GALENAFORK_GALENA_AGENT_REQUEST_TRACKER_H

#include <galenafork/agent_core.h>
#include <galenafork/coap.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace galenafork
{

/// Parses the payload of a caller's packet. Returns nothing if the CoAP message
/// is not a request; the packet is then forwarded unchanged. Fails with
/// `bad_message` if the payload is not a CoAP message.
tl::expected<std::optional<request_info>, error>
read_request(const forwarded_packet& packet);

/// One request in flight at the upstream.
struct outstanding_request
{
    /// Key of the request's journal entry; set if it is non-idempotent.
    std::optional<request_key> journal_key_;
    instant sent_at_;
};

/// Requests in flight at the upstream. An answer is matched by flow and token,
/// so late and reordered answers finish the right request.
class request_tracker
{
public:
    /// Adds a request that is sent to the upstream. False if a request of the
    /// flow with this token is in flight already (a retransmission).
    bool add(const flow_key& flow, const byte_buffer& token,
             const outstanding_request& request);

    /// Removes and returns the request that an answer belongs to; nothing if
    /// there is none.
    std::optional<outstanding_request> finish(const flow_key& flow,
                                              const byte_buffer& token);

    /// Removes all requests of a flow.
    void remove_flow(const flow_key& flow);

    /// Removes the requests sent before `limit` and returns their number.
    std::size_t expire(instant limit);

    /// Returns the number of requests in flight.
    std::size_t size() const
    {
        return size_;
    }

private:
    std::unordered_map<flow_key, std::map<byte_buffer, outstanding_request>>
        flows_;
    std::size_t size_ = 0;
};

} // namespace galenafork

#endif
