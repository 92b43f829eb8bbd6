/// \file
/// The platform stand-in as a program.

#include <galenafork/endpoint.h>
#include <standins/platform/service.h>

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>
#include <kj/async-io.h>
#include <kj/async-unix.h>

namespace
{

namespace po = boost::program_options;
namespace standin = galenafork::standin;

struct options
{
    std::string listen_;
    std::uint64_t seed_ = 1;
};

int serve(const options& o)
{
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    auto io = kj::setupAsyncIo();
    kj::Timer& timer = io.provider->getTimer();
    const standin::api_headers headers;
    standin::platform_service service(timer, headers, o.seed_);
    standin::disconnect_error_handler errors;
    kj::HttpServerSettings settings;
    settings.errorHandler = errors;
    kj::HttpServer server(timer, *headers.table_, service, settings);

    auto address = io.provider->getNetwork()
                       .parseAddress(o.listen_.c_str())
                       .wait(io.waitScope);
    auto receiver = address->listen();
    std::cout << "event=listening address="
              << o.listen_.substr(0, o.listen_.rfind(':')) << ':'
              << receiver->getPort() << std::endl;
    auto stopped = io.unixEventPort.onSignal(SIGTERM)
                       .exclusiveJoin(io.unixEventPort.onSignal(SIGINT))
                       .ignoreResult();
    server.listenHttp(*receiver)
        .exclusiveJoin(kj::mv(stopped))
        .wait(io.waitScope);
    return 0;
}

int run(int argc, char** argv)
{
    options o;
    po::options_description description("Options");
    description.add_options()("help", "print the options and exit");
    description.add_options()(
        "listen", po::value(&o.listen_)->value_name("IP:PORT")->required(),
        "address to listen on; with port 0 the system chooses a free port");
    description.add_options()("seed", po::value(&o.seed_),
                              "seed for the choice of injected faults");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    if (values.count("help") != 0)
    {
        std::cout << "usage: platform_standin --listen IP:PORT [--seed N]\n"
                  << description;
        return 0;
    }
    po::notify(values);
    return serve(o);
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        return run(argc, argv);
    }
    catch (const kj::Exception& e)
    {
        std::cerr << "platform_standin: " << e.getDescription().cStr() << '\n';
    }
    catch (const std::exception& e)
    {
        std::cerr << "platform_standin: " << e.what() << '\n';
    }
    return 1;
}
