#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/flow_timeline.h>

#include <fstream>
#include <iostream>

namespace galenafork::ctl
{

exit_status show_flow_timeline(const arguments& args)
{
    std::vector<flow_log_entry> entries;
    const std::string& flow = args.words_[1];
    for (std::size_t i = 2; i < args.words_.size(); ++i)
    {
        const std::string& name = args.words_[i];
        if (name == "-")
        {
            collect_flow_log(std::cin, "stdin", flow, entries);
            continue;
        }
        std::ifstream log(name);
        if (!log)
        {
            return fail(args, exit_status::usage, "cannot read " + name);
        }
        collect_flow_log(log, name, flow, entries);
    }
    if (entries.empty())
    {
        return fail(args, exit_status::not_found,
                    "no log line about flow " + flow +
                        "; ordinary decisions over the log's rate limit are "
                        "only counted (event=log_omitted)");
    }
    json lines = json::array();
    for (const flow_log_entry& entry : entries)
    {
        lines.push_back({{"at_us", entry.time_.count()},
                         {"source", entry.source_},
                         {"text", entry.text_}});
    }
    print(args, format_flow_timeline(std::move(entries)), lines);
    return exit_status::success;
}

} // namespace galenafork::ctl
