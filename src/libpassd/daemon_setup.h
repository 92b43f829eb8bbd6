/// \file
/// Setup that the two daemons of passthrough flows share.

#ifndef LIBPASSD_DAEMON_SETUP_H
#define LIBPASSD_DAEMON_SETUP_H

#include <galenafork/control_loop.h>
#include <galenafork/log.h>
#include <galenafork/platform_client.h>
#include <galenafork/program_options.h>
#include <libpassd/packet_io.h>
#include <platform/instance_settings.h>

#include <kj/common.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace galenafork
{

/// Interval at which collected decisions are written to the log.
inline constexpr duration log_flush_interval = std::chrono::milliseconds(250);

/// Converts `d` to kj's duration type.
kj::Duration to_kj(duration d);

/// Returns the port of the RPC service that balancers offer to each other.
std::uint16_t rpc_port(const platform_adapter::instance_settings& settings);

/// Returns the UDP addresses that a daemon binds, and the address of its
/// upstream.
packet_addresses
packet_addresses_of(const platform_adapter::instance_settings& settings);

/// Returns the settings of the client for the store. The caps on backoff and on
/// the circuit breaker are low, so that entries are written again within two
/// seconds after an outage ends.
platform_settings
store_settings(const platform_adapter::instance_settings& settings);

/// Opens the control loop with all HTTP addresses and the RPC address of the
/// instance. Fails with `unavailable` if an address is taken.
tl::expected<std::unique_ptr<control_loop>, error>
open_control(const platform_adapter::instance_settings& settings,
             const metrics_registry& metrics);

/// Returns the name of the store entry of `host` in `collection`.
std::string entry_name(const char* collection, host_address host);

/// Returns the value of this instance's store entry: host, data centre and
/// service as JSON.
std::string entry_value(const platform_adapter::instance_settings& settings);

/// Returns the value of an agent's entry. It also says whether the upstream's
/// address has accepted a connection, which a restarted agent can't know.
std::string
agent_entry_value(const platform_adapter::instance_settings& settings,
                  bool upstream_accepts_connections);

/// Returns whether an agent's entry says that the upstream's address has
/// accepted a connection. False if the entry is malformed.
bool accepts_connections(const platform_object& entry);

/// Returns the hosts of the entries of a collection. An entry without a valid
/// IPv4 address of one instance as its host is logged and skipped.
std::vector<host_address> hosts_of(const std::vector<platform_object>& entries);

/// Returns the data centres that the entries of a collection name. Entries
/// without a data centre are skipped.
std::vector<data_centre>
data_centres_of(const std::vector<platform_object>& entries);

/// Settings with which a daemon starts.
struct start_settings
{
    platform_adapter::instance_settings settings_;
    /// The values of the additional options, by name.
    std::map<std::string, std::uint32_t> percents_;
};

/// Reads the command line, which may contain the additional `options`, and the
/// settings file. Without `--config` and `--check` the path of the file is read
/// from the environment variable that `settings_variable` names. Fails with the
/// exit code if the daemon is not to start: after an error, which has then been
/// printed, or after an option such as `--check`.
tl::expected<start_settings, exit_code>
read_pass_settings(int argc, const char* const* argv, const char* program,
                   const char* summary,
                   const std::vector<percent_option>& options = {});

/// Runs a daemon until it ends, unless it could not be opened. Returns the exit
/// code of the process.
template <class Daemon>
int run_daemon(const tl::expected<std::unique_ptr<Daemon>, error>& daemon)
{
    if (!daemon)
    {
        log_event(log_level::error, "start_failed",
                  {{"reason", daemon.error().message_}});
        return static_cast<int>(exit_code::failure);
    }
    return static_cast<int>((*daemon)->run());
}

/// Runs a daemon of class `Daemon`: reads its settings, opens it and runs it
/// until it ends. Returns the exit code of the process.
template <class Daemon>
int run_pass_daemon(int argc, const char* const* argv, const char* program,
                    const char* summary)
{
    const auto settings = read_pass_settings(argc, argv, program, summary);
    if (!settings)
    {
        return static_cast<int>(settings.error());
    }
    return run_daemon(Daemon::open(settings->settings_));
}

} // namespace galenafork

#endif
