/// \file
/// This balancer's replica of rules and rosters, for the control thread.

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

/// Merges updates into the state, notifies listeners and publishes routing
/// snapshots.
class state_replica
{
public:
    /// Called with each new snapshot, for the traffic threads.
    using publish_function =
        std::function<void(const std::shared_ptr<const routing_snapshot>&)>;
    /// Called with each update that was applied, as a delta if it moved the
    /// state by one version only.
    using listener = std::function<void(const state_update&)>;

    /// `loop` and `metrics` must outlive this object.
    state_replica(control_loop& loop, metrics_registry& metrics,
                  publish_function publish);

    /// Merges an update and notifies the listeners if it was applied. `source`
    /// names its origin in the log.
    merge_result apply_update(const state_update& update,
                              const std::string& source);

    /// Adds a listener, which can't be removed.
    void add_listener(listener on_update);

    /// Records that a source was asked for the roster of `service`, whether or
    /// not it had one.
    void mark_looked_up(const service_name& service);

    /// True if the roster of `service` is in the state or was looked up.
    bool is_looked_up(const service_name& service) const;

    /// Calls `mark_looked_up` for each service of `services()`.
    void mark_all_looked_up();

    /// Returns ready if there are rules and a snapshot, and the roster of every
    /// service was looked up; otherwise the reason says what is missing.
    readiness check_readiness() const;

    /// Returns the replicated state.
    const replicated_state& state() const
    {
        return state_;
    }

    /// Returns the last published snapshot; null if there is none yet.
    const std::shared_ptr<const routing_snapshot>& snapshot() const
    {
        return snapshot_;
    }

    /// Returns the services that active or retired rules name.
    std::vector<service_name> services() const;

private:
    void notify_listeners(const state_update& update);
    void schedule_publish();
    void publish_snapshot();
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
