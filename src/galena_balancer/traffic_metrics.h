/// \file
/// Metrics of one traffic thread.

#ifndef GALENAFORK_GALENA_BALANCER_TRAFFIC_METRICS_H
#define GALENAFORK_GALENA_BALANCER_TRAFFIC_METRICS_H

#include <galenafork/error.h>
#include <galenafork/metrics.h>

#include <array>
#include <cstdint>

namespace galenafork
{

/// Metrics that a traffic thread updates.
class traffic_metrics
{
public:
    /// Adds the metrics of thread number `thread` to `registry`, which must
    /// outlive this object.
    traffic_metrics(metrics_registry& registry, std::uint64_t thread);

    /// Counts a packet that was refused for `reason`.
    void count_refused(refusal reason) noexcept
    {
        refused_[static_cast<std::size_t>(reason)]->add();
    }

    counter& received_;
    counter& forwarded_;
    /// Packets that the kernel did not send.
    counter& send_failures_;
    counter& notices_;
    counter& bad_notices_;
    /// Time to decide on and encode one packet, sampled.
    distribution& decision_seconds_;

private:
    static constexpr std::size_t reason_count =
        static_cast<std::size_t>(refusal::malformed) + 1;

    std::array<counter*, reason_count> refused_{};
};

} // namespace galenafork

#endif
