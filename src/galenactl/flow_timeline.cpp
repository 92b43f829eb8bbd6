#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/flow_timeline.h>

#include <fstream>
#include <iostream>

namespace galenafork::ctl
{

exit_status show_flow_timeline(const arguments& given)
{
    std::vector<flow_log_entry> steps;
    const std::string& flow = given.words_[1];
    for (std::size_t i = 2; i < given.words_.size(); ++i)
    {
        const std::string& name = given.words_[i];
        if (name == "-")
        {
            collect_flow_log(std::cin, "stdin", flow, steps);
            continue;
        }
        std::ifstream log(name);
        if (!log)
        {
            return fail(given, exit_status::usage, "cannot read " + name);
        }
        collect_flow_log(log, name, flow, steps);
    }
    if (steps.empty())
    {
        return fail(given, exit_status::not_found,
                    "no line about " + flow +
                        "; ordinary decisions beyond the log's budget are "
                        "only counted (event=log_omitted)");
    }
    json lines = json::array();
    for (const flow_log_entry& step : steps)
    {
        lines.push_back({{"at_us", step.time_.count()},
                         {"source", step.source_},
                         {"text", step.text_}});
    }
    print(given, format_flow_timeline(std::move(steps)), lines);
    return exit_status::success;
}

} // namespace galenafork::ctl
