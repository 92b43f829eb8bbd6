/// \file
/// Log lines of stand-ins, one `key=value` line an event, on standard error.

#ifndef GALENAFORK_STANDINS_LOG_H
#define GALENAFORK_STANDINS_LOG_H

#include <iostream>
#include <sstream>
#include <string>

namespace galenafork::standin
{

/// Collects `key=value` pairs and writes them as one line on destruction.
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

    /// Adds one pair. Values hold no spaces.
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
