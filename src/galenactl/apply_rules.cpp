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

// What is applied, on top of what.
struct pending_apply
{
    rule_set wanted_;
    std::optional<rules_object> before_;
    object_version before_version_;
    rules_object next_;
};

std::string version_text(const rules_object& object)
{
    return "version " + std::to_string(object.version_.value()) + " by " +
           object.author_ + " at " + object.time_;
}

// Rules that were accepted once parse; a foreign object counts as empty.
rule_set rules_or_empty(const rules_object& object)
{
    return parse_rules_of(object).value_or(rule_set{});
}

tl::expected<std::vector<rule_error>, error>
find_unannounced(const rule_set& wanted, session& s)
{
    const auto rosters = s.wait(s.store().list(roster_object_prefix));
    if (!rosters)
    {
        return tl::unexpected(rosters.error());
    }
    std::set<std::string> announced;
    for (const object_entry& entry : *rosters)
    {
        announced.insert(entry.name_);
    }
    std::vector<rule_error> faults;
    for (const rule& r : wanted.rules_)
    {
        if (announced.count(roster_object_name(r.service_)) == 0)
        {
            faults.push_back({r.line_, r.service_column_,
                              "no instance of service '" + r.service_.value() +
                                  "' was ever announced (--new-services "
                                  "accepts the rule all the same)"});
        }
    }
    return faults;
}

exit_status report_accepted(const arguments& given, const pending_apply& a)
{
    const rule_set before = a.before_ ? rules_or_empty(*a.before_) : rule_set{};
    const rules_diff diff = diff_rules(before, a.wanted_);
    print(given, "accepted: " + version_text(a.next_) + "\n" + to_text(diff),
          {{"outcome", "accepted"},
           {"version", a.next_.version_.value()},
           {"write_id", a.next_.write_id_.value()},
           {"difference", to_json(diff)}});
    return exit_status::success;
}

exit_status report_unchanged(const arguments& given, const rules_object& object)
{
    print(given, "unchanged: " + version_text(object) + " holds these rules\n",
          {{"outcome", "unchanged"}, {"version", object.version_.value()}});
    return exit_status::success;
}

// Another change won: says whose, and how its rules differ from the file.
exit_status report_lost_race(const arguments& given, const rules_object& winner,
                             const rule_set& wanted)
{
    const rules_diff diff = diff_rules(rules_or_empty(winner), wanted);
    const std::string text = "not accepted: " + version_text(winner) +
                             " is in force; from there to your file:\n" +
                             to_text(diff);
    print(given, text,
          {{"outcome", "not_accepted"},
           {"reason", "conflict"},
           {"winner",
            {{"version", winner.version_.value()},
             {"author", winner.author_},
             {"time", winner.time_}}},
           {"difference", to_json(diff)}});
    return exit_status::not_accepted;
}

// Refused, but the winner's rules could not be read, or never sent.
exit_status report_not_accepted(const arguments& given, const error& reason)
{
    print(given, "not accepted: " + reason.message_ + "\n",
          {{"outcome", "not_accepted"}, {"reason", reason.message_}});
    return reason.code_ == error_code::conflict ? exit_status::not_accepted
                                                : exit_status::failure;
}

exit_status report_unknown(const arguments& given, const pending_apply& a,
                           const error& reason)
{
    const std::string base =
        std::to_string(a.before_ ? a.before_->version_.value() : 0);
    print(given,
          "unknown: " + reason.message_ + "; 'rules history' will show write " +
              a.next_.write_id_.value() +
              " if it took effect, and applying with --base " + base +
              " again is safe\n",
          {{"outcome", "unknown"},
           {"reason", reason.message_},
           {"base", base},
           {"write_id", a.next_.write_id_.value()}});
    return exit_status::unknown;
}

// The history may still tell what later versions covered.
bool history_shows_lost_race(const rules_object& current,
                             const pending_apply& a)
{
    const auto& history = current.history_;
    return std::any_of(history.begin(), history.end(),
                       [&](const rules_history_entry& e) {
                           return e.version_ == a.next_.version_ &&
                                  e.write_id_ != a.next_.write_id_;
                       });
}

exit_status report(const arguments& given, const pending_apply& a,
                   const write_result& result)
{
    if (result.outcome_ == write_outcome::accepted)
    {
        return report_accepted(given, a);
    }
    if (result.current_)
    {
        const auto current = rules_object_from_json(result.current_->value_);
        const bool is_proved = result.outcome_ == write_outcome::not_accepted;
        if (current && (is_proved || history_shows_lost_race(*current, a)))
        {
            return report_lost_race(given, *current, a.wanted_);
        }
    }
    if (result.outcome_ == write_outcome::not_accepted)
    {
        return report_not_accepted(given, result.reason_);
    }
    return report_unknown(given, a, result.reason_);
}

// Reads what is in force; nothing if no rules were ever applied.
tl::expected<void, error> read_before(pending_apply& a, session& s)
{
    auto current = read_stored_rules(s);
    if (current)
    {
        a.before_version_ = current->object_version_;
        a.before_ = std::move(current->object_);
        return {};
    }
    if (current.error().code_ == error_code::not_found)
    {
        return {};
    }
    return tl::unexpected(std::move(current.error()));
}

write_result put_next(const pending_apply& a, session& s)
{
    object_write write;
    write.name_ = rules_object_name;
    write.expected_version_ = a.before_version_;
    write.value_ = to_json(a.next_);
    write.write_id_ = a.next_.write_id_;
    return s.wait(s.store().put_if(std::move(write)));
}

exit_status write_rules(const arguments& given, pending_apply& a, session& s)
{
    a.next_ = next_rules_object(a.before_, {a.wanted_.text_, given.author_,
                                            utc_now(), s.new_write_id()});
    return report(given, a, put_next(a, s));
}

// A read may be stale. Only a conditional update shows that what was read is
// still in force: it writes the same version of the rules once more.
exit_status confirm_unchanged(const arguments& given, pending_apply& a,
                              session& s)
{
    a.next_ = *a.before_;
    a.next_.write_id_ = s.new_write_id();
    const write_result result = put_next(a, s);
    if (result.outcome_ == write_outcome::accepted)
    {
        return report_unchanged(given, a.next_);
    }
    if (result.outcome_ == write_outcome::unknown)
    {
        return report_unknown(given, a, result.reason_);
    }
    return report(given, a, result);
}

exit_status apply_wanted(const arguments& given, pending_apply& a, session& s)
{
    if (!given.new_services_)
    {
        const auto faults = find_unannounced(a.wanted_, s);
        if (!faults)
        {
            return fail(given, faults.error());
        }
        if (!faults->empty())
        {
            return fail(given, given.words_[2], *faults);
        }
    }
    if (const auto read = read_before(a, s); !read)
    {
        return fail(given, read.error());
    }
    if (a.before_ && a.before_->text_ == a.wanted_.text_)
    {
        return confirm_unchanged(given, a, s);
    }
    const std::uint64_t version =
        a.before_ ? a.before_->version_.value() : std::uint64_t{0};
    if (given.base_.value_or(version) != version)
    {
        return report_lost_race(given, a.before_.value_or(rules_object{}),
                                a.wanted_);
    }
    return write_rules(given, a, s);
}

} // namespace

exit_status apply_rules(const arguments& given, session& s)
{
    const std::string& file = given.words_[2];
    const auto text = read_text_file(file);
    if (!text)
    {
        return fail(given, exit_status::bad_rules, text.error().message_);
    }
    auto parsed = parse_rules(*text);
    if (!parsed)
    {
        return fail(given, file, parsed.error());
    }
    pending_apply a;
    a.wanted_ = std::move(*parsed);
    return apply_wanted(given, a, s);
}

} // namespace galenafork::ctl
