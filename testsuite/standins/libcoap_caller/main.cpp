/// \file
/// A caller that is an unmodified libcoap client, as a program.

#include "client.h"

#include <common/options.h>

#include <iostream>

using namespace galenafork;
using namespace galenafork::standin;

namespace po = boost::program_options;

namespace
{

struct arguments
{
    std::string orders_;
    std::string photos_;
    unsigned callers_ = 3;
    unsigned requests_ = 20;
    unsigned photo_sets_ = 2;
    std::int64_t duration_ms_ = 0;
    std::int64_t limit_ms_ = 60000;
    std::string tag_ = "libcoap";
    std::string intakes_;
};

po::options_description describe_options(arguments& a)
{
    po::options_description options("libcoap_caller");
    auto add = options.add_options();
    add("orders", po::value(&a.orders_)->required(),
        "IP:PORT of the orders service");
    add("photos", po::value(&a.photos_)->required(),
        "IP:PORT of the photo archive");
    add("callers", po::value(&a.callers_), "concurrent callers");
    add("requests", po::value(&a.requests_), "requests per orders session");
    add("photo-sets", po::value(&a.photo_sets_),
        "photo sets per photos session");
    add("duration-ms", po::value(&a.duration_ms_),
        "time after which no further round of sessions is started");
    add("limit-ms", po::value(&a.limit_ms_), "maximum length of the run");
    add("tag", po::value(&a.tag_), "first part of every request id");
    add("intakes", po::value(&a.intakes_),
        "file to which the state of each intake request is appended");
    return options;
}

// Opens the sessions of a round. Each is a flow of its own.
void add_round(const arguments& a, unsigned round, client& c,
               request_stats& stats)
{
    for (unsigned i = 0; i < a.callers_; ++i)
    {
        const std::string tag =
            a.tag_ + "-" + std::to_string(round) + "-" + std::to_string(i);
        c.add({session_kind::orders, endpoint_argument(a.orders_),
               service_name("orders"), a.requests_, tag + "-o"},
              stats);
        c.add({session_kind::photos, endpoint_argument(a.photos_),
               service_name("photos"), a.photo_sets_, tag + "-p"},
              stats);
    }
}

int run(const arguments& a)
{
    request_stats stats(a.intakes_);
    client c;
    const instant end = read_monotonic_clock() + milliseconds(a.duration_ms_);
    unsigned rounds = 0;
    const bool done = c.run(milliseconds(a.limit_ms_),
                            [&]
                            {
                                if (rounds == 0 || read_monotonic_clock() < end)
                                {
                                    add_round(a, rounds, c, stats);
                                    ++rounds;
                                }
                            });
    stats.log_details();
    std::cout << stats.summary() << std::endl;
    return done && stats.is_clean() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe_options(a),
                       [&a] { return run(a); });
}
