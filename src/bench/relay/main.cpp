/// \file
/// Bare UDP relay, the baseline of the balancer's throughput. It uses the same
/// batched system calls as the balancer and forwards datagrams unchanged.

#include <galenafork/udp_socket.h>
#include <galenafork/wire.h>

#include <boost/program_options.hpp>
#include <cstring>
#include <iostream>
#include <poll.h>

using namespace galenafork;

namespace po = boost::program_options;

namespace
{

void relay(const unique_fd& in, const unique_fd& out, const endpoint& to)
{
    receive_batch received(max_datagram_bytes);
    send_batch outgoing(max_datagram_bytes);
    pollfd readable{in.get(), POLLIN, 0};
    while (::poll(&readable, 1, -1) >= 0)
    {
        const std::size_t count = received.receive(in);
        for (std::size_t i = 0; i < count; ++i)
        {
            const datagram_view view = received.view(i);
            std::memcpy(outgoing.next(), view.bytes_, view.size_);
            outgoing.add(to, view.size_);
        }
        outgoing.flush(out);
    }
}

int run(const std::string& listen, const std::string& target)
{
    const auto listen_endpoint = parse_endpoint(listen);
    const auto target_endpoint = parse_endpoint(target);
    if (!listen_endpoint || !target_endpoint)
    {
        std::cerr << "bare_relay: --listen and --to must be IP:PORT\n";
        return 2;
    }
    const auto in = open_udp(*listen_endpoint, false);
    const auto out = open_udp({make_v4(127, 0, 0, 1), 0}, false);
    if (!in || !out)
    {
        std::cerr << "bare_relay: cannot open the UDP sockets\n";
        return 1;
    }
    relay(*in, *out, *target_endpoint);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string listen;
    std::string target;
    po::options_description options("bare_relay");
    auto add = options.add_options();
    add("listen", po::value(&listen)->required(),
        "IP:PORT to receive datagrams at");
    add("to", po::value(&target)->required(),
        "IP:PORT to forward datagrams to");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        return run(listen, target);
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n' << options;
        return 2;
    }
}
