/// \file
/// What an experiment runs: services, network, faults and scenarios, as read
/// from a TOML file.

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

/// One service and the work that its callers bring.
struct service_setup
{
    std::string name_;
    std::vector<std::uint32_t> servers_per_data_centre_;
    slot_count slots_{1};
    /// Mean time that a request holds a slot; exponentially distributed.
    duration request_cost_{0};
    /// Requests of a flow: bounded Pareto distribution.
    double flow_min_requests_ = 1;
    double flow_max_requests_ = 1;
    double flow_tail_ = 1.5;
    /// Exponent of the Zipf distribution of flows over buckets; zero: even.
    double bucket_skew_ = 0;
    /// Mean pause of a caller between an answer and the next request.
    duration think_time_{0};
    /// Time after which an answer is worthless to its caller.
    duration deadline_{0};
};

/// One-way delays.
struct network_setup
{
    duration within_data_centre_{50};
    duration between_data_centres_{500};
    duration caller_{3000};
};

/// How the deputies of one member's buckets are chosen.
enum class deputy_rule
{
    /// The same number of buckets to each other member.
    spread,
    /// All buckets to the next member.
    neighbour,
};

/// How long a run is and how news travels in it.
struct run_setup
{
    /// Left out of every figure.
    duration warm_up_ = std::chrono::seconds(5);
    duration length_ = std::chrono::seconds(25);
    duration heartbeat_interval_ = std::chrono::milliseconds(100);
    /// Time constant of the count that a heartbeat carries.
    duration smoothing_ = std::chrono::milliseconds(100);
    /// From a planned change of a member until every home knows.
    duration roster_delay_ = std::chrono::milliseconds(500);
    /// From the loss of a member until its buckets have another home.
    duration takeover_delay_ = std::chrono::seconds(2);
    /// Who takes over the buckets of lost members.
    deputy_rule deputies_ = deputy_rule::spread;
    /// After which a caller repeats a request that got no answer.
    duration retransmit_timeout_ = std::chrono::seconds(2);
    /// Retry hints reach callers rounded up to a multiple of this: CoAP's
    /// Max-Age counts seconds.
    duration hint_unit_ = std::chrono::seconds(1);
};

/// Strength of the faults that scenarios name.
struct fault_setup
{
    /// Cost of a request on a member that just started, falling to 1.
    double cold_cost_factor_ = 4;
    duration cold_length_ = std::chrono::seconds(5);
    double slow_cost_factor_ = 3;
    duration report_lag_ = std::chrono::seconds(5);
};

/// What goes wrong in a scenario.
enum class fault_kind
{
    none,
    /// The first member is absent until the fault, then starts cold.
    cold_start,
    /// The first member drains.
    drain,
    /// The first member's upstream takes longer for each request.
    slow_upstream,
    /// The first member's upstream reports its load of seconds ago.
    report_lags,
    /// The first member's upstream reports no load.
    report_zero,
    /// The first member's upstream reports its idle slots as load.
    report_inverted,
    /// The first member's upstream reports a full queue.
    report_full,
    /// The first member is gone without notice.
    member_lost,
    /// The members of the first data centre are gone without notice.
    data_centre_leaves,
};

/// One run: offered load, fault, callers' behaviour.
struct scenario
{
    std::string name_;
    /// Offered work as a share of all slots.
    double load_ = 0.7;
    fault_kind fault_ = fault_kind::none;
    /// When the fault comes, from the start of the run.
    duration fault_at_ = std::chrono::seconds(10);
    /// How often a caller repeats a refused or lost request.
    std::uint32_t caller_retries_ = 1;
    /// Callers come back after `impatient_wait` whatever the hint says.
    bool callers_ignore_hint_ = false;
};

/// Pause before a retry of a caller that ignores the hint.
inline constexpr duration impatient_wait = std::chrono::milliseconds(20);

/// A whole experiment file.
struct experiment_setup
{
    std::vector<service_setup> services_;
    std::vector<scenario> scenarios_;
    network_setup network_;
    run_setup run_;
    fault_setup faults_;
    load_settings policy_;
};

/// Reads the file at `path`. Fails with every fault of the file, each as
/// `file:line: sentence`.
tl::expected<experiment_setup, std::vector<std::string>>
read_setup(const std::string& path);

/// Number of members of a service.
std::size_t member_count(const service_setup& service);

/// Work that a service can do, in requests per second.
double capacity(const service_setup& service);

} // namespace galenafork::pvt

#endif
