#include "pass_agent_daemon.h"

#include <libpassd/daemon_setup.h>

using namespace galenafork;

int main(int argc, char** argv)
{
    return run_pass_daemon<pass_agent_daemon>(
        argc, argv, "galena-pass-agent",
        "Forwards to its upstream the passthrough flows that it can serve.");
}
