/// \file
/// A caller that is an ordinary libcoap client.

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

po::options_description describe(arguments& a)
{
    po::options_description options("libcoap_caller");
    auto add = options.add_options();
    add("orders", po::value(&a.orders_)->required(), "IP:PORT of orders");
    add("photos", po::value(&a.photos_)->required(), "IP:PORT of photos");
    add("callers", po::value(&a.callers_), "callers side by side");
    add("requests", po::value(&a.requests_), "orders requests of a session");
    add("photo-sets", po::value(&a.photo_sets_), "photo sets of a session");
    add("duration-ms", po::value(&a.duration_ms_),
        "rounds of sessions begin for that long");
    add("limit-ms", po::value(&a.limit_ms_), "longest run");
    add("tag", po::value(&a.tag_), "mark of this run's requests");
    add("intakes", po::value(&a.intakes_),
        "file for what became of each intake");
    return options;
}

// Opens the sessions of round `round`; each is a flow of its own.
void add_round(const arguments& a, unsigned round, client& c, tally& counts)
{
    for (unsigned i = 0; i < a.callers_; ++i)
    {
        const std::string tag =
            a.tag_ + "-" + std::to_string(round) + "-" + std::to_string(i);
        c.add({session_kind::orders, endpoint_argument(a.orders_),
               service_name("orders"), a.requests_, tag + "-o"},
              counts);
        c.add({session_kind::photos, endpoint_argument(a.photos_),
               service_name("photos"), a.photo_sets_, tag + "-p"},
              counts);
    }
}

int run(const arguments& a)
{
    tally counts(a.intakes_);
    client c;
    const instant end = read_monotonic_clock() + milliseconds(a.duration_ms_);
    unsigned rounds = 0;
    const bool done = c.run(milliseconds(a.limit_ms_),
                            [&]
                            {
                                if (rounds == 0 || read_monotonic_clock() < end)
                                {
                                    add_round(a, rounds, c, counts);
                                    ++rounds;
                                }
                            });
    counts.log_details();
    std::cout << counts.summary() << std::endl;
    return done && counts.is_clean() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    arguments a;
    return run_program(argc, argv, describe(a), [&a] { return run(a); });
}
