#include <galenafork/trace_export.h>

#include <algorithm>
#include <chrono>
#include <cstring>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

namespace galenafork
{

namespace
{

template <std::size_t Size>
std::string hex(const std::array<std::uint8_t, Size>& bytes)
{
    static constexpr char hex_digits[] = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : bytes)
    {
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 0xfU];
    }
    return text;
}

nlohmann::json attribute(const std::string& key, const std::string& value)
{
    return {{"key", key}, {"value", {{"stringValue", value}}}};
}

nlohmann::json span_json(const span& s)
{
    // SPAN_KIND_SERVER in OTLP.
    constexpr int kind_server = 2;
    nlohmann::json json = {{"traceId", hex(s.context_.trace_id_)},
                           {"spanId", hex(s.context_.span_id_)},
                           {"name", s.name_},
                           {"kind", kind_server},
                           {"startTimeUnixNano", std::to_string(s.start_ns_)},
                           {"endTimeUnixNano", std::to_string(s.end_ns_)}};
    if (s.parent_id_ != std::array<std::uint8_t, 8>{})
    {
        json["parentSpanId"] = hex(s.parent_id_);
    }
    auto& attributes = json["attributes"] = nlohmann::json::array();
    for (const span_attribute& a : s.attributes_)
    {
        attributes.push_back(attribute(a.key_, a.value_));
    }
    return json;
}

unique_fd connect_collector(const endpoint& to)
{
    unique_fd socket(::socket(AF_INET6, SOCK_DGRAM | SOCK_CLOEXEC, 0));
    sockaddr_in6 address{};
    address.sin6_family = AF_INET6;
    address.sin6_port = htons(to.port_);
    std::memcpy(&address.sin6_addr, to.address_.bytes_.data(),
                to.address_.bytes_.size());
    const auto* generic = reinterpret_cast<const sockaddr*>(&address);
    if (::connect(socket.get(), generic, sizeof address) != 0)
    {
        return {};
    }
    return socket;
}

} // namespace

std::uint64_t read_wall_clock_ns()
{
    using namespace std::chrono;
    const auto now = system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(duration_cast<nanoseconds>(now).count());
}

trace_sampler::trace_sampler(std::uint64_t seed, std::uint64_t sample_one_in)
    : state_(seed), sample_one_in_(sample_one_in)
{
}

trace_context trace_sampler::start_trace()
{
    if (sample_one_in_ == 0 || packets_until_sample_ != 0)
    {
        packets_until_sample_ -= sample_one_in_ == 0 ? 0 : 1;
        return {};
    }
    packets_until_sample_ = sample_one_in_ - 1;
    trace_context context;
    const std::array<std::uint64_t, 2> id{next_random(), next_random()};
    std::memcpy(context.trace_id_.data(), id.data(), sizeof id);
    context.span_id_ = random_span_id();
    context.sampled_ = true;
    return context;
}

trace_context trace_sampler::child_context(const trace_context& parent)
{
    if (!parent.sampled_)
    {
        return {};
    }
    trace_context context = parent;
    context.span_id_ = random_span_id();
    return context;
}

std::uint64_t trace_sampler::next_random()
{
    // SplitMix64.
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t x = state_;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

std::array<std::uint8_t, 8> trace_sampler::random_span_id()
{
    // W3C Trace Context forbids an all-zero id.
    const std::uint64_t id = next_random() | 1U;
    std::array<std::uint8_t, 8> bytes{};
    std::memcpy(bytes.data(), &id, sizeof id);
    return bytes;
}

void read_settings(settings_section& section, trace_settings& settings)
{
    endpoint udp;
    endpoint http;
    section.optional("file", settings.file_)
        .optional("udp", udp)
        .optional("http", http)
        .optional("sample_one_in", settings.sample_one_in_);
    if (udp.port_ != 0)
    {
        settings.udp_ = udp;
    }
    if (http.port_ != 0)
    {
        settings.http_ = http;
    }
    const int destinations = (settings.file_.empty() ? 0 : 1) +
                             (settings.udp_ ? 1 : 0) + (settings.http_ ? 1 : 0);
    if (destinations > 1)
    {
        section.add_error(
            settings.file_.empty() ? "udp" : "file",
            "can't be combined with another destination of traces");
    }
}

bool span_queue::try_push(span s) noexcept
{
    const std::unique_lock<std::mutex> lock(mutex_, std::try_to_lock);
    if (!lock.owns_lock() || spans_.size() >= capacity_)
    {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    spans_.push_back(std::move(s));
    return true;
}

std::vector<span> span_queue::pop_batch(std::size_t max_count)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto count =
        static_cast<std::ptrdiff_t>(std::min(max_count, spans_.size()));
    const auto end = spans_.begin() + count;
    std::vector<span> popped(std::make_move_iterator(spans_.begin()),
                             std::make_move_iterator(end));
    spans_.erase(spans_.begin(), end);
    return popped;
}

std::string to_otlp_json(const std::string& program,
                         const std::string& instance,
                         const std::vector<span>& spans)
{
    auto list = nlohmann::json::array();
    for (const span& s : spans)
    {
        list.push_back(span_json(s));
    }
    const nlohmann::json resource = {
        {"attributes",
         {attribute("service.name", program),
          attribute("service.instance.id", instance)}}};
    const nlohmann::json scope = {{"scope", {{"name", "galenafork"}}},
                                  {"spans", list}};
    const nlohmann::json document = {
        {"resourceSpans", {{{"resource", resource}, {"scopeSpans", {scope}}}}}};
    return document.dump();
}

tl::expected<span_writer, error>
span_writer::open(const trace_settings& settings)
{
    span_writer writer;
    if (!settings.file_.empty())
    {
        writer.file_.open(settings.file_, std::ios::app);
        if (!writer.file_)
        {
            return tl::unexpected(
                error{error_code::bad_setting,
                      settings.file_ + ": can't be opened for traces"});
        }
    }
    if (settings.udp_)
    {
        writer.socket_ = connect_collector(*settings.udp_);
    }
    return writer;
}

void span_writer::write(const std::string& batch)
{
    if (file_.is_open())
    {
        file_ << batch << '\n' << std::flush;
    }
    if (socket_)
    {
        ::send(socket_.get(), batch.data(), batch.size(), MSG_DONTWAIT);
    }
}

} // namespace galenafork
