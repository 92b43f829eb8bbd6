/// \file
/// Metrics of an agent's traffic thread.

#ifndef GALENAFORK_GALENA_AGENT_AGENT_METRICS_H
#define GALENAFORK_GALENA_AGENT_AGENT_METRICS_H

#include <galenafork/error.h>
#include <galenafork/metrics.h>

#include <map>

namespace galenafork
{

/// Counters and gauges that the traffic thread writes.
class agent_metrics
{
public:
    /// Adds the metrics to `registry`, which must outlive this object.
    explicit agent_metrics(metrics_registry& registry);

    /// Counts a refused packet: as refused if the caller got an answer, as
    /// dropped otherwise.
    void count_refused(refusal reason, bool answered);

    counter& packets_;
    counter& peer_messages_;
    counter& peer_bytes_sent_;
    counter& peer_messages_sent_;
    counter& passed_on_;
    counter& delivered_;
    counter& answers_;
    counter& malformed_;
    counter& stored_answers_;
    gauge& flows_;
    gauge& homes_;
    gauge& journal_entries_;
    gauge& in_flight_;
    gauge& held_packets_;
    gauge& lease_;
    distribution& answer_seconds_;

private:
    std::map<refusal, counter*> refused_;
    std::map<refusal, counter*> dropped_;
};

} // namespace galenafork

#endif
