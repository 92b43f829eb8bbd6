#include <galenafork/log.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cctype>
#include <chrono>
#include <climits>
#include <ctime>
#include <memory>
#include <poll.h>
#include <unistd.h>
#include <utility>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace galenafork
{

namespace
{

log_level min_log_level = log_level::info;

std::string& program_name()
{
    static std::string name = "galenafork";
    return name;
}

bool is_unquoted_char(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > ' ' && byte < 0x7f && c != '"' && c != '=' && c != '\\';
}

void append_escaped(std::string& out, char c)
{
    static constexpr char hex_digits[] = "0123456789abcdef";
    const auto byte = static_cast<unsigned char>(c);
    if (c == '"' || c == '\\')
    {
        out += '\\';
        out += c;
    }
    else if (byte < ' ' || byte == 0x7f)
    {
        out += "\\x";
        out += hex_digits[byte >> 4U];
        out += hex_digits[byte & 0xfU];
    }
    else
    {
        out += c;
    }
}

std::string current_utc_time()
{
    using namespace std::chrono;
    const auto now = system_clock::now();
    const std::time_t seconds = system_clock::to_time_t(now);
    const auto ms =
        duration_cast<milliseconds>(now.time_since_epoch()).count() % 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + ms).substr(1);
    return std::string(text.data()) + "." + fraction + "Z";
}

// A pipe that polls writable accepts this many bytes without blocking.
constexpr std::size_t atomic_write_bytes = PIPE_BUF;

std::atomic<std::uint64_t> dropped_lines{0};

// Lines of this thread's `log_batch`; null without a batch.
thread_local std::string* batched_lines = nullptr;

void write_without_blocking(const std::string& text)
{
    for (std::size_t start = 0; start < text.size();)
    {
        std::size_t size = std::min(text.size() - start, atomic_write_bytes);
        const std::size_t line_end = text.rfind('\n', start + size - 1);
        if (line_end != std::string::npos && line_end >= start)
        {
            size = line_end + 1 - start;
        }
        pollfd ready{STDOUT_FILENO, POLLOUT, 0};
        if (::poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0 ||
            ::write(STDOUT_FILENO, text.data() + start, size) < 0)
        {
            dropped_lines.fetch_add(
                static_cast<std::uint64_t>(std::count(
                    text.begin() + static_cast<std::ptrdiff_t>(start),
                    text.end(), '\n')),
                std::memory_order_relaxed);
            return;
        }
        start += size;
    }
}

/// Receives the lines that are logged through easylogging++.
class line_output final : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData* data) override
    {
        const std::string line = data->logMessage()->message() + "\n";
        if (batched_lines != nullptr)
        {
            *batched_lines += line;
            return;
        }
        write_without_blocking(line);
    }
};

void install_line_output()
{
    el::Helpers::uninstallLogDispatchCallback<
        el::base::DefaultLogDispatchCallback>("DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<line_output>("line_output");
}

void write_line(log_level level, const std::string& line)
{
    switch (level)
    {
    case log_level::debug:
        LOG(DEBUG) << line;
        return;
    case log_level::info:
        LOG(INFO) << line;
        return;
    case log_level::warning:
        LOG(WARNING) << line;
        return;
    case log_level::error:
        LOG(ERROR) << line;
        return;
    }
}

} // namespace

const char* to_string(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

void configure_log(log_level min_level, const std::string& program)
{
    min_log_level = min_level;
    program_name() = program;
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::Format, "%msg");
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    el::Loggers::reconfigureAllLoggers(configuration);
    install_line_output();
}

log_batch::log_batch()
{
    batched_lines = new std::string();
}

log_batch::~log_batch()
{
    const std::unique_ptr<std::string> lines(
        std::exchange(batched_lines, nullptr));
    write_without_blocking(*lines);
}

std::uint64_t dropped_log_lines()
{
    return dropped_lines.load(std::memory_order_relaxed);
}

std::string quoted_log_value(const std::string& value)
{
    if (!value.empty() &&
        std::all_of(value.begin(), value.end(), is_unquoted_char))
    {
        return value;
    }
    std::string out = "\"";
    for (const char c : value)
    {
        append_escaped(out, c);
    }
    return out + "\"";
}

void log_event(log_level level, const std::string& event,
               std::initializer_list<log_field> fields)
{
    if (level < min_log_level)
    {
        return;
    }
    std::string line = "time=" + current_utc_time() +
                       " level=" + to_string(level) +
                       " program=" + program_name() + " event=" + event;
    for (const log_field& field : fields)
    {
        line += " " + field.key_ + "=" + quoted_log_value(field.value_);
    }
    write_line(level, line);
}

} // namespace galenafork
