#include "agent_metrics.h"

namespace galenafork
{

namespace
{

constexpr auto last_refusal = refusal::malformed;

std::map<refusal, counter*> add_by_reason(metrics_registry& registry,
                                          const std::string& name,
                                          const std::string& help)
{
    std::map<refusal, counter*> counters;
    for (int i = 0; i <= static_cast<int>(last_refusal); ++i)
    {
        const auto reason = static_cast<refusal>(i);
        counters[reason] =
            &registry.add_counter(name, help, {{"reason", to_string(reason)}});
    }
    return counters;
}

} // namespace

agent_metrics::agent_metrics(metrics_registry& registry)
    : packets_(registry.add_counter("galena_agent_packets_total",
                                    "Packets from balancers and agents")),
      peer_messages_(registry.add_counter("galena_agent_peer_messages_total",
                                          "Messages from other agents")),
      peer_bytes_sent_(
          registry.add_counter("galena_agent_peer_sent_bytes_total",
                               "Bytes of messages sent to other agents")),
      peer_messages_sent_(
          registry.add_counter("galena_agent_peer_sent_messages_total",
                               "Messages sent to other agents")),
      passed_on_(registry.add_counter("galena_agent_passed_on_total",
                                      "Packets forwarded to another agent")),
      delivered_(registry.add_counter("galena_agent_delivered_total",
                                      "Packets sent to the upstream")),
      answers_(registry.add_counter("galena_agent_answers_total",
                                    "Datagrams from the upstream")),
      malformed_(registry.add_counter("galena_agent_malformed_total",
                                      "Datagrams that could not be decoded")),
      stored_answers_(
          registry.add_counter("galena_agent_stored_answers_total",
                               "Duplicate requests answered from the journal")),
      flows_(registry.add_gauge("galena_agent_flows", "Flows owned")),
      homes_(registry.add_gauge("galena_agent_homes",
                                "Buckets whose effective home is this agent")),
      journal_entries_(registry.add_gauge("galena_agent_journal_entries",
                                          "Journal entries held")),
      in_flight_(registry.add_gauge("galena_agent_in_flight",
                                    "Requests in flight at the upstream")),
      held_packets_(registry.add_gauge(
          "galena_agent_held_packets",
          "Packets held until they can be routed or served")),
      lease_(registry.add_gauge("galena_agent_lease",
                                "1 while this agent holds its lease")),
      answer_seconds_(registry.add_distribution(
          "galena_agent_answer_seconds",
          "Time from sending a request to the upstream to its answer")),
      refused_(add_by_reason(registry, "galena_agent_refused_total",
                             "Requests refused with a verdict")),
      dropped_(add_by_reason(registry, "galena_agent_dropped_total",
                             "Packets dropped without an answer"))
{
}

void agent_metrics::count_refused(refusal reason, bool answered)
{
    (answered ? refused_ : dropped_).at(reason)->add();
}

} // namespace galenafork
