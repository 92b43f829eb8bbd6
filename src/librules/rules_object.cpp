#include <galenafork/rules_object.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace galenafork
{

namespace
{

using json = nlohmann::json;
using lines = std::vector<std::string>;

// The text after the last line feed counts as a line, even if it is empty, so
// that `join_lines` restores every text exactly.
lines split_lines(const std::string& text)
{
    lines result;
    std::size_t start = 0;
    for (auto end = text.find('\n'); end != std::string::npos;
         end = text.find('\n', start))
    {
        result.push_back(text.substr(start, end - start));
        start = end + 1;
    }
    result.push_back(text.substr(start));
    return result;
}

std::string join_lines(const lines& parts)
{
    std::string text;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        text += i == 0 ? "" : "\n";
        text += parts[i];
    }
    return text;
}

text_edit edit_between(const lines& before, const lines& after)
{
    const auto first =
        std::mismatch(before.begin(), before.end(), after.begin(), after.end());
    const auto last =
        std::mismatch(before.rbegin(), std::make_reverse_iterator(first.first),
                      after.rbegin(), std::make_reverse_iterator(first.second));
    text_edit edit;
    edit.first_line_ =
        static_cast<std::size_t>(std::distance(before.begin(), first.first));
    edit.removed_.assign(first.first, last.first.base());
    edit.added_.assign(first.second, last.second.base());
    return edit;
}

// Reverts `edit`. Returns false if the lines that it added are not in `text`.
bool revert_edit(lines& text, const text_edit& edit)
{
    const std::size_t first = edit.first_line_;
    if (first > text.size() || edit.added_.size() > text.size() - first)
    {
        return false;
    }
    const auto begin = text.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = begin + static_cast<std::ptrdiff_t>(edit.added_.size());
    if (!std::equal(begin, end, edit.added_.begin()))
    {
        return false;
    }
    const auto at = text.erase(begin, end);
    text.insert(at, edit.removed_.begin(), edit.removed_.end());
    return true;
}

std::size_t bytes_of(const lines& text)
{
    std::size_t total = 0;
    for (const std::string& line : text)
    {
        total += line.size();
    }
    return total;
}

std::size_t bytes_of(const rules_history_entry& entry)
{
    return bytes_of(entry.edit_.removed_) + bytes_of(entry.edit_.added_);
}

void trim_history(std::vector<rules_history_entry>& history)
{
    std::size_t kept = 0;
    std::size_t bytes = 0;
    for (auto entry = history.rbegin(); entry != history.rend(); ++entry)
    {
        bytes += bytes_of(*entry);
        // The newest entry is kept whatever its size.
        if (kept > 0 &&
            (kept == max_history_entries || bytes > max_history_bytes))
        {
            break;
        }
        ++kept;
    }
    history.erase(history.begin(),
                  history.end() - static_cast<std::ptrdiff_t>(kept));
}

json entry_to_json(const rules_history_entry& entry)
{
    return {{"version", entry.version_.value()},
            {"author", entry.author_},
            {"time", entry.time_},
            {"write_id", entry.write_id_.value()},
            {"first_line", entry.edit_.first_line_},
            {"removed", entry.edit_.removed_},
            {"added", entry.edit_.added_}};
}

rules_version version_from(const json& j)
{
    const json& version = j.at("version");
    if (!version.is_number_unsigned())
    {
        throw std::invalid_argument("version is not an unsigned integer");
    }
    return rules_version(version.get<std::uint64_t>());
}

rules_history_entry entry_from_json(const json& j)
{
    rules_history_entry entry;
    entry.version_ = version_from(j);
    entry.author_ = j.at("author").get<std::string>();
    entry.time_ = j.at("time").get<std::string>();
    entry.write_id_ = write_id(j.at("write_id").get<std::string>());
    entry.edit_.first_line_ = j.at("first_line").get<std::size_t>();
    entry.edit_.removed_ = j.at("removed").get<lines>();
    entry.edit_.added_ = j.at("added").get<lines>();
    return entry;
}

rules_object object_from_json(const json& j)
{
    rules_object object;
    object.version_ = version_from(j);
    object.text_ = j.at("text").get<std::string>();
    object.author_ = j.at("author").get<std::string>();
    object.time_ = j.at("time").get<std::string>();
    object.write_id_ = write_id(j.at("write_id").get<std::string>());
    for (const json& entry : j.at("history"))
    {
        object.history_.push_back(entry_from_json(entry));
    }
    return object;
}

} // namespace

rules_object next_rules_object(const std::optional<rules_object>& current,
                               const rules_proposal& proposal)
{
    const rules_object before = current.value_or(rules_object{});
    rules_object next;
    next.version_ = rules_version(before.version_.value() + 1);
    next.text_ = proposal.text_;
    next.author_ = proposal.author_;
    next.time_ = proposal.time_;
    next.write_id_ = proposal.write_id_;
    next.history_ = before.history_;
    next.history_.push_back(
        {next.version_, next.author_, next.time_, next.write_id_,
         edit_between(split_lines(before.text_), split_lines(next.text_))});
    trim_history(next.history_);
    return next;
}

tl::expected<std::string, error> rules_text_at(const rules_object& object,
                                               rules_version version)
{
    lines text = split_lines(object.text_);
    rules_version reached = object.version_;
    for (auto entry = object.history_.rbegin();
         entry != object.history_.rend() && version < reached; ++entry)
    {
        if (entry->version_ != reached || !revert_edit(text, entry->edit_))
        {
            break;
        }
        reached = rules_version(reached.value() - 1);
    }
    if (reached != version || version.value() == 0)
    {
        return tl::unexpected(
            error{error_code::not_found, "version " +
                                             std::to_string(version.value()) +
                                             " is not in the history"});
    }
    return join_lines(text);
}

std::string to_json(const rules_object& object)
{
    json history = json::array();
    for (const rules_history_entry& entry : object.history_)
    {
        history.push_back(entry_to_json(entry));
    }
    const json j{{"version", object.version_.value()},
                 {"text", object.text_},
                 {"author", object.author_},
                 {"time", object.time_},
                 {"write_id", object.write_id_.value()},
                 {"history", std::move(history)}};
    return j.dump(-1, ' ', false, json::error_handler_t::replace);
}

tl::expected<rules_object, error>
rules_object_from_json(const std::string& text)
{
    try
    {
        return object_from_json(json::parse(text));
    }
    catch (const std::exception& e)
    {
        return tl::unexpected(
            error{error_code::bad_message,
                  std::string("the rules object is malformed: ") + e.what()});
    }
}

tl::expected<rule_set, error> parse_rules_of(const rules_object& object)
{
    auto parsed = parse_rules(object.text_);
    if (!parsed)
    {
        return tl::unexpected(
            error{error_code::bad_rule,
                  to_string(parsed.error().front(), rules_object_name)});
    }
    parsed->version_ = object.version_;
    return std::move(*parsed);
}

} // namespace galenafork
