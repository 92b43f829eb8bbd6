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

// Returns the value of `key` in a log line, or nothing if the line does not
// have the key. Quoted values are not supported: the fields that are read here
// never need quotes.
std::optional<std::string> field_of(const std::string& line,
                                    const std::string& key)
{
    const std::string prefix = key + "=";
    const bool at_line_start = line.compare(0, prefix.size(), prefix) == 0;
    const std::size_t at = at_line_start ? 0 : line.find(" " + prefix);
    if (at == std::string::npos)
    {
        return std::nullopt;
    }
    const std::size_t begin = at + prefix.size() + (at_line_start ? 0 : 1);
    return line.substr(begin, line.find(' ', begin) - begin);
}

// Parses the form `2026-12-04T12:17:24.665Z`.
std::optional<duration> parse_time(const std::string& text)
{
    std::tm parts{};
    std::istringstream in(text);
    in >> std::get_time(&parts, "%Y-%m-%dT%H:%M:%S");
    char decimal_point = 0;
    int milliseconds = 0;
    if (!in || !(in >> decimal_point >> milliseconds) || decimal_point != '.')
    {
        return std::nullopt;
    }
    return std::chrono::seconds(timegm(&parts)) +
           std::chrono::milliseconds(milliseconds);
}

bool matches_flow(const std::string& field, const std::string& flow)
{
    return field.compare(0, flow.size(), flow) == 0 &&
           (field.size() == flow.size() || field[flow.size()] == '>' ||
            field[flow.size()] == '#');
}

} // namespace

void collect_flow_log(std::istream& log, const std::string& source,
                      const std::string& flow,
                      std::vector<flow_log_entry>& entries)
{
    for (std::string line; std::getline(log, line);)
    {
        const auto field = field_of(line, "flow");
        const auto time_text = field_of(line, "time");
        if (!field || !time_text || !matches_flow(*field, flow))
        {
            continue;
        }
        const auto time = parse_time(*time_text);
        if (!time)
        {
            continue;
        }
        const std::string ago = field_of(line, "ago_us").value_or("0");
        const std::size_t text_begin = line.find("program=");
        entries.push_back(
            {*time - duration(std::strtoll(ago.c_str(), nullptr, 10)), source,
             line.substr(text_begin == std::string::npos ? 0 : text_begin)});
    }
}

std::string format_flow_timeline(std::vector<flow_log_entry> entries)
{
    std::stable_sort(entries.begin(), entries.end(),
                     [](const flow_log_entry& a, const flow_log_entry& b)
                     { return a.time_ < b.time_; });
    std::ostringstream out;
    out << std::fixed << std::setprecision(3);
    for (const flow_log_entry& entry : entries)
    {
        const std::chrono::duration<double, std::milli> elapsed =
            entry.time_ - entries.front().time_;
        out << std::setw(10) << elapsed.count() << " ms  " << entry.source_
            << "  " << entry.text_ << '\n';
    }
    return out.str();
}

} // namespace galenafork
