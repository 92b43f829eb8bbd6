/// \file
/// A bare UDP relay: the baseline of the balancer's throughput. It uses the
/// same batched system calls and does nothing else.

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
    send_batch sending(max_datagram_bytes);
    pollfd readable{in.get(), POLLIN, 0};
    while (::poll(&readable, 1, -1) >= 0)
    {
        const std::size_t count = received.receive(in);
        for (std::size_t i = 0; i < count; ++i)
        {
            const datagram_view view = received.view(i);
            std::memcpy(sending.next(), view.bytes_, view.size_);
            sending.add(to, view.size_);
        }
        sending.flush(out);
    }
}

int run(const std::string& listen, const std::string& target)
{
    const auto at = parse_endpoint(listen);
    const auto to = parse_endpoint(target);
    if (!at || !to)
    {
        std::cerr << "bare_relay: bad address\n";
        return 2;
    }
    const auto in = open_udp(*at, false);
    const auto out = open_udp({make_v4(127, 0, 0, 1), 0}, false);
    if (!in || !out)
    {
        std::cerr << "bare_relay: no socket\n";
        return 1;
    }
    relay(*in, *out, *to);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string listen;
    std::string target;
    po::options_description options("bare_relay");
    auto add = options.add_options();
    add("listen", po::value(&listen)->required(), "IP:PORT");
    add("to", po::value(&target)->required(), "IP:PORT");
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
