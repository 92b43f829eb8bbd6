#include "packet_io.h"

#include <platform/segment_codec.h>

#include <cstring>

namespace galenafork
{

namespace
{

// Limit on the kernel's buffer of a socket in each direction. Unread bytes
// count as memory of the process. A full link of a small instance carries far
// fewer bytes than this in a quarter of a second.
constexpr int socket_buffer_bytes = 1024 * 1024;

} // namespace

tl::expected<packet_io, error>
packet_io::open(const packet_addresses& addresses, metrics_registry& metrics)
{
    auto segments = open_udp_v4(addresses.segments_, socket_buffer_bytes);
    if (!segments)
    {
        return tl::unexpected(segments.error());
    }
    auto peers = open_udp_v4(addresses.peers_, socket_buffer_bytes);
    if (!peers)
    {
        return tl::unexpected(peers.error());
    }
    return packet_io(addresses, std::move(*segments), std::move(*peers),
                     metrics);
}

packet_io::packet_io(const packet_addresses& addresses, unique_fd segments,
                     unique_fd peers, metrics_registry& metrics)
    : addresses_(addresses), segments_(std::move(segments)),
      peers_(std::move(peers)),
      segment_batch_(std::make_unique<send_batch>(
          platform_adapter::max_segment_bytes, ip_family::v4)),
      message_batch_(
          std::make_unique<send_batch>(max_message_bytes, ip_family::v4)),
      datagrams_unsent_(&metrics.add_counter(
          "galena_datagrams_unsent_total",
          "Datagrams that were too large or that the kernel refused.")),
      segments_sent_(&metrics.add_counter(
          "galena_segments_sent_total",
          "Segments sent to upstreams, callers and agents.")),
      messages_sent_(&metrics.add_counter("galena_messages_sent_total",
                                          "Messages sent to peers.")),
      resets_sent_(&metrics.add_counter("galena_resets_sent_total",
                                        "Resets sent to callers."))
{
}

void packet_io::send_segment(const endpoint& to, byte_view bytes,
                             std::uint8_t hops)
{
    if (bytes.size_ > platform_adapter::max_segment_bytes)
    {
        datagrams_unsent_->add();
        return;
    }
    if (segment_batch_->full())
    {
        datagrams_unsent_->add(segment_batch_->flush(segments_));
    }
    std::memcpy(segment_batch_->next(), bytes.data_, bytes.size_);
    platform_adapter::set_hops(segment_batch_->next(), hops);
    segment_batch_->add(to, bytes.size_);
    segments_sent_->add();
}

void packet_io::send_message(host_address to,
                             const std::shared_ptr<const pass_message>& message)
{
    // A message to several peers is encoded once.
    if (message != encoded_message_)
    {
        encoded_message_ = message;
        encoded_bytes_ = encode(*message);
    }
    const std::vector<std::uint8_t>& bytes = encoded_bytes_;
    if (bytes.size() > max_message_bytes)
    {
        datagrams_unsent_->add();
        return;
    }
    if (message_batch_->full())
    {
        datagrams_unsent_->add(message_batch_->flush(peers_));
    }
    std::memcpy(message_batch_->next(), bytes.data(), bytes.size());
    message_batch_->add(at_port(to, addresses_.peers_.port_), bytes.size());
    messages_sent_->add();
}

void packet_io::enqueue(pass_actions& actions)
{
    const std::uint16_t port = addresses_.segments_.port_;
    for (const pass_datagram& datagram : actions.datagrams_)
    {
        switch (datagram.target_)
        {
        case pass_target::upstream:
            send_segment(addresses_.upstream_, datagram.bytes_);
            break;
        case pass_target::caller:
            send_segment(at_port(host_of(datagram.flow_.caller_), port),
                         datagram.bytes_);
            break;
        case pass_target::agent:
            send_segment(at_port(datagram.host_, port), datagram.bytes_,
                         datagram.hops_);
            break;
        case pass_target::reset:
        {
            const auto reset = platform_adapter::make_reset(datagram.flow_,
                                                            datagram.sequence_);
            send_segment(at_port(host_of(datagram.flow_.caller_), port),
                         {reset.data(), reset.size()});
            resets_sent_->add();
            break;
        }
        case pass_target::peer:
            send_message(datagram.host_, datagram.message_);
            break;
        }
    }
    actions.datagrams_.clear();
    encoded_message_.reset();
}

void packet_io::flush()
{
    datagrams_unsent_->add(segment_batch_->flush(segments_));
    datagrams_unsent_->add(message_batch_->flush(peers_));
}

} // namespace galenafork
