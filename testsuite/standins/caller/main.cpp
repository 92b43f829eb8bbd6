/// \file
/// The caller stand-in as a program: many callers of the orders service, the
/// photo archive and an echo service.

#include "load_generator.h"

#include <common/log.h>
#include <common/options.h>

using namespace galenafork;
using namespace galenafork::standin;

namespace po = boost::program_options;

namespace
{

struct arguments
{
    std::string orders_;
    std::string photos_;
    std::string echo_;
    std::string orders_name_ = "orders";
    std::string photos_name_ = "photos";
    std::string echo_name_ = "echo";
    unsigned status_flows_ = 0;
    unsigned intake_flows_ = 0;
    unsigned photo_flows_ = 0;
    unsigned udp_flows_ = 0;
    std::int64_t duration_ms_ = 5000;
    std::int64_t pause_ms_ = 50;
    std::int64_t flow_lifetime_ms_ = 3000;
    std::int64_t photo_flow_lifetime_ms_ = 6000;
    std::int64_t ack_timeout_ms_ = 300;
    std::uint64_t seed_ = 1;
    std::string intakes_;
};

po::options_description describe_options(arguments& a)
{
    po::options_description options("caller_standin");
    auto add = options.add_options();
    add("orders", po::value(&a.orders_), "IP:PORT of the orders service");
    add("photos", po::value(&a.photos_), "IP:PORT of the photo archive");
    add("echo", po::value(&a.echo_), "IP:PORT of the opaque service");
    add("orders-name", po::value(&a.orders_name_),
        "service whose instances must answer");
    add("photos-name", po::value(&a.photos_name_),
        "service whose instances must answer");
    add("echo-name", po::value(&a.echo_name_),
        "service whose instances must answer");
    add("status-flows", po::value(&a.status_flows_), "flows that GET /status");
    add("intake-flows", po::value(&a.intake_flows_), "flows that POST /intake");
    add("photo-flows", po::value(&a.photo_flows_), "flows that GET /photos");
    add("udp-flows", po::value(&a.udp_flows_), "flows of opaque datagrams");
    add("duration-ms", po::value(&a.duration_ms_),
        "time after which no further requests are started");
    add("pause-ms", po::value(&a.pause_ms_), "mean pause between requests");
    add("life-ms", po::value(&a.flow_lifetime_ms_), "lifetime of a flow");
    add("photo-life-ms", po::value(&a.photo_flow_lifetime_ms_),
        "lifetime of a photo flow");
    add("ack-timeout-ms", po::value(&a.ack_timeout_ms_),
        "timeout of the first transmission of a request");
    add("seed", po::value(&a.seed_),
        "seed of random choices; also part of every request id");
    add("intakes", po::value(&a.intakes_),
        "file to which the state of each intake request is appended");
    return options;
}

flow_group make_flow_group(const arguments& a, flow_kind kind, unsigned flows,
                           const std::string& service, const std::string& name)
{
    flow_group group;
    if (flows == 0)
    {
        return group;
    }
    const bool is_photo = kind == flow_kind::photo;
    group.flow_count_ = flows;
    group.settings_.kind_ = kind;
    group.settings_.service_endpoint_ = endpoint_argument(service);
    group.settings_.expected_service_ = service_name(name);
    group.settings_.pause_ = milliseconds(a.pause_ms_);
    group.settings_.lifetime_ = milliseconds(
        is_photo ? a.photo_flow_lifetime_ms_ : a.flow_lifetime_ms_);
    group.settings_.ack_timeout_ = milliseconds(a.ack_timeout_ms_);
    return group;
}

std::vector<flow_group> make_flow_groups(const arguments& a)
{
    return {
        make_flow_group(a, flow_kind::status, a.status_flows_, a.orders_,
                        a.orders_name_),
        make_flow_group(a, flow_kind::intake, a.intake_flows_, a.orders_,
                        a.orders_name_),
        make_flow_group(a, flow_kind::photo, a.photo_flows_, a.photos_,
                        a.photos_name_),
        make_flow_group(a, flow_kind::udp, a.udp_flows_, a.echo_, a.echo_name_),
    };
}

int run(const arguments& a)
{
    event_loop loop;
    request_stats stats(a.intakes_);
    load_generator callers(loop, make_flow_groups(a), stats, a.seed_);
    loop.on_signal(SIGTERM, [&callers] { callers.stop_gracefully(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    callers.start();
    loop.after(milliseconds(a.duration_ms_),
               [&callers] { callers.stop_gracefully(); });
    loop.run();
    stats.log_details();
    std::cout << stats.summary() << std::endl;
    return stats.is_clean() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe_options(a),
                       [&a] { return run(a); });
}
