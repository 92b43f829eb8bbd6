/// \file
/// The fabric stand-in as a program.

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

po::options_description describe_options(arguments& a)
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
        "file with one balancer per line; reloaded when it changes");
    add("drop-permille", po::value(&f.drop_permille_),
        "permille of datagrams that are dropped");
    add("duplicate-permille", po::value(&f.duplicate_permille_),
        "permille of datagrams that are sent twice");
    add("reorder-permille", po::value(&f.reorder_permille_),
        "permille of datagrams that are delayed by up to 20 ms");
    add("trace-permille", po::value(&s.trace_permille_),
        "permille of the callers' datagrams that start a trace");
    add("seed", po::value(&s.seed_), "seed of all random choices");
    return options;
}

fabric_settings make_settings(const arguments& a)
{
    fabric_settings settings = a.settings_;
    settings.answer_endpoint_ = endpoint_argument(a.answers_);
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
    const fabric f(loop, make_settings(a));
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
    return run_program(argc, argv, describe_options(a),
                       [&a] { return run(a); });
}
