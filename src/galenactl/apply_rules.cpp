#include <galenactl/commands.h>
#include <galenactl/report.h>
#include <galenafork/platform_setup.h>
#include <galenafork/program_options.h>

#include <algorithm>
#include <set>

namespace galenafork::ctl
{

namespace
{

// The rules to apply and the object that they are to replace.
struct rules_update
{
    rule_set new_rules_;
    std::optional<rules_object> previous_;
    object_version previous_version_;
    rules_object new_object_;
};

std::string version_text(const rules_object& object)
{
    return "version " + std::to_string(object.version_.value()) + " by " +
           object.author_ + " at " + object.time_;
}

// Returns the rules of `object`, or no rules if its text cannot be parsed,
// which only happens if another program wrote the object.
rule_set rules_or_empty(const rules_object& object)
{
    return parse_rules_of(object).value_or(rule_set{});
}

tl::expected<std::vector<rule_error>, error>
find_rules_without_roster(const rule_set& new_rules, session& s)
{
    const auto rosters = s.wait(s.store().list(roster_object_prefix));
    if (!rosters)
    {
        return tl::unexpected(rosters.error());
    }
    std::set<std::string> existing_rosters;
    for (const object_entry& entry : *rosters)
    {
        existing_rosters.insert(entry.name_);
    }
    std::vector<rule_error> errors;
    for (const rule& r : new_rules.rules_)
    {
        if (existing_rosters.count(roster_object_name(r.service_)) == 0)
        {
            errors.push_back({r.line_, r.service_column_,
                              "no instance has joined service '" +
                                  r.service_.value() +
                                  "' yet (--new-services accepts the rule "
                                  "nevertheless)"});
        }
    }
    return errors;
}

exit_status report_accepted(const arguments& args, const rules_update& update)
{
    const rule_set before =
        update.previous_ ? rules_or_empty(*update.previous_) : rule_set{};
    const rules_diff diff = diff_rules(before, update.new_rules_);
    print(args,
          "accepted: " + version_text(update.new_object_) + "\n" +
              to_text(diff),
          {{"outcome", "accepted"},
           {"version", update.new_object_.version_.value()},
           {"write_id", update.new_object_.write_id_.value()},
           {"difference", to_json(diff)}});
    return exit_status::success;
}

exit_status report_unchanged(const arguments& args, const rules_object& object)
{
    print(args, "unchanged: " + version_text(object) + " has these rules\n",
          {{"outcome", "unchanged"}, {"version", object.version_.value()}});
    return exit_status::success;
}

// Reports a conflict with another change: its version and author, and the
// difference from its rules to the file.
exit_status report_conflict(const arguments& args, const rules_object& winner,
                            const rule_set& new_rules)
{
    const rules_diff diff = diff_rules(rules_or_empty(winner), new_rules);
    const std::string text = "not accepted: " + version_text(winner) +
                             " is active; difference to your file:\n" +
                             to_text(diff);
    print(args, text,
          {{"outcome", "not_accepted"},
           {"reason", "conflict"},
           {"winner",
            {{"version", winner.version_.value()},
             {"author", winner.author_},
             {"time", winner.time_}}},
           {"difference", to_json(diff)}});
    return exit_status::not_accepted;
}

// Reports a write that was not accepted, without a comparison to the active
// rules: the write was never sent, or the rules object could not be read or
// parsed.
exit_status report_not_accepted(const arguments& args, const error& reason)
{
    print(args, "not accepted: " + reason.message_ + "\n",
          {{"outcome", "not_accepted"}, {"reason", reason.message_}});
    return reason.code_ == error_code::conflict ? exit_status::not_accepted
                                                : exit_status::failure;
}

exit_status report_unknown(const arguments& args, const rules_update& update,
                           const error& reason)
{
    const std::string base = std::to_string(
        update.previous_ ? update.previous_->version_.value() : 0);
    print(args,
          "unknown: " + reason.message_ + "; 'rules history' shows write " +
              update.new_object_.write_id_.value() +
              " if it took effect; applying again with --base " + base +
              " is safe\n",
          {{"outcome", "unknown"},
           {"reason", reason.message_},
           {"base", base},
           {"write_id", update.new_object_.write_id_.value()}});
    return exit_status::unknown;
}

// Returns whether another write made the version that `update` was to make. The
// history shows this even after later changes.
bool history_shows_conflict(const rules_object& current,
                            const rules_update& update)
{
    const auto& history = current.history_;
    return std::any_of(history.begin(), history.end(),
                       [&](const rules_history_entry& e)
                       {
                           return e.version_ == update.new_object_.version_ &&
                                  e.write_id_ != update.new_object_.write_id_;
                       });
}

exit_status report_result(const arguments& args, const rules_update& update,
                          const write_result& result)
{
    if (result.outcome_ == write_outcome::accepted)
    {
        return report_accepted(args, update);
    }
    if (result.current_)
    {
        const auto current = rules_object_from_json(result.current_->value_);
        const bool is_refused = result.outcome_ == write_outcome::not_accepted;
        if (current && (is_refused || history_shows_conflict(*current, update)))
        {
            return report_conflict(args, *current, update.new_rules_);
        }
    }
    if (result.outcome_ == write_outcome::not_accepted)
    {
        return report_not_accepted(args, result.reason_);
    }
    return report_unknown(args, update, result.reason_);
}

// Reads the active rules into `update`; leaves `update` unchanged if none were
// ever applied.
tl::expected<void, error> read_previous(rules_update& update, session& s)
{
    auto current = read_stored_rules(s);
    if (current)
    {
        update.previous_version_ = current->object_version_;
        update.previous_ = std::move(current->object_);
        return {};
    }
    if (current.error().code_ == error_code::not_found)
    {
        return {};
    }
    return tl::unexpected(std::move(current.error()));
}

write_result put_new_object(const rules_update& update, session& s)
{
    object_write write;
    write.name_ = rules_object_name;
    write.expected_version_ = update.previous_version_;
    write.value_ = to_json(update.new_object_);
    write.write_id_ = update.new_object_.write_id_;
    return s.wait(s.store().put_if(std::move(write)));
}

exit_status write_rules(const arguments& args, rules_update& update, session& s)
{
    update.new_object_ = next_rules_object(
        update.previous_,
        {update.new_rules_.text_, args.author_, utc_now(), s.new_write_id()});
    return report_result(args, update, put_new_object(update, s));
}

// A read may be stale. Writes the same version of the rules once more, since
// only a conditional update proves that the version that was read is still
// active.
exit_status confirm_unchanged(const arguments& args, rules_update& update,
                              session& s)
{
    update.new_object_ = *update.previous_;
    update.new_object_.write_id_ = s.new_write_id();
    const write_result result = put_new_object(update, s);
    if (result.outcome_ == write_outcome::accepted)
    {
        return report_unchanged(args, update.new_object_);
    }
    if (result.outcome_ == write_outcome::unknown)
    {
        return report_unknown(args, update, result.reason_);
    }
    return report_result(args, update, result);
}

exit_status apply_new_rules(const arguments& args, rules_update& update,
                            session& s)
{
    if (!args.new_services_)
    {
        const auto errors = find_rules_without_roster(update.new_rules_, s);
        if (!errors)
        {
            return fail(args, errors.error());
        }
        if (!errors->empty())
        {
            return fail(args, args.words_[2], *errors);
        }
    }
    if (const auto read = read_previous(update, s); !read)
    {
        return fail(args, read.error());
    }
    if (update.previous_ && update.previous_->text_ == update.new_rules_.text_)
    {
        return confirm_unchanged(args, update, s);
    }
    const std::uint64_t version = update.previous_
                                      ? update.previous_->version_.value()
                                      : std::uint64_t{0};
    if (args.base_.value_or(version) != version)
    {
        return report_conflict(args, update.previous_.value_or(rules_object{}),
                               update.new_rules_);
    }
    return write_rules(args, update, s);
}

} // namespace

exit_status apply_rules(const arguments& args, session& s)
{
    const std::string& file = args.words_[2];
    const auto text = read_text_file(file);
    if (!text)
    {
        return fail(args, exit_status::bad_rules, text.error().message_);
    }
    auto parsed = parse_rules(*text);
    if (!parsed)
    {
        return fail(args, file, parsed.error());
    }
    rules_update update;
    update.new_rules_ = std::move(*parsed);
    return apply_new_rules(args, update, s);
}

} // namespace galenafork::ctl
