/// \file
/// Load generator. One thread sends datagrams as the fabric does, as fast as
/// the kernel accepts them, and another counts the datagrams that arrive at a
/// sink. Prints `sent_per_s=N received_per_s=N`. With --roster it prints
/// instead the roster of a service whose only member is the sink.

#include <galenafork/proxy_protocol.h>
#include <galenafork/roster.h>
#include <galenafork/udp_socket.h>
#include <galenafork/wire.h>

#include <atomic>
#include <boost/program_options.hpp>
#include <cstring>
#include <iostream>
#include <poll.h>
#include <thread>

using namespace galenafork;

namespace po = boost::program_options;

namespace
{

constexpr int poll_timeout_ms = 50;
constexpr std::size_t flow_count = 1000;
constexpr std::uint16_t first_caller_port = 10000;

struct arguments
{
    std::string to_;
    std::string sink_;
    std::string service_address_ = "10.9.0.1:5683";
    std::string service_ = "orders";
    double seconds_ = 2;
    std::size_t payload_ = 256;
    bool roster_ = false;
};

endpoint parse_endpoint_or_throw(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed)
    {
        throw std::invalid_argument(parsed.error().message_);
    }
    return *parsed;
}

unique_fd open_udp_or_throw(const endpoint& address)
{
    auto fd = open_udp(address, false);
    if (!fd)
    {
        throw std::runtime_error(fd.error().message_);
    }
    return std::move(*fd);
}

void print_roster(const arguments& a)
{
    roster_change join;
    join.member_.instance_ = instance_id("sink");
    join.member_.incarnation_ = incarnation(1);
    join.member_.data_centre_ = data_centre("gorlice");
    join.member_.packet_endpoint_ = parse_endpoint_or_throw(a.sink_);
    join.member_.control_endpoint_ = parse_endpoint_or_throw(a.sink_);
    join.member_.slots_ = slot_count(1);
    join.member_.state_ = member_state::serving;
    join.write_ = write_id("blast");
    roster empty;
    empty.service_ = service_name(a.service_);
    const auto joined = apply(empty, join);
    if (!joined)
    {
        throw std::runtime_error(joined.error().message_);
    }
    std::cout << to_json(*joined) << std::endl;
}

std::vector<byte_buffer> make_datagrams(const arguments& a)
{
    const endpoint service = parse_endpoint_or_throw(a.service_address_);
    std::vector<byte_buffer> datagrams;
    for (std::size_t i = 0; i < flow_count; ++i)
    {
        const auto port = static_cast<std::uint16_t>(first_caller_port + i);
        datagrams.push_back(make_proxy_datagram(
            {{make_v4(192, 0, 2, 7), port}, service}, byte_buffer(a.payload_)));
    }
    return datagrams;
}

std::uint64_t send_all(const arguments& a, const std::atomic<bool>& stop)
{
    const unique_fd out = open_udp_or_throw({make_v4(127, 0, 0, 1), 0});
    const endpoint to = parse_endpoint_or_throw(a.to_);
    const std::vector<byte_buffer> datagrams = make_datagrams(a);
    send_batch batch(max_datagram_bytes);
    std::uint64_t sent = 0;
    while (!stop)
    {
        while (!batch.full())
        {
            const byte_buffer& datagram = datagrams[sent % flow_count];
            std::memcpy(batch.next(), datagram.data(), datagram.size());
            batch.add(to, datagram.size());
            ++sent;
        }
        batch.flush(out);
    }
    return sent;
}

std::uint64_t receive_all(const unique_fd& sink, const std::atomic<bool>& stop)
{
    receive_batch batch(max_datagram_bytes);
    pollfd readable{sink.get(), POLLIN, 0};
    std::uint64_t received = 0;
    while (!stop)
    {
        ::poll(&readable, 1, poll_timeout_ms);
        received += batch.receive(sink);
    }
    return received;
}

void measure_throughput(const arguments& a)
{
    const unique_fd sink = open_udp_or_throw(parse_endpoint_or_throw(a.sink_));
    std::atomic<bool> stop{false};
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
    std::thread receiver([&] { received = receive_all(sink, stop); });
    std::thread sender([&] { sent = send_all(a, stop); });
    std::this_thread::sleep_for(std::chrono::duration<double>(a.seconds_));
    stop = true;
    sender.join();
    receiver.join();
    std::cout << "sent_per_s="
              << static_cast<std::uint64_t>(static_cast<double>(sent) /
                                            a.seconds_)
              << " received_per_s="
              << static_cast<std::uint64_t>(static_cast<double>(received) /
                                            a.seconds_)
              << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    po::options_description options("blast");
    auto add = options.add_options();
    add("to", po::value(&a.to_), "IP:PORT to send datagrams to");
    add("sink", po::value(&a.sink_)->required(),
        "IP:PORT of the sink, which counts datagrams");
    add("service-address", po::value(&a.service_address_),
        "IP:PORT of the service");
    add("service", po::value(&a.service_), "name of the service, for --roster");
    add("seconds", po::value(&a.seconds_), "length of the run in seconds");
    add("payload", po::value(&a.payload_), "payload bytes of each datagram");
    add("roster", po::bool_switch(&a.roster_), "print the roster and exit");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (a.roster_)
        {
            print_roster(a);
            return 0;
        }
        measure_throughput(a);
        return 0;
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n' << options;
        return 2;
    }
}
