/// \file
/// Setup of an experiment, read from a TOML file: services, network, injected
/// faults, scenarios and settings of the load policy.

#ifndef GALENAFORK_EXPERIMENT_SETUP_H
#define GALENAFORK_EXPERIMENT_SETUP_H

#include <galenafork/ids.h>
#include <galenafork/load_settings.h>
#include <galenafork/time.h>

#include <cstdint>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork::pvt
{

/// One service and the requests that its callers send.
struct service_setup
{
    std::string name_;
    std::vector<std::uint32_t> servers_per_data_centre_;
    slot_count slots_{1};
    /// Mean time that a request occupies a slot; exponentially distributed.
    duration request_cost_{0};
    /// Range and shape of the bounded Pareto distribution of the number of
    /// requests in a flow.
    double flow_min_requests_ = 1;
    double flow_max_requests_ = 1;
    double flow_tail_ = 1.5;
    /// Exponent of the Zipf distribution of flows over buckets; zero makes it
    /// uniform.
    double bucket_skew_ = 0;
    /// Mean pause of a caller between an answer and the next request;
    /// exponentially distributed.
    duration think_time_{0};
    /// Time from the first attempt of a request after which its answer is of no
    /// use to the caller.
    duration deadline_{0};
};

/// One-way delays.
struct network_setup
{
    duration within_data_centre_{50};
    duration between_data_centres_{500};
    /// Between a caller and any data centre.
    duration caller_{3000};
};

/// How the deputies of one member's buckets are chosen.
enum class deputy_assignment
{
    /// Buckets are distributed over the other members by slots.
    spread,
    /// All buckets have the next member as their deputy.
    neighbour,
};

/// Length of a run and the delays of its heartbeats, rosters and callers.
struct run_setup
{
    /// Time at the start of a run that metrics leave out.
    duration warm_up_ = std::chrono::seconds(5);
    /// Length of the measured period, which follows the warm-up.
    duration length_ = std::chrono::seconds(25);
    duration heartbeat_interval_ = std::chrono::milliseconds(100);
    /// Time constant of the smoothed count of requests in flight that
    /// heartbeats carry.
    duration smoothing_time_constant_ = std::chrono::milliseconds(100);
    /// Time from a planned change of a member until every home has the new
    /// roster.
    duration roster_delay_ = std::chrono::milliseconds(500);
    /// Time from the loss of a member until its buckets have another home.
    duration takeover_delay_ = std::chrono::seconds(2);
    /// How the members that take over the buckets of lost members are chosen.
    deputy_assignment deputies_ = deputy_assignment::spread;
    /// Time after which a caller retransmits a request without an answer.
    duration retransmit_timeout_ = std::chrono::seconds(2);
    /// Retry hints are rounded up to a multiple of this time before callers get
    /// them, because CoAP's Max-Age option is in whole seconds.
    duration hint_unit_ = std::chrono::seconds(1);
};

/// Strength of the injected faults.
struct fault_setup
{
    /// Factor on the cost of a request at a member that has just started. It
    /// falls linearly to 1 over `cold_length_`.
    double cold_cost_factor_ = 4;
    duration cold_length_ = std::chrono::seconds(5);
    /// Factor on the cost of a request at a slow upstream.
    double slow_cost_factor_ = 3;
    /// Age of the load that a lagging upstream reports.
    duration report_lag_ = std::chrono::seconds(5);
};

/// The fault or planned change that a scenario injects.
enum class fault_kind
{
    none,
    /// The first member is absent until the fault, then starts cold.
    cold_start,
    /// The first member drains.
    drain,
    /// The first member's upstream takes longer for each request.
    slow_upstream,
    /// The first member's upstream reports its load of `report_lag_` ago.
    report_lags,
    /// The first member's upstream reports no load.
    report_zero,
    /// The first member's upstream reports a low load when it is high, and a
    /// high load when it is low.
    report_inverted,
    /// The first member's upstream reports a full queue.
    report_full,
    /// The first member disappears without notice.
    member_lost,
    /// All members of the first data centre disappear without notice.
    data_centre_leaves,
};

/// Offered load, injected fault and behaviour of callers in one run.
struct scenario
{
    std::string name_;
    /// Offered load as a fraction of the service's capacity.
    double load_ = 0.7;
    fault_kind fault_ = fault_kind::none;
    /// Time of the fault, from the start of the run, warm-up included.
    duration fault_at_ = std::chrono::seconds(10);
    /// Maximum number of times that a caller retries a refused or lost request.
    std::uint32_t caller_retries_ = 1;
    /// Callers retry a refused request after `retry_wait_ignoring_hint`
    /// whatever the retry hint says.
    bool callers_ignore_hint_ = false;
};

/// Time that a caller which ignores retry hints waits before a retry.
inline constexpr duration retry_wait_ignoring_hint =
    std::chrono::milliseconds(20);

/// A whole setup file.
struct experiment_setup
{
    std::vector<service_setup> services_;
    std::vector<scenario> scenarios_;
    network_setup network_;
    run_setup run_;
    fault_setup faults_;
    load_settings policy_;
};

/// Reads the setup file at `path`. Fails with all errors of the file, each as
/// `file:line: message`.
tl::expected<experiment_setup, std::vector<std::string>>
read_setup(const std::string& path);

/// Returns the number of members of a service.
std::size_t member_count(const service_setup& service);

/// Returns the number of requests per second that a service can complete when
/// all its slots are occupied.
double capacity(const service_setup& service);

} // namespace galenafork::pvt

#endif
