#include <galenafork/forwarder.h>
#include <galenafork/proxy_protocol.h>
#include <galenafork/wire.h>

namespace galenafork
{

forwarder::forwarder(const endpoint& notice_endpoint, trace_sampler traces)
    : traces_(traces)
{
    const std::string longest_name(max_name_bytes, 'x');
    packet_.service_ = service_name(longest_name);
    packet_.target_.instance_ = instance_id(longest_name);
    packet_.payload_.reserve(max_datagram_bytes);
    packet_.balancer_ = notice_endpoint;
}

forward_result forwarder::forward(const routing_snapshot& snapshot,
                                  const fabric_datagram& in, std::uint8_t* out,
                                  std::size_t capacity)
{
    forward_result result;
    const auto parsed = parse_proxy_header(in.bytes_, in.size_);
    if (!parsed)
    {
        result.refusal_ = refusal::malformed;
        return result;
    }
    const proxy_header& header = parsed->header_;
    const flow_key flow{header.source_, header.destination_};
    const forwarding_decision decision = select_target(snapshot, flow);
    result.refusal_ = decision.refusal_;
    result.route_ = decision.route_;
    if (decision.refusal_ != refusal::none)
    {
        return result;
    }
    result.parent_trace_ = header.trace_;
    result.trace_ = header.trace_.sampled_
                        ? traces_.child_context(header.trace_)
                        : traces_.start_trace();
    fill_packet(snapshot, decision, flow, result.trace_);
    packet_.fabric_ = in.answer_endpoint_;
    packet_.payload_.assign(in.bytes_ + parsed->payload_offset_,
                            in.bytes_ + in.size_);
    result.to_ = decision.target_->packet_endpoint_;
    result.size_ = encode_into(packet_, out, capacity);
    if (result.size_ == 0)
    {
        result.refusal_ = refusal::malformed;
    }
    return result;
}

void forwarder::fill_packet(const routing_snapshot& snapshot,
                            const forwarding_decision& decision,
                            const flow_key& flow, const trace_context& trace)
{
    packet_.service_ = decision.route_->service_;
    packet_.target_ = decision.target_->member_;
    packet_.epoch_ = decision.route_->epoch_;
    packet_.rules_version_ = snapshot.rules_version_;
    packet_.established_only_ = decision.established_only_;
    packet_.flow_ = flow;
    packet_.trace_ = trace;
}

} // namespace galenafork
