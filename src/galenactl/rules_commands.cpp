#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/program_options.h>

#include <iostream>

namespace galenafork::ctl
{

tl::expected<stored_rules, error> read_stored_rules(session& s)
{
    auto read = s.wait(s.store().get(rules_object_name));
    if (!read)
    {
        return tl::unexpected(std::move(read.error()));
    }
    auto object = rules_object_from_json(read->value_);
    if (!object)
    {
        return tl::unexpected(std::move(object.error()));
    }
    return stored_rules{read->version_, std::move(*object)};
}

exit_status check_rules(const arguments& args)
{
    const std::string& file = args.words_[2];
    const auto text = read_text_file(file);
    if (!text)
    {
        return fail(args, exit_status::bad_rules, text.error().message_);
    }
    const auto parsed = parse_rules(*text);
    if (!parsed)
    {
        return fail(args, file, parsed.error());
    }
    json rules = json::array();
    for (const rule& r : parsed->rules_)
    {
        rules.push_back(to_json(r));
    }
    print(args,
          file + ": " + std::to_string(parsed->rules_.size()) + " rules\n",
          {{"rules", rules}});
    return exit_status::success;
}

exit_status show_rules(const arguments& args, session& s)
{
    const auto current = read_stored_rules(s);
    if (!current)
    {
        return fail(args, current.error());
    }
    const rules_object& object = current->object_;
    const rules_version version(
        args.version_.value_or(object.version_.value()));
    const auto text = rules_text_at(object, version);
    if (!text)
    {
        return fail(args, text.error());
    }
    // Standard output gets only the text of the file, so that it can be edited
    // and applied.
    print(args, *text, {{"version", version.value()}, {"text", *text}});
    if (!args.json_)
    {
        std::cerr << "version " << version.value() << '\n';
    }
    return exit_status::success;
}

exit_status show_history(const arguments& args, session& s)
{
    const auto current = read_stored_rules(s);
    if (!current)
    {
        return fail(args, current.error());
    }
    std::string text;
    json list = json::array();
    for (const rules_history_entry& e : current->object_.history_)
    {
        text += std::to_string(e.version_.value()) + "  " + e.time_ + "  " +
                e.author_ + "  +" + std::to_string(e.edit_.added_.size()) +
                " -" + std::to_string(e.edit_.removed_.size()) + " lines\n";
        list.push_back({{"version", e.version_.value()},
                        {"time", e.time_},
                        {"author", e.author_},
                        {"write_id", e.write_id_.value()},
                        {"first_line", e.edit_.first_line_ + 1},
                        {"removed", e.edit_.removed_},
                        {"added", e.edit_.added_}});
    }
    print(args, text, {{"history", list}});
    return exit_status::success;
}

} // namespace galenafork::ctl
