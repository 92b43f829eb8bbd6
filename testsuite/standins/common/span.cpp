#include <common/log.h>
#include <common/span.h>

namespace galenafork::standin
{

namespace
{

template <class Bytes>
std::string to_hex(const Bytes& bytes)
{
    constexpr const char* digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 0x0fU];
    }
    return text;
}

template <class Bytes>
void fill_random(Bytes& bytes, std::mt19937_64& random)
{
    for (std::uint8_t& byte : bytes)
    {
        byte = static_cast<std::uint8_t>(random());
    }
}

} // namespace

trace_context start_trace(std::mt19937_64& random)
{
    trace_context trace;
    fill_random(trace.trace_id_, random);
    fill_random(trace.span_id_, random);
    trace.sampled_ = true;
    return trace;
}

trace_context child_span(const trace_context& parent, std::mt19937_64& random)
{
    trace_context child = parent;
    fill_random(child.span_id_, random);
    return child;
}

bool is_sampled(const trace_context& trace)
{
    return trace.sampled_ && trace.trace_id_ != trace_context{}.trace_id_;
}

void log_span(const char* hop, const trace_context& trace,
              const trace_context& parent, const std::string& peer)
{
    log_line("span")
        .with("hop", hop)
        .with("trace_id", to_hex(trace.trace_id_))
        .with("span_id", to_hex(trace.span_id_))
        .with("parent_id",
              is_sampled(parent) ? to_hex(parent.span_id_) : std::string())
        .with("peer", peer);
}

} // namespace galenafork::standin
