/// \file
/// Discrete event simulation of one service with its callers, homes, owners and
/// injected faults. It decides with the same policy functions as the agents.

#ifndef GALENAFORK_EXPERIMENT_SIMULATION_H
#define GALENAFORK_EXPERIMENT_SIMULATION_H

#include "buckets.h"
#include "run_metrics.h"
#include "strategy.h"

#include <queue>
#include <vector>

namespace galenafork::pvt
{

/// Setup, workload, strategy and seed of one run.
struct run_input
{
    const experiment_setup* setup_ = nullptr;
    const service_setup* service_ = nullptr;
    const scenario* scenario_ = nullptr;
    const std::vector<workload_flow>* workload_ = nullptr;
    strategy strategy_ = strategy::policy;
    std::uint64_t seed_ = 0;
};

/// Metrics of one run, and the load of the members over time.
struct run_output
{
    run_metrics metrics_;
    std::vector<load_window> windows_;
};

/// Runs one scenario of one service under one strategy. Equal input gives equal
/// output.
run_output run(const run_input& input);

/// Event loop and state of one run.
class simulation
{
public:
    explicit simulation(const run_input& input);

    /// Runs until the end of the measured period and returns the output.
    run_output run_to_end();

private:
    enum class event_kind
    {
        request_at_home,
        request_at_owner,
        request_done,
        heartbeat,
        fault,
        roster_update,
    };

    struct event
    {
        instant at_;
        /// Events at the same instant are handled in order of creation.
        std::uint64_t sequence_ = 0;
        event_kind kind_ = event_kind::request_at_home;
        std::uint32_t flow_ = 0;
        std::size_t member_ = 0;
        std::uint32_t incarnation_ = 0;

        friend bool operator>(const event& a, const event& b)
        {
            return a.at_ != b.at_ ? a.at_ > b.at_ : a.sequence_ > b.sequence_;
        }
    };

    /// State of a flow, which has at most one request at a time.
    struct flow_progress
    {
        std::size_t owner_ = no_simulated_member;
        std::uint32_t owner_incarnation_ = 0;
        std::uint32_t request_index_ = 0;
        std::uint32_t attempt_ = 0;
        /// When the caller sent the first attempt of the request, and the
        /// latest one.
        instant first_sent_at_;
        instant sent_at_;
        instant started_at_;
        /// True while the request runs at the owner or is in its queue.
        bool at_owner_ = false;
    };

    void start_members();
    void handle(const event& e);
    void schedule(instant at, event_kind kind, std::uint32_t flow,
                  std::size_t member = no_simulated_member);

    void send_request(std::uint32_t flow, instant sent_at);
    void send_next_request(std::uint32_t flow, instant previous_ended_at);
    void retry_or_fail(std::uint32_t flow, instant failed_at, duration wait);

    duration retry_wait(duration hint) const;

    void handle_at_home(std::uint32_t flow);
    void handle_at_owner(std::uint32_t flow, std::size_t owner,
                         std::uint32_t owner_incarnation);
    void complete_request(const event& e);
    std::size_t open_flow(std::size_t home);
    void fill_placement_view(std::size_t home);
    load_candidate make_candidate(std::size_t home, std::size_t member) const;
    admission_decision decide_admission(const simulated_member& m,
                                        std::uint32_t flow);
    void start_or_queue(std::uint32_t flow, std::size_t owner);
    void start_request(std::uint32_t flow, std::size_t owner);
    void start_queued_requests(std::size_t member);
    bool is_past_deadline(std::uint32_t flow) const;

    void send_heartbeat(std::size_t member);
    void inject_fault();
    void remove_lost_member(std::size_t member);
    void apply_roster_update();

    instant request_deadline(std::uint32_t flow) const;
    duration one_way_delay(std::size_t from, std::size_t to) const;
    void update_averages(std::size_t member);
    void record_load(std::size_t member);

    const run_input input_;
    const service_setup& service_;
    const scenario& scenario_;
    const network_setup& network_;
    const run_setup& run_setup_;
    const load_settings& policy_;
    const std::vector<workload_flow>& workload_;
    instant end_;
    instant now_;
    random_source random_;
    std::size_t round_robin_index_ = 0;
    std::uint64_t next_event_sequence_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<simulated_member> members_;
    bucket_homes homes_{};
    std::vector<flow_progress> flows_;
    std::vector<load_sample> reports_;
    /// Flows that each home assigned to each member since that member's last
    /// report; the first index is the home.
    std::vector<std::vector<assigned_flows>> assigned_;
    /// Reused for all placements, to avoid allocations.
    placement_view view_;
    metrics_recorder metrics_recorder_;
};

} // namespace galenafork::pvt

#endif
