/// \file
/// The upstream stand-in as a program.

#include "upstream.h"

#include <common/log.h>
#include <common/options.h>

using namespace galenafork;
using namespace galenafork::standin;

namespace po = boost::program_options;

namespace
{

struct arguments
{
    std::string listen_;
    std::string service_;
    std::string instance_;
    std::uint32_t slots_ = 3;
    std::int64_t status_ms_ = 2;
    std::int64_t intake_ms_ = 5;
    std::int64_t photo_ms_ = 1;
    std::int64_t cold_ms_ = 0;
    std::int64_t load_report_interval_ms_ = 0;
    upstream_settings settings_;
};

po::options_description describe_options(arguments& a)
{
    upstream_settings& s = a.settings_;
    po::options_description options("upstream_standin");
    auto add = options.add_options();
    add("listen", po::value(&a.listen_)->required(), "IP:PORT (UDP)");
    add("service", po::value(&a.service_)->required(), "name of the service");
    add("instance", po::value(&a.instance_)->required(),
        "name of the instance");
    add("slots", po::value(&a.slots_), "requests served concurrently");
    add("queue", po::value(&s.queue_limit_),
        "maximum number of queued requests");
    add("status-ms", po::value(&a.status_ms_), "time to serve GET /status");
    add("intake-ms", po::value(&a.intake_ms_), "time to serve POST /intake");
    add("photo-ms", po::value(&a.photo_ms_), "time to serve a photo block");
    add("photo-bytes", po::value(&s.photo_bytes_), "size of a photo set");
    add("cold-ms", po::value(&a.cold_ms_), "length of the cold start");
    add("cold-factor", po::value(&s.cold_factor_),
        "factor on service times during the cold start");
    add("load-lag-ms", po::value(&a.load_report_interval_ms_),
        "maximum age of the report of GET /load");
    add("load-bias-permille", po::value(&s.load_bias_permille_),
        "reported load in thousandths of the actual load");
    add("echo", po::bool_switch(&s.echo_),
        "echo opaque datagrams instead of serving CoAP");
    add("ledger", po::value(&s.ledger_path_),
        "file to which the id of each intake run is appended");
    return options;
}

upstream_settings make_settings(const arguments& a)
{
    upstream_settings settings = a.settings_;
    settings.listen_ = endpoint_argument(a.listen_);
    settings.service_ = service_name(a.service_);
    settings.instance_ = instance_id(a.instance_);
    settings.slots_ = slot_count(a.slots_);
    settings.status_time_ = milliseconds(a.status_ms_);
    settings.intake_time_ = milliseconds(a.intake_ms_);
    settings.photo_time_ = milliseconds(a.photo_ms_);
    settings.cold_start_length_ = milliseconds(a.cold_ms_);
    settings.load_report_interval_ = milliseconds(a.load_report_interval_ms_);
    return settings;
}

int run(const arguments& a)
{
    event_loop loop;
    upstream u(loop, make_settings(a));
    loop.on_signal(SIGTERM, [&u] { u.drain(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    log_line("ready")
        .with("service", a.service_)
        .with("instance", a.instance_)
        .with("listen", a.listen_);
    loop.run();
    const upstream_counters& c = u.counters();
    log_line("stopped")
        .with("service", a.service_)
        .with("instance", a.instance_)
        .with("served", c.served_)
        .with("shed", c.refused_)
        .with("late", c.expired_)
        .with("cancelled", c.cancelled_)
        .with("malformed", c.malformed_)
        .with("runs", u.run_ledger().runs())
        .with("doubled", u.run_ledger().duplicated_ids());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe_options(a),
                       [&a] { return run(a); });
}
