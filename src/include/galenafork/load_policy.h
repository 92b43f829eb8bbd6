/// \file
/// Load policy: which member owns a new flow, whether a request is admitted,
/// whether a retry is allowed and how much time the upstream gets. Free
/// functions over plain structs; time and random numbers are arguments.

#ifndef GALENAFORK_LOAD_POLICY_H
#define GALENAFORK_LOAD_POLICY_H

#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/load_settings.h>
#include <galenafork/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace galenafork
{

/// One member as the home of a bucket sees it at the time of a placement.
struct load_candidate
{
    member_index member_;
    /// In the home's data centre.
    bool same_data_centre_ = true;
    /// True if the member is serving and has not expired. Otherwise it is never
    /// chosen.
    bool accepts_new_flows_ = true;
    slot_count slots_{1};
    /// Requests queued or in flight at the member, counted by its agent: exact
    /// for the home, as last reported for the others.
    double in_flight_ = 0;
    /// Flows that this home assigned to the member since its last report. May
    /// be decayed over time; see `assigned_flows`.
    double assigned_since_report_ = 0;
    /// Requests in flight as the upstream itself reports them; the report may
    /// be false.
    std::optional<double> upstream_report_;
    /// Smoothed service time of one request, measured by the member's agent.
    /// Zero: unknown.
    duration service_time_{0};
    /// How long the member has been serving; see `slow_start_settings`.
    duration serving_for_ = duration::max();
};

/// Returns the fraction of its full weight that a member has during slow start:
/// rises from `floor_` right after the start to 1 at `length_`.
double slow_start_factor(duration serving_for,
                         const slow_start_settings& settings);

/// Returns a member's weight in a placement: its slots, at least one, times
/// `slow_start_factor`.
double effective_slots(const load_candidate& candidate,
                       const load_settings& settings);

/// Returns the median of the known service times of the `candidates` that
/// accept new flows; zero if there is none.
duration median_service_time(const std::vector<load_candidate>& candidates);

/// Returns the factor by which `service_time` exceeds `median` times
/// `slowness_tolerance_`: at least 1, at most `slowness_limit_`. Returns 1 if
/// the median is unknown (zero).
double slowness_factor(duration service_time, duration median,
                       const placement_settings& settings);

/// Returns the requests per effective slot that `candidate` would have with one
/// more flow, times its slowness factor against `median`. The upstream's report
/// can raise the score by a factor of at most `1 + report_influence_` and never
/// lowers it.
double load_score(const load_candidate& candidate, duration median,
                  const load_settings& settings);

/// Flows that a home assigned to one member since the member's last report. The
/// count decays with the member's service time, after which a flow's request
/// has usually ended. It starts from zero with each report.
struct assigned_flows
{
    double count_ = 0;
    instant counted_at_;
};

/// Returns `flows` after the decay until `now`.
assigned_flows decay(const assigned_flows& flows, duration service_time,
                     instant now);

/// Returns `flows` after the decay until `now`, with one more flow assigned
/// then.
assigned_flows add_flow(const assigned_flows& flows, duration service_time,
                        instant now);

/// Random numbers for one placement, each uniform in [0, 1).
struct placement_random_values
{
    double first_ = 0;
    double second_ = 0;
};

/// Why a member was chosen as owner.
enum class placement_reason
{
    /// The home's load score does not exceed the candidate's by more than the
    /// margins, or there is no other candidate.
    home,
    /// A member in the home's data centre has a load score lower by more than
    /// the home margin.
    less_loaded,
    /// A member in another data centre has a load score lower by more than the
    /// home margin and the locality margin together.
    less_loaded_remote,
    /// The home itself accepts no new flows.
    home_closed,
};

/// Returns the enumerator's name.
const char* to_string(placement_reason reason);

/// The result of a placement.
struct placement
{
    /// Index into the candidates.
    std::size_t index_ = 0;
    placement_reason reason_ = placement_reason::home;
};

/// Chooses the owner of a new flow among `candidates`, of which
/// `candidates[home]` is the home of the flow's bucket. Picks two other
/// candidates at random, weighted by effective slots, and compares the one with
/// the lower load score with the home. The home keeps the flow unless its own
/// score is higher by more than the margins of `settings`. Members that accept
/// no new flows are never chosen. Empty if no candidate accepts new flows.
std::optional<placement>
choose_owner(const std::vector<load_candidate>& candidates, std::size_t home,
             const load_settings& settings,
             const placement_random_values& random_values);

/// Load of an agent's own upstream when a request arrives.
struct upstream_load
{
    slot_count slots_{1};
    /// Requests queued or in flight at the upstream, by the agent's count.
    std::uint32_t in_flight_ = 0;
    /// Smoothed service time of one request at the upstream.
    duration service_time_{0};
    bool draining_ = false;
};

/// The properties of a request on which its admission depends.
struct admission_request
{
    /// When the answer becomes useless to the caller.
    std::optional<instant> deadline_;
    /// First request of a flow; a draining member refuses it.
    bool opens_flow_ = false;
    /// The flow's last request was refused, so this one consumes retry budget.
    bool is_retry_ = false;
};

/// Whether a request is admitted. A refusal is made before the request reaches
/// the upstream, so its verdict is always `did_not_run`.
struct admission_decision
{
    bool admitted_ = false;
    /// For a refusal: `did_not_run` and the reason.
    verdict verdict_{run_state::did_not_run, refusal::none};
    /// For the refusal `overloaded`: how long the caller is to wait before a
    /// retry.
    duration retry_after_{0};
};

/// Token bucket for retries: a first request adds `retry_ratio_` tokens, a
/// retry takes one. It starts empty, so that over any history there are at most
/// `retry_ratio_` retries for each first request.
struct retry_budget
{
    double tokens_ = 0;
};

/// Returns `budget` after one first request: `retry_ratio_` tokens more, up to
/// `retry_burst_`.
retry_budget credit_request(const retry_budget& budget,
                            const retry_settings& settings);

/// True if `budget` allows a retry.
bool allows_retry(const retry_budget& budget);

/// Returns `budget` after one retry; unchanged if it allows none.
retry_budget consume_retry(const retry_budget& budget);

/// Decides whether a request may go to the upstream at `now`. Refuses, in this
/// order: `draining` (a new flow), `deadline_passed`, `overloaded` (the queue
/// is full, the request would not finish before the deadline, or it is a retry
/// beyond `budget`). `jitter`, uniform in [0, 1), varies the retry hint. After
/// an admission the caller has to apply `credit_request` (first request) or
/// `consume_retry` (retry).
admission_decision admit(const upstream_load& load,
                         const admission_request& request,
                         const retry_budget& budget,
                         const load_settings& settings, instant now,
                         double jitter);

/// Returns the time that the upstream gets for a request: the time until the
/// caller's deadline less `return_time_`, at most `request_time_limit_`.
/// Returns the limit if there is no deadline, and nothing if no time is left
/// and the request must not be forwarded.
std::optional<duration> time_for_upstream(std::optional<instant> deadline,
                                          const deadline_settings& settings,
                                          instant now);

/// A member's load as reported to its peers in the simulation of
/// galena-experiment; the heartbeats of agents carry `load_report`.
struct load_sample
{
    /// Smoothed number of requests in flight, see `smooth`.
    double in_flight_ = 0;
    /// The upstream's own report, if it has one.
    std::optional<double> upstream_report_;
    /// Smoothed service time of one request at the upstream.
    duration service_time_{0};
    duration serving_for_{0};
};

/// Returns an exponential moving average over continuous time: the average was
/// `current`, and the value has been `observed` for `elapsed` since then.
/// Returns `observed` if `time_constant` is not above zero.
double smooth(double current, double observed, duration elapsed,
              duration time_constant);

} // namespace galenafork

#endif
