/// \file
/// Upstream stand-in: a program around `upstream`.

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
    std::int64_t load_lag_ms_ = 0;
    upstream_settings settings_;
};

po::options_description describe(arguments& a)
{
    upstream_settings& s = a.settings_;
    po::options_description options("upstream_standin");
    auto add = options.add_options();
    add("listen", po::value(&a.listen_)->required(), "IP:PORT (UDP)");
    add("service", po::value(&a.service_)->required(), "name of the service");
    add("instance", po::value(&a.instance_)->required(),
        "name of the instance");
    add("slots", po::value(&a.slots_), "requests served side by side");
    add("queue", po::value(&s.queue_limit_), "requests that may wait");
    add("status-ms", po::value(&a.status_ms_), "time to serve GET /status");
    add("intake-ms", po::value(&a.intake_ms_), "time to serve POST /intake");
    add("photo-ms", po::value(&a.photo_ms_), "time to serve a photo block");
    add("photo-bytes", po::value(&s.photo_bytes_), "size of a photo set");
    add("cold-ms", po::value(&a.cold_ms_), "length of the cold start");
    add("cold-factor", po::value(&s.cold_factor_),
        "how much slower while cold");
    add("load-lag-ms", po::value(&a.load_lag_ms_), "age of GET /load at worst");
    add("load-bias-permille", po::value(&s.load_bias_permille_),
        "reported load in thousandths of the true one");
    add("echo", po::bool_switch(&s.echo_), "echo opaque datagrams");
    add("ledger", po::value(&s.ledger_path_),
        "file that each run of an intake is appended to");
    return options;
}

upstream_settings settings_of(const arguments& a)
{
    upstream_settings settings = a.settings_;
    settings.listen_ = endpoint_argument(a.listen_);
    settings.service_ = service_name(a.service_);
    settings.instance_ = instance_id(a.instance_);
    settings.slots_ = slot_count(a.slots_);
    settings.status_time_ = milliseconds(a.status_ms_);
    settings.intake_time_ = milliseconds(a.intake_ms_);
    settings.photo_time_ = milliseconds(a.photo_ms_);
    settings.cold_time_ = milliseconds(a.cold_ms_);
    settings.load_lag_ = milliseconds(a.load_lag_ms_);
    return settings;
}

int run(const arguments& a)
{
    event_loop loop;
    upstream u(loop, settings_of(a));
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
        .with("shed", c.shed_)
        .with("late", c.late_)
        .with("cancelled", c.cancelled_)
        .with("malformed", c.malformed_)
        .with("runs", u.runs().runs())
        .with("doubled", u.runs().doubled());
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe(a), [&a] { return run(a); });
}
