/// \file
/// Counters, gauges and distributions, exported as Prometheus text.

#ifndef GALENAFORK_METRICS_H
#define GALENAFORK_METRICS_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace galenafork
{

/// A count that only increases. Any thread may add to it; never blocks.
class counter
{
public:
    /// Adds `n`.
    void add(std::uint64_t n = 1) noexcept
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    /// Returns the sum of all additions so far.
    std::uint64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that goes up and down. Any thread may set it; never blocks.
class gauge
{
public:
    /// Replaces the value.
    void set(std::int64_t value) noexcept
    {
        value_.store(value, std::memory_order_relaxed);
    }

    /// Adds `n`, which may be negative.
    void add(std::int64_t n) noexcept
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }

    /// Returns the current value.
    std::int64_t value() const noexcept
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Quantiles, sum and count of recorded samples. Any thread may record. A
/// sample is dropped if another thread uses the distribution at the same time,
/// so that recording never blocks.
class distribution
{
public:
    distribution();
    ~distribution();
    distribution(const distribution&) = delete;
    distribution& operator=(const distribution&) = delete;

    /// Adds one sample, in the unit that the metric's name ends in.
    void record(double sample) noexcept;

    /// Estimates at one point in time.
    struct snapshot
    {
        std::uint64_t count_ = 0;
        double sum_ = 0;
        /// Pairs of probability and estimated quantile; empty without samples.
        std::vector<std::pair<double, double>> quantiles_;
    };

    /// Returns the estimates from all samples so far.
    snapshot read() const;

private:
    struct accumulator;
    mutable std::mutex mutex_;
    std::unique_ptr<accumulator> accumulator_;
};

/// One label of a metric.
struct metric_label
{
    std::string name_;
    std::string value_;
};

/// Labels that distinguish the series of one metric.
using metric_labels = std::vector<metric_label>;

/// Owns the metrics of a process, which are added at start-up from one thread.
/// References to metrics stay valid as long as the registry exists. All metrics
/// of one name have the help text that was given with the first.
class metrics_registry
{
public:
    metrics_registry();
    ~metrics_registry();
    metrics_registry(const metrics_registry&) = delete;
    metrics_registry& operator=(const metrics_registry&) = delete;

    /// Adds a counter. By convention its name ends in `_total`.
    counter& add_counter(const std::string& name, const std::string& help,
                         const metric_labels& labels = {});

    /// Adds a gauge.
    gauge& add_gauge(const std::string& name, const std::string& help,
                     const metric_labels& labels = {});

    /// Adds a distribution, exported as a Prometheus summary.
    distribution& add_distribution(const std::string& name,
                                   const std::string& help,
                                   const metric_labels& labels = {});

    /// Returns all metrics in the Prometheus text format. Any thread may call
    /// it.
    std::string prometheus_text() const;

private:
    struct family;
    family& find_or_add_family(const std::string& name, const std::string& help,
                               const char* type);

    mutable std::mutex mutex_;
    std::vector<std::unique_ptr<family>> families_;
};

} // namespace galenafork

#endif
