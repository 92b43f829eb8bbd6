/// \file
/// Load policy: who owns a new flow, whether a request is admitted, whether a
/// retry is allowed and which deadline travels on. Free functions over plain
/// structs: time and random numbers are arguments.

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

/// One member as the home of a bucket sees it at the moment of a placement.
struct load_candidate
{
    member_index member_;
    /// In the home's data centre.
    bool same_data_centre_ = true;
    /// Serving, not draining, not lapsed. False: it never gets a flow.
    bool accepts_new_flows_ = true;
    slot_count slots_{1};
    /// Requests that the member's agent holds, running or queued, by the
    /// agent's own count: exact for the home, `load_sample::in_flight_` for
    /// the others.
    double in_flight_ = 0;
    /// Flows that this home gave the member since that report was made and
    /// that still count, see `assigned_flows`.
    double assigned_since_report_ = 0;
    /// Requests in flight as the upstream itself reports them; may lie.
    std::optional<double> upstream_report_;
    /// Smoothed time that the upstream takes for one request, by the agent's
    /// own clock. Zero: not known.
    duration service_time_{0};
    /// How long the member has been serving; see `slow_start_settings`.
    duration serving_for_ = duration::max();
};

/// The member's share of its full weight during slow start: from `floor_`
/// right after the start up to 1 from `length_` on.
double slow_start_factor(duration serving_for,
                         const slow_start_settings& settings);

/// Slots that count for weights: slots times `slow_start_factor`.
double effective_slots(const load_candidate& candidate,
                       const load_settings& settings);

/// The median of the service times of those of `candidates` that may open
/// flows and know it; zero if none does.
duration median_service_time(const std::vector<load_candidate>& candidates);

/// By how much a member with `service_time` is slower than usual, beyond
/// `slowness_tolerance_`: 1 if it is not, `slowness_limit_` at most.
double slowness_factor(duration service_time, duration usual,
                       const placement_settings& settings);

/// Requests per effective slot that `candidate` would have with one more
/// flow, times its slowness against `usual`. The upstream's report can raise
/// this by the factor `1 + report_influence_` at most and can never lower it.
double load_score(const load_candidate& candidate, duration usual,
                  const load_settings& settings);

/// Flows that a home gave one member since the member's last report. Each
/// counts less as time goes by: its request is over after about the member's
/// service time. Begin anew with each report.
struct assigned_flows
{
    double count_ = 0;
    instant counted_at_;
};

/// What is left of `flows` at `now`.
assigned_flows decay(const assigned_flows& flows, duration service_time,
                     instant now);

/// `flows` with one more given away at `now`.
assigned_flows add_flow(const assigned_flows& flows, duration service_time,
                        instant now);

/// Random numbers for one placement, each uniform in [0, 1).
struct placement_draws
{
    double first_ = 0;
    double second_ = 0;
};

/// Why a member was chosen.
enum class placement_reason
{
    /// The home's load is not clearly above the candidate's.
    home,
    /// A member in the home's data centre is clearly less loaded.
    less_loaded,
    /// A member in another data centre is less loaded by the locality margin
    /// too.
    less_loaded_remote,
    /// The home itself may open no flow.
    home_closed,
};

/// The enumerator's name.
const char* to_string(placement_reason reason);

/// The outcome of a placement.
struct placement
{
    /// Index into the candidates.
    std::size_t index_ = 0;
    placement_reason reason_ = placement_reason::home;
};

/// Chooses the owner of a new flow among `candidates`, of which
/// `candidates[home]` is the home of the flow's bucket. Two other candidates
/// are drawn with weights by effective slots; the one with the lower standing
/// is compared with the home, which keeps the flow unless its own standing is
/// above by the margins of `settings`. Members with `accepts_new_flows_` false
/// are never chosen. Empty if no candidate may open.
std::optional<placement>
choose_owner(const std::vector<load_candidate>& candidates, std::size_t home,
             const load_settings& settings, const placement_draws& draws);

/// What an agent knows of its own upstream when a request comes in.
struct upstream_load
{
    slot_count slots_{1};
    /// Requests passed on to the upstream or queued, by the agent's count.
    std::uint32_t in_flight_ = 0;
    /// Smoothed time that the upstream takes for one request.
    duration service_time_{0};
    bool draining_ = false;
};

/// What admission has to know of a request.
struct admission_request
{
    /// When the answer is worthless.
    std::optional<instant> deadline_;
    /// First request of a flow: refused on a draining member.
    bool opens_flow_ = false;
    /// The flow's last request was refused: this one spends retry budget.
    bool is_retry_ = false;
};

/// Whether a request goes on; a refusal comes before anything reached the
/// upstream, so it is always `did_not_run`.
struct admission_decision
{
    bool admitted_ = false;
    /// For a refusal: `did_not_run` and the reason.
    verdict verdict_{run_state::did_not_run, refusal::none};
    /// For a refusal: when a retry has a chance.
    duration retry_after_{0};
};

/// Retries allowed, in tokens: a first request adds `retry_ratio_`, a retry
/// takes one. Begins empty, so that over any history retries stay at or below
/// `retry_ratio_` of first requests.
struct retry_budget
{
    double tokens_ = 0;
};

/// Adds one first request's share to `budget`, up to `retry_burst_`.
retry_budget credit_request(const retry_budget& budget,
                            const retry_settings& settings);

/// True if `budget` allows a retry.
bool allows_retry(const retry_budget& budget);

/// `budget` after one retry; unchanged if it allows none.
retry_budget consume_retry(const retry_budget& budget);

/// Decides whether a request may go to the upstream at `now`. Refuses, in this
/// order: `draining` (a new flow), `deadline_passed`, `overloaded` (queue
/// full, the deadline would pass in the queue, or a repeat beyond `budget`).
/// `jitter`, uniform in [0, 1), spreads the retry hints. The caller then calls
/// `credit_request` (first request) or `consume_retry` (repeat) if it was
/// admitted.
admission_decision admit(const upstream_load& load,
                         const admission_request& request,
                         const retry_budget& budget,
                         const load_settings& settings, instant now,
                         double jitter);

/// Time that the upstream is given for a request: what is left until the
/// caller's deadline less `return_time_`, at most `request_time_limit_`. Empty
/// if nothing is left: the request must not be passed on.
std::optional<duration> time_for_upstream(std::optional<instant> deadline,
                                          const deadline_settings& settings,
                                          instant now);

/// What a heartbeat tells peers of a member's load.
struct load_sample
{
    /// Smoothed count of requests in flight, see `smooth`.
    double in_flight_ = 0;
    /// The upstream's own report, if it has one.
    std::optional<double> upstream_report_;
    /// Smoothed time that the upstream takes for one request.
    duration service_time_{0};
    duration serving_for_{0};
};

/// Exponential average of a value that changed at instants: `current` after
/// the value was `observed` for `elapsed`.
double smooth(double current, double observed, duration elapsed,
              duration time_constant);

} // namespace galenafork

#endif
