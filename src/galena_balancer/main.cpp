#include "balancer_app.h"

#include <galenafork/log.h>
#include <galenafork/program_options.h>

using namespace galenafork;

int main(int argc, char** argv)
{
    const auto settings = settings_from_command_line<balancer_settings>(
        argc, argv, "galena-balancer",
        "Receives packets from the fabric and forwards each to the agent "
        "that is the home of its flow.");
    if (!settings)
    {
        return static_cast<int>(settings.error());
    }
    configure_log(level_of(*settings), "galena-balancer");
    const auto app = balancer_app::open(*settings);
    if (!app)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", app.error().message_}});
        return static_cast<int>(exit_code::failure);
    }
    return static_cast<int>((*app)->run());
}
