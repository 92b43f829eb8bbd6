/// \file
/// A discrete event loop over one service: callers, homes, owners, faults.
/// Homes decide with the same functions as the agents.

#ifndef GALENAFORK_EXPERIMENT_SIMULATION_H
#define GALENAFORK_EXPERIMENT_SIMULATION_H

#include "buckets.h"
#include "measures.h"
#include "strategy.h"

#include <queue>
#include <vector>

namespace galenafork::pvt
{

/// Everything that one run depends on.
struct run_input
{
    const experiment_setup* setup_ = nullptr;
    const service_setup* service_ = nullptr;
    const scenario* scenario_ = nullptr;
    const std::vector<traced_flow>* trace_ = nullptr;
    strategy strategy_ = strategy::policy;
    std::uint64_t seed_ = 0;
};

/// What one run gave.
struct run_output
{
    figures figures_;
    std::vector<load_window> windows_;
};

/// Runs one scenario of one service under one strategy. Deterministic.
run_output run(const run_input& input);

/// The event loop behind `run`.
class simulation
{
public:
    explicit simulation(const run_input& input);

    /// Runs to the end of the time that the setup gives.
    run_output finish();

private:
    enum class event_kind
    {
        request_at_home,
        request_at_owner,
        request_done,
        heartbeat,
        fault,
        news,
    };

    struct event
    {
        instant at_;
        /// Ties are settled by the order of creation.
        std::uint64_t order_ = 0;
        event_kind kind_ = event_kind::request_at_home;
        std::uint32_t flow_ = 0;
        std::size_t member_ = 0;
        std::uint32_t life_ = 0;

        friend bool operator>(const event& a, const event& b)
        {
            return a.at_ != b.at_ ? a.at_ > b.at_ : a.order_ > b.order_;
        }
    };

    /// A flow with its one request under way.
    struct live_flow
    {
        std::size_t owner_ = nobody;
        std::uint32_t owner_life_ = 0;
        std::uint32_t request_ = 0;
        std::uint32_t attempt_ = 0;
        /// When the caller first sent the request, and sent this attempt.
        instant first_sent_;
        instant sent_;
        instant started_;
        /// The owner holds the request, running or queued.
        bool held_ = false;
    };

    void start_members();
    void handle(const event& e);
    void schedule(instant at, event_kind kind, std::uint32_t flow,
                  std::size_t member = nobody);

    void send_request(std::uint32_t flow, instant at);
    void next_request(std::uint32_t flow, instant answered);
    void retry_or_fail(std::uint32_t flow, instant at, duration wait);

    duration caller_wait(duration hint) const;

    void at_home(std::uint32_t flow);
    void at_owner(std::uint32_t flow, std::size_t owner, std::uint32_t life);
    void done(const event& e);
    std::size_t open_flow(std::size_t home);
    void look_from(std::size_t home);
    load_candidate candidate_of(std::size_t home, std::size_t member) const;
    admission_decision admit_at(const upstream& u, std::uint32_t flow);
    void start_or_queue(std::uint32_t flow, std::size_t owner);
    void start(std::uint32_t flow, std::size_t owner);
    void start_queued(std::size_t member);
    bool is_too_late(std::uint32_t flow) const;

    void heartbeat(std::size_t member);
    void fault();
    void lose(std::size_t member);
    void news();

    instant deadline_of(std::uint32_t flow) const;
    duration delay(std::size_t from, std::size_t to) const;
    void before_change(std::size_t member);
    void after_change(std::size_t member);

    const run_input input_;
    const service_setup& service_;
    const scenario& scenario_;
    const network_setup& network_;
    const run_setup& timing_;
    const load_settings& policy_;
    const std::vector<traced_flow>& trace_;
    instant end_;
    instant now_;
    random_source random_;
    std::size_t turn_ = 0;
    std::uint64_t orders_ = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::vector<upstream> members_;
    bucket_homes homes_{};
    std::vector<live_flow> flows_;
    std::vector<load_sample> reports_;
    /// Flows that a home gave a member since the member's last report.
    std::vector<std::vector<assigned_flows>> assigned_;
    /// Reused for each placement.
    placement_view view_;
    recorder recorder_;
};

} // namespace galenafork::pvt

#endif
