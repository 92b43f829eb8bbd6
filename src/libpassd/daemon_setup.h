/// \file
/// What the two passthrough daemons set up alike.

#ifndef LIBPASSD_DAEMON_SETUP_H
#define LIBPASSD_DAEMON_SETUP_H

#include <galenafork/control_loop.h>
#include <galenafork/log.h>
#include <galenafork/platform_client.h>
#include <galenafork/program_options.h>
#include <libpassd/packet_io.h>
#include <platform/instance_settings.h>

#include <kj/common.h>
#include <memory>

namespace galenafork
{

/// How long decisions wait before they are written.
inline constexpr duration log_flush_interval = std::chrono::milliseconds(250);

/// The duration in kj's unit.
kj::Duration to_kj(duration d);

/// The port of RPC between balancers.
std::uint16_t rpc_port(const platform_adapter::instance_settings& settings);

/// Addresses of segments and of messages between peers.
packet_addresses
packet_addresses_of(const platform_adapter::instance_settings& settings);

/// How the store is called: outages are met with a steady, slow retry, so that
/// entries are back within two seconds of its return.
platform_settings
store_settings(const platform_adapter::instance_settings& settings);

/// The control thread with all HTTP addresses of the instance.
tl::expected<std::unique_ptr<control_loop>, error>
open_control(const platform_adapter::instance_settings& settings,
             const metrics_registry& metrics);

/// Name of the entry of `host` in `collection`.
std::string entry_name(const char* collection, host_address host);

/// What an entry tells of this instance.
std::string entry_value(const platform_adapter::instance_settings& settings);

/// The instances that the entries of a collection name. Entries of another
/// form are logged and left out.
std::vector<host_address> hosts_of(const std::vector<platform_object>& entries);

/// Reads the command line and the settings file that the environment or
/// `--config` names. Fails with the exit code if there is nothing to start.
tl::expected<platform_adapter::instance_settings, exit_code>
read_pass_settings(int argc, const char* const* argv, const char* program,
                   const char* summary);

/// The main function of a daemon.
template <class Daemon>
int run_pass_daemon(int argc, const char* const* argv, const char* program,
                    const char* summary)
{
    const auto settings = read_pass_settings(argc, argv, program, summary);
    if (!settings)
    {
        return static_cast<int>(settings.error());
    }
    const auto daemon = Daemon::open(*settings);
    if (!daemon)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", daemon.error().message_}});
        return static_cast<int>(exit_code::failure);
    }
    return static_cast<int>((*daemon)->run());
}

} // namespace galenafork

#endif
