#include "agent_app.h"

#include <galenafork/log.h>
#include <galenafork/program_options.h>

using namespace galenafork;

int main(int argc, char** argv)
{
    const auto config = settings_from_command_line<agent_config>(
        argc, argv, "galena-agent",
        "Owns flows and sends their packets to the upstream beside it.");
    if (!config)
    {
        return static_cast<int>(config.error());
    }
    configure_log(level_of(*config), "galena-agent");
    const auto app = agent_app::open(*config);
    if (!app)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", app.error().message_}});
        return static_cast<int>(exit_code::failure);
    }
    return static_cast<int>((*app)->run());
}
