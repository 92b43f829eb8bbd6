/// \file
/// Requests that the upstream has not answered yet, by flow and token.

#ifndef GALENAFORK_GALENA_AGENT_REQUEST_TRACKER_H
#define GALENAFORK_GALENA_AGENT_REQUEST_TRACKER_H

#include <galenafork/agent_core.h>
#include <galenafork/coap.h>

#include <map>
#include <optional>
#include <unordered_map>

namespace galenafork
{

/// Reads a caller's packet of a CoAP flow. Nothing if it is no request; the
/// packet is then passed on as it is. Fails with `bad_message` if it is no
/// CoAP message.
tl::expected<std::optional<request_info>, error>
read_request(const forwarded_packet& packet);

/// One request at the upstream.
struct outstanding_request
{
    /// Set for a non-idempotent request.
    std::optional<request_key> guarded_;
    instant sent_;
};

/// Requests at the upstream. An answer belongs to the request of its flow
/// with its token, so late and crossed answers find their own request.
class request_tracker
{
public:
    /// Notes a request that is passed on. False if the same token of the flow
    /// is with the upstream already (a repeat).
    bool begin(const flow_key& flow, const byte_buffer& token,
               const outstanding_request& request);

    /// Takes out the request that an answer belongs to.
    std::optional<outstanding_request> finish(const flow_key& flow,
                                              const byte_buffer& token);

    /// Forgets a flow.
    void close(const flow_key& flow);

    /// Forgets requests sent before `before`; returns how many.
    std::size_t expire(instant before);

    /// Requests at the upstream.
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
