/// \file
/// The log of a stand-in on standard error: one line of `key=value` pairs per
/// event.

#ifndef GALENAFORK_STANDINS_LOG_H
#define GALENAFORK_STANDINS_LOG_H

#include <iostream>
#include <sstream>
#include <string>

namespace galenafork::standin
{

/// Collects the `key=value` pairs of an event and writes the line on
/// destruction.
class log_line
{
public:
    explicit log_line(const char* event)
    {
        text_ << "event=" << event;
    }
    ~log_line()
    {
        text_ << '\n';
        std::cerr << text_.str() << std::flush;
    }
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    /// Adds a pair. The value must not contain spaces, as it is not quoted.
    template <class Value>
    log_line& with(const char* key, const Value& value)
    {
        text_ << ' ' << key << '=' << value;
        return *this;
    }

private:
    std::ostringstream text_;
};

} // namespace galenafork::standin

#endif
