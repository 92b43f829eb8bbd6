#include "balancer_daemon.h"

#include <libpassd/daemon_setup.h>

using namespace galenafork;

namespace
{

constexpr const char* hedge_option = "hedge-percent";

} // namespace

int main(int argc, char** argv)
{
    const std::vector<percent_option> options = {
        {hedge_option,
         "maximum number of hedges per hundred opening segments of idempotent "
         "rules, 0 to 100; 0 disables hedging",
         0}};
    const auto start = read_pass_settings(
        argc, argv, "galena-pass-balancer",
        "Sends passthrough flows to the agents of their upstreams.", options);
    if (!start)
    {
        return static_cast<int>(start.error());
    }
    hedge_settings hedging;
    hedging.percent_ = start->percents_.at(hedge_option);
    return run_daemon(balancer_daemon::open(start->settings_, hedging));
}
