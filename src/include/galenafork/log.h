/// \file
/// Structured logging: one line of `key=value` pairs per event on standard
/// output.

#ifndef GALENAFORK_LOG_H
#define GALENAFORK_LOG_H

#include <cstdint>
#include <initializer_list>
#include <string>
#include <type_traits>

namespace galenafork
{

/// Severity of an event.
enum class log_level
{
    debug,
    info,
    warning,
    error,
};

/// Returns the enumerator's name, as written in log lines.
const char* to_string(log_level level);

/// One `key=value` pair of a log line.
struct log_field
{
    /// A field with a text value, which is quoted in the log line if necessary.
    log_field(std::string key, std::string value)
        : key_(std::move(key)), value_(std::move(value))
    {
    }
    /// A field with a text value.
    log_field(std::string key, const char* value)
        : key_(std::move(key)), value_(value)
    {
    }
    /// A field with a number or a Boolean.
    template <class T, class = std::enable_if_t<std::is_arithmetic_v<T>>>
    log_field(std::string key, T value) : key_(std::move(key))
    {
        if constexpr (std::is_same_v<T, bool>)
        {
            value_ = value ? "true" : "false";
        }
        else
        {
            value_ = std::to_string(value);
        }
    }

    std::string key_;
    std::string value_;
};

/// Sets the minimum level of the events that are written, and the program name
/// in each line. Call it once, before other threads start.
void configure_log(log_level min_level, const std::string& program);

/// Writes `time=... level=... program=... event=... key=value ...` as one
/// line. Never blocks: a line is dropped and counted if standard output can't
/// accept it at once. Allocates memory, so traffic threads must not call it.
void log_event(log_level level, const std::string& event,
               std::initializer_list<log_field> fields = {});

/// Buffers the lines that this thread logs and writes them together when it is
/// destroyed. A thread can have one batch at a time.
class log_batch
{
public:
    log_batch();
    ~log_batch();
    log_batch(const log_batch&) = delete;
    log_batch& operator=(const log_batch&) = delete;
};

/// Returns the number of lines dropped because standard output could not accept
/// them.
std::uint64_t dropped_log_lines();

/// Returns `value` as written in a log line: unchanged if it is not empty and
/// consists only of printable ASCII characters other than space, `"`, `=` and
/// `\`; otherwise in quotes, with quotes, backslashes and control characters
/// escaped.
std::string quoted_log_value(const std::string& value);

} // namespace galenafork

#endif
