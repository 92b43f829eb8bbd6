/// \file
/// What this balancer knows, kept by the control thread.

#ifndef GALENAFORK_GALENA_BALANCER_STATE_REPLICA_H
#define GALENAFORK_GALENA_BALANCER_STATE_REPLICA_H

#include <galenafork/control_loop.h>
#include <galenafork/replicated_state.h>

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace galenafork
{

/// Keeps the state, tells listeners of news and publishes snapshots.
class state_replica
{
public:
    /// `publish` gets each newer table for the traffic threads.
    using publish_function =
        std::function<void(const std::shared_ptr<const routing_snapshot>&)>;
    /// Gets each update that was news here, as a step where it was one.
    using listener = std::function<void(const state_update&)>;

    /// `loop` outlives this.
    state_replica(control_loop& loop, metrics_registry& metrics,
                  publish_function publish);

    /// Takes an update from `source` (for the log) and tells listeners if it
    /// was news.
    merge_result apply_update(const state_update& update,
                              const std::string& source);

    /// Adds a listener; there is no way to remove one.
    void add_listener(listener act);

    /// Notes that a source was asked for the roster of `service` and told all
    /// it knows.
    void mark_looked_up(const service_name& service);

    /// True if the roster of `service` is known, or known to be absent.
    bool is_looked_up(const service_name& service) const;

    /// The same for every service of the rules in force.
    void mark_all_looked_up();

    /// Whether the state suffices to forward; the reason names what is
    /// missing.
    readiness check_readiness() const;

    /// What is known.
    const replicated_state& state() const
    {
        return state_;
    }

    /// The table last published; null until rules are known.
    const std::shared_ptr<const routing_snapshot>& snapshot() const
    {
        return snapshot_;
    }

    /// Services that any rule names.
    std::vector<service_name> services() const;

private:
    void notify_listeners(const state_update& news);
    void schedule_publish();
    void publish_now();
    void log_applied(const state_update& update, const std::string& source);

    control_loop& loop_;
    publish_function publish_;
    counter& applied_;
    counter& old_;
    counter& gaps_;
    counter& bad_;
    gauge& rules_version_;
    replicated_state state_;
    std::shared_ptr<const routing_snapshot> snapshot_;
    std::set<service_name> looked_up_;
    std::vector<listener> listeners_;
    bool publish_scheduled_ = false;
};

} // namespace galenafork

#endif
