#include "evacuation_log.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

// Far more than the changes of an operator between two turns of the control
// thread.
constexpr std::size_t max_queued_changes = 64;

} // namespace

evacuation_log::evacuation_log(metrics_registry& metrics)
    : changes_(max_queued_changes),
      evacuated_(metrics.add_gauge("galena_evacuated_data_centres",
                                   "Data centres that are evacuated."))
{
}

void evacuation_log::write(const evacuation_change& change)
{
    const bool from_store = change.source_ == host_address();
    log_event(log_level::info, "evacuation_changed",
              {{"data_centres", to_string(change.state_.data_centres_)},
               {"before", to_string(change.before_)},
               {"era", change.state_.era_.value()},
               {"revision", change.state_.revision_.value()},
               {"source", from_store ? "store" : "peer"},
               {"peer", from_store ? "-" : to_string(change.source_)}});
    evacuated_.set(
        static_cast<std::int64_t>(change.state_.data_centres_.size()));
}

std::string to_string(const std::vector<data_centre>& data_centres)
{
    std::string text;
    for (const data_centre& dc : data_centres)
    {
        text += (text.empty() ? "" : ",") + dc.value();
    }
    return text.empty() ? "-" : text;
}

} // namespace galenafork
