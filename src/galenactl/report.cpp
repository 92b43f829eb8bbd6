#include <galenactl/report.h>

#include <iostream>

namespace galenafork::ctl
{

json to_json(const rule& r)
{
    return {{"kind", to_string(r.kind_)},
            {"address", to_string(r.address_)},
            {"service", r.service_.value()},
            {"requested_by", r.requested_by_}};
}

json to_json(const rules_diff& diff)
{
    json added = json::array();
    for (const rule& r : diff.added_)
    {
        added.push_back(to_json(r));
    }
    json removed = json::array();
    for (const rule& r : diff.removed_)
    {
        removed.push_back(to_json(r));
    }
    json changed = json::array();
    for (const rule_change& c : diff.changed_)
    {
        changed.push_back(
            {{"before", to_json(c.before_)}, {"after", to_json(c.after_)}});
    }
    return {{"added", added}, {"removed", removed}, {"changed", changed}};
}

std::string to_text(const rules_diff& diff)
{
    std::string text;
    for (const rule& r : diff.removed_)
    {
        text += "- " + to_string(r) + "\n";
    }
    for (const rule_change& c : diff.changed_)
    {
        text += "- " + to_string(c.before_) + "\n";
        text += "+ " + to_string(c.after_) + "\n";
    }
    for (const rule& r : diff.added_)
    {
        text += "+ " + to_string(r) + "\n";
    }
    return text;
}

void print(const arguments& args, const std::string& text, const json& value)
{
    if (args.json_)
    {
        // Author names come from the command line and may be invalid UTF-8.
        std::cout << value.dump(2, ' ', false, json::error_handler_t::replace)
                  << '\n';
        return;
    }
    std::cout << text;
}

exit_status fail(const arguments& args, exit_status status,
                 const std::string& reason)
{
    if (args.json_)
    {
        print(args, "", {{"error", reason}});
    }
    else
    {
        std::cerr << "galenactl: " << reason << '\n';
    }
    return status;
}

exit_status fail(const arguments& args, const error& e)
{
    const bool is_missing = e.code_ == error_code::not_found;
    return fail(args,
                is_missing ? exit_status::not_found : exit_status::failure,
                e.message_);
}

exit_status fail(const arguments& args, const std::string& file,
                 const std::vector<rule_error>& errors)
{
    json list = json::array();
    for (const rule_error& e : errors)
    {
        list.push_back({{"file", file},
                        {"line", e.line_},
                        {"column", e.column_},
                        {"reason", e.reason_}});
        if (!args.json_)
        {
            std::cerr << to_string(e, file) << '\n';
        }
    }
    print(args, "", {{"faults", list}});
    return exit_status::bad_rules;
}

} // namespace galenafork::ctl
