#include <galenafork/flow_timeline.h>

#include <algorithm>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <optional>
#include <sstream>

namespace galenafork
{

namespace
{

// The value of `key=value` in a log line; the values looked for are unquoted.
std::optional<std::string> field_of(const std::string& line,
                                    const std::string& key)
{
    const std::string start = key + "=";
    const bool leads = line.compare(0, start.size(), start) == 0;
    const std::size_t at = leads ? 0 : line.find(" " + start);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    const std::size_t begin = at + start.size() + (leads ? 0 : 1);
    return line.substr(begin, line.find(' ', begin) - begin);
}

// Reads `2026-12-04T12:17:24.665Z`.
std::optional<duration> read_time(const std::string& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    char point = 0;
    int milliseconds = 0;
    if (!in || !(in >> point >> milliseconds) || point != '.')
    {
        return std::nullopt;
    }
    return std::chrono::seconds(timegm(&parts)) +
           std::chrono::milliseconds(milliseconds);
}

bool names(const std::string& field, const std::string& flow)
{
    return field.compare(0, flow.size(), flow) == 0 &&
           (field.size() == flow.size() || field[flow.size()] == '>' ||
            field[flow.size()] == '#');
}

} // namespace

void collect_flow_log(std::istream& log, const std::string& source,
                      const std::string& flow,
                      std::vector<flow_log_entry>& steps)
{
    for (std::string line; std::getline(log, line);)
    {
        const auto field = field_of(line, "flow");
        const auto written = field_of(line, "time");
        if (!field || !written || !names(*field, flow))
        {
            continue;
        }
        const auto time = read_time(*written);
        if (!time)
        {
            continue;
        }
        const std::string ago = field_of(line, "ago_us").value_or("0");
        const std::size_t rest = line.find("program=");
        steps.push_back(
            {*time - duration(std::strtoll(ago.c_str(), nullptr, 10)), source,
             line.substr(rest == std::string::npos ? 0 : rest)});
    }
}

std::string format_flow_timeline(std::vector<flow_log_entry> steps)
{
    std::stable_sort(steps.begin(), steps.end(),
                     [](const flow_log_entry& a, const flow_log_entry& b)
                     { return a.time_ < b.time_; });
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    for (const flow_log_entry& step : steps)
    {
        const std::chrono::duration<double, std::milli> since =
            step.time_ - steps.front().time_;
        out << std::setw(10) << since.count() << " ms  " << step.source_ << "  "
            << step.text_ << '\n';
    }
    return out.str();
}

} // namespace galenafork
