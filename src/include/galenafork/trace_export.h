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

/// What one hop did with one packet.
struct span
{
    /// Trace and id of this span.
    trace_context context_;
    /// Span of the hop before; all zero at the first hop.
    std::array<std::uint8_t, 8> parent_id_{};
    std::string name_;
    /// Wall clock, in nanoseconds since 1970.
    std::uint64_t start_ns_ = 0;
    std::uint64_t end_ns_ = 0;
    std::vector<span_attribute> attributes_;
};

/// Reads the wall clock in nanoseconds since 1970. For daemons only.
std::uint64_t read_wall_clock_ns();

/// Draws trace and span ids and decides which packets are traced. One per
/// thread; allocates nothing.
class trace_sampler
{
public:
    /// Starts a trace for one packet in `one_in`; for none if 0.
    trace_sampler(std::uint64_t seed, std::uint64_t one_in);

    /// Context of a packet that starts here: sampled or all zero.
    trace_context start_trace();

    /// Context of the next hop: same trace, span id drawn anew. All zero if
    /// `parent` is not sampled.
    trace_context child_context(const trace_context& parent);

private:
    std::uint64_t next_random();
    std::array<std::uint8_t, 8> random_span_id();

    std::uint64_t state_;
    std::uint64_t sample_one_in_;
    std::uint64_t packets_until_sample_ = 0;
};

/// Where spans go; nowhere if no member is set.
struct trace_settings
{
    /// File to append one OTLP/JSON line per batch to.
    std::string file_;
    /// Collector that takes one OTLP/JSON batch per UDP datagram.
    std::optional<endpoint> udp_;
    /// Collector that takes OTLP over HTTP at `/v1/traces`.
    std::optional<endpoint> http_;
    /// Traces one packet in this many; 0 for none.
    std::uint64_t sample_one_in_ = 1000;
};

/// Reads the section `[traces]`: `file`, `udp` or `http`, `sample_one_in`.
void read_settings(settings_section& section, trace_settings& settings);

/// Bounded queue of spans. Offering never blocks; what does not fit, or meets
/// another thread, is dropped and counted.
class span_queue
{
public:
    /// Holds `capacity` spans at most.
    explicit span_queue(std::size_t capacity) : capacity_(capacity) {}

    /// Adds a span. False if it was dropped. Any thread.
    bool try_push(span s) noexcept;

    /// Takes at most `most` spans out, oldest first.
    std::vector<span> pop_batch(std::size_t most);

    /// Spans dropped so far.
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

/// Spans of one process as one OTLP/JSON document in one line.
std::string to_otlp_json(const std::string& program,
                         const std::string& instance,
                         const std::vector<span>& spans);

/// Writes batches of spans to a file or a UDP collector.
class span_writer
{
public:
    /// Opens the file or socket of `settings`. Fails with `bad_setting` if
    /// the file can't be opened.
    static tl::expected<span_writer, error> open(const trace_settings& s);

    /// Writes one batch. A lost datagram is not noticed.
    void write(const std::string& batch);

private:
    std::ofstream file_;
    unique_fd socket_;
};

} // namespace galenafork

#endif
