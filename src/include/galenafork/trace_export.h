/// \file
/// Spans of traced packets and their export as OTLP/JSON.

#ifndef GALENAFORK_TRACE_EXPORT_H
#define GALENAFORK_TRACE_EXPORT_H

#include <galenafork/endpoint.h>
#include <galenafork/settings.h>
#include <galenafork/trace.h>
#include <galenafork/unique_fd.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// One attribute of a span.
struct span_attribute
{
    std::string key_;
    std::string value_;
};

/// The handling of one packet at one hop.
struct span
{
    /// Trace id and id of this span.
    trace_context context_;
    /// Id of the previous hop's span; all zero at the first hop.
    std::array<std::uint8_t, 8> parent_id_{};
    std::string name_;
    /// Start and end in nanoseconds of Unix time.
    std::uint64_t start_ns_ = 0;
    std::uint64_t end_ns_ = 0;
    std::vector<span_attribute> attributes_;
};

/// Reads the wall clock in nanoseconds of Unix time. For daemons only.
std::uint64_t read_wall_clock_ns();

/// Decides which packets are traced and generates trace and span ids. Each
/// thread has its own; allocates no memory.
class trace_sampler
{
public:
    /// Traces one packet in `sample_one_in`; none if 0. `seed` initialises the
    /// generator of ids.
    trace_sampler(std::uint64_t seed, std::uint64_t sample_one_in);

    /// Returns the context of a packet at its first hop: a new trace if the
    /// packet is sampled, otherwise all zero.
    trace_context start_trace();

    /// Returns the context of the next hop: the same trace with a new span id.
    /// All zero if `parent` is not sampled.
    trace_context child_context(const trace_context& parent);

private:
    std::uint64_t next_random();
    std::array<std::uint8_t, 8> random_span_id();

    std::uint64_t state_;
    std::uint64_t sample_one_in_;
    std::uint64_t packets_until_sample_ = 0;
};

/// Destination and sampling of spans; without a destination they are discarded.
struct trace_settings
{
    /// File to which each batch is appended as one line of OTLP/JSON.
    std::string file_;
    /// Collector that receives one OTLP/JSON batch per UDP datagram.
    std::optional<endpoint> udp_;
    /// Collector that receives OTLP/JSON over HTTP at `/v1/traces`.
    std::optional<endpoint> http_;
    /// Number of packets of which one is traced; 0 to trace none.
    std::uint64_t sample_one_in_ = 1000;
};

/// Reads the section `[traces]`: at most one of `file`, `udp` and `http`, and
/// `sample_one_in`.
void read_settings(settings_section& section, trace_settings& settings);

/// Bounded queue of spans. Adding never blocks: a span is dropped and counted
/// if the queue is full or another thread uses it at the same time.
class span_queue
{
public:
    /// Creates a queue of at most `capacity` spans.
    explicit span_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Adds a span. Returns false if the span was dropped. Any thread may call
    /// it.
    bool try_push(span s) noexcept;

    /// Removes and returns up to `max_count` spans, oldest first.
    std::vector<span> pop_batch(std::size_t max_count);

    /// Returns the number of spans dropped so far.
    std::uint64_t dropped() const
    {
        return dropped_.load(std::memory_order_relaxed);
    }

private:
    std::size_t capacity_;
    std::mutex mutex_;
    std::vector<span> spans_;
    std::atomic<std::uint64_t> dropped_{0};
};

/// Formats spans of one process as an OTLP/JSON document in one line.
std::string to_otlp_json(const std::string& program,
                         const std::string& instance,
                         const std::vector<span>& spans);

/// Writes batches of spans to a file or a UDP collector.
class span_writer
{
public:
    /// Opens the file or the socket that `settings` name. Fails with
    /// `bad_setting` if the file can't be opened. If the socket can't be opened
    /// or connected, batches are discarded.
    static tl::expected<span_writer, error>
    open(const trace_settings& settings);

    /// Writes one batch. Failures to write or send are ignored.
    void write(const std::string& batch);

private:
    std::ofstream file_;
    unique_fd socket_;
};

} // namespace galenafork

#endif
