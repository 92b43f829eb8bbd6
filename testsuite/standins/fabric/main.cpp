/// \file
/// Fabric stand-in: a program around `fabric`.

#include "fabric.h"

#include <common/log.h>
#include <common/options.h>

using namespace galenafork;
using namespace galenafork::standin;

namespace po = boost::program_options;

namespace
{

struct arguments
{
    std::vector<std::string> services_;
    std::string answers_;
    std::vector<std::string> balancers_;
    fabric_settings settings_;
};

po::options_description describe(arguments& a)
{
    fabric_settings& s = a.settings_;
    link_faults& f = s.faults_;
    po::options_description options("fabric_standin");
    auto add = options.add_options();
    add("service", po::value(&a.services_)->composing()->required(),
        "LISTEN=SERVICE_ADDRESS, both IP:PORT; repeatable");
    add("answers", po::value(&a.answers_)->required(),
        "IP:PORT that agents send answers to");
    add("balancer", po::value(&a.balancers_)->composing(),
        "IP:PORT of a balancer; repeatable");
    add("balancers-file", po::value(&s.balancers_file_),
        "file of balancers, one a line; read again when it changes");
    add("drop-permille", po::value(&f.drop_permille_), "datagrams lost");
    add("duplicate-permille", po::value(&f.duplicate_permille_),
        "datagrams sent twice");
    add("reorder-permille", po::value(&f.reorder_permille_),
        "datagrams held back up to 20 ms");
    add("trace-permille", po::value(&s.trace_permille_),
        "datagrams that start a trace");
    add("seed", po::value(&s.seed_), "seed of every random choice");
    return options;
}

fabric_settings settings_of(const arguments& a)
{
    fabric_settings settings = a.settings_;
    settings.answers_ = endpoint_argument(a.answers_);
    for (const std::string& service : a.services_)
    {
        settings.services_.push_back(endpoint_pair_argument(service));
    }
    for (const std::string& balancer : a.balancers_)
    {
        settings.balancers_.push_back(endpoint_argument(balancer));
    }
    return settings;
}

int run(const arguments& a)
{
    event_loop loop;
    loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    const fabric f(loop, settings_of(a));
    log_line("ready").with("answers", a.answers_);
    loop.run();
    const fabric_counters& c = f.counters();
    log_line("stopped")
        .with("to_balancers", c.to_balancers_)
        .with("to_callers", c.to_callers_)
        .with("dropped", c.dropped_)
        .with("duplicated", c.duplicated_)
        .with("reordered", c.reordered_)
        .with("no_balancer", c.no_balancer_)
        .with("bad_answers", c.bad_answers_);
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe(a), [&a] { return run(a); });
}
