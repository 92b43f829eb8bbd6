/// \file
/// Transfers changes of the evacuations from a traffic thread to the log and
/// the metrics.

#ifndef LIBPASSD_EVACUATION_LOG_H
#define LIBPASSD_EVACUATION_LOG_H

#include <galenafork/mailbox.h>
#include <galenafork/metrics.h>
#include <galenafork/pass_types.h>

namespace galenafork
{

/// A change of the evacuated data centres in this process.
struct evacuation_change
{
    evacuation_state state_;
    std::vector<data_centre> before_;
    /// The peer that sent the state; zero if it was read from the store.
    host_address source_;
};

/// Logs the changes of one traffic thread and exports the number of evacuated
/// data centres.
class evacuation_log
{
public:
    explicit evacuation_log(metrics_registry& metrics);

    /// Receives the changes from the traffic thread. The control thread passes
    /// them to `write`.
    mailbox<evacuation_change>& changes()
    {
        return changes_;
    }

    /// Writes the log line of one change and updates the metric.
    void write(const evacuation_change& change);

private:
    mailbox<evacuation_change> changes_;
    gauge& evacuated_;
};

/// Returns the names separated by commas, or `-` if there are none.
std::string to_string(const std::vector<data_centre>& data_centres);

} // namespace galenafork

#endif
