#include "traffic_metrics.h"

namespace galenafork
{

namespace
{

metric_labels thread_label(std::uint64_t thread)
{
    return {{"thread", std::to_string(thread)}};
}

} // namespace

traffic_metrics::traffic_metrics(metrics_registry& registry,
                                 std::uint64_t thread)
    : received_(registry.add_counter("galena_balancer_packets_received_total",
                                     "Datagrams from the fabric.",
                                     thread_label(thread))),
      forwarded_(registry.add_counter("galena_balancer_packets_forwarded_total",
                                      "Datagrams forwarded to an agent.",
                                      thread_label(thread))),
      send_failures_(registry.add_counter(
          "galena_balancer_packets_lost_total",
          "Datagrams that the kernel did not send.", thread_label(thread))),
      notices_(registry.add_counter("galena_balancer_stale_notices_total",
                                    "Stale notices received from agents.",
                                    thread_label(thread))),
      bad_notices_(registry.add_counter(
          "galena_balancer_bad_notices_total",
          "Datagrams from agents that are not stale notices.",
          thread_label(thread))),
      decision_seconds_(registry.add_distribution(
          "galena_balancer_decision_seconds",
          "Time to decide on and encode one packet, sampled.",
          thread_label(thread)))
{
    for (std::size_t i = 0; i < reason_count; ++i)
    {
        auto labels = thread_label(thread);
        labels.push_back({"reason", to_string(static_cast<refusal>(i))});
        refused_[i] =
            &registry.add_counter("galena_balancer_packets_refused_total",
                                  "Datagrams dropped, by reason.", labels);
    }
}

} // namespace galenafork
