#include <galenafork/replicated_state.h>

#include <algorithm>
#include <set>

namespace galenafork
{

namespace
{

/// Returns the rule in `line`, or nothing if there is no valid rule.
std::optional<rule> parse_line(const std::string& line)
{
    const auto parsed = parse_rules(line);
    if (!parsed || parsed->rules_.empty())
    {
        return std::nullopt;
    }
    return parsed->rules_.front();
}

tl::expected<active_rules, error> parse_text(rules_version version,
                                             const std::string& text)
{
    auto parsed = parse_rules(text);
    if (!parsed)
    {
        return tl::unexpected(error{
            error_code::bad_rule, to_string(parsed.error().front(), "rules")});
    }
    return active_rules{version, text, std::move(parsed->rules_), {}};
}

using lines = std::vector<std::string>;

lines split_lines(const std::string& text)
{
    lines result(1);
    for (const char c : text)
    {
        if (c == '\n')
        {
            result.emplace_back();
            continue;
        }
        result.back() += c;
    }
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

/// Returns the shortest replacement of consecutive lines that turns `before`
/// into `after`.
text_edit edit_between(const lines& before, const lines& after)
{
    const std::size_t shorter = std::min(before.size(), after.size());
    std::size_t prefix_length = 0;
    while (prefix_length < shorter &&
           before[prefix_length] == after[prefix_length])
    {
        ++prefix_length;
    }
    std::size_t suffix_length = 0;
    while (suffix_length < shorter - prefix_length &&
           before[before.size() - 1 - suffix_length] ==
               after[after.size() - 1 - suffix_length])
    {
        ++suffix_length;
    }
    const auto changed_lines = [&](const lines& text)
    {
        const auto first =
            text.begin() + static_cast<std::ptrdiff_t>(prefix_length);
        return lines(first,
                     text.end() - static_cast<std::ptrdiff_t>(suffix_length));
    };
    return {prefix_length, changed_lines(before), changed_lines(after)};
}

/// Returns the lines after `edit`, or nothing if the lines to remove are not
/// there.
std::optional<lines> apply_edit(lines text, const text_edit& edit)
{
    if (edit.first_line_ > text.size() ||
        edit.removed_.size() > text.size() - edit.first_line_)
    {
        return std::nullopt;
    }
    const auto first =
        text.begin() + static_cast<std::ptrdiff_t>(edit.first_line_);
    const auto last = first + static_cast<std::ptrdiff_t>(edit.removed_.size());
    if (!std::equal(first, last, edit.removed_.begin()))
    {
        return std::nullopt;
    }
    const auto position = text.erase(first, last);
    text.insert(position, edit.added_.begin(), edit.added_.end());
    return text;
}

std::set<endpoint> addresses_of(const std::vector<rule>& rules)
{
    std::set<endpoint> addresses;
    for (const rule& r : rules)
    {
        addresses.insert(r.address_);
    }
    return addresses;
}

/// Adds the removed rules whose addresses are not in `used_addresses`, until
/// there are `max_retired_rules`.
void add_retired(std::vector<rule>& retired, std::set<endpoint>& used_addresses,
                 const std::vector<rule>& removed)
{
    for (const rule& r : removed)
    {
        if (retired.size() < max_retired_rules &&
            used_addresses.insert(r.address_).second)
        {
            retired.push_back(r);
        }
    }
}

std::vector<rule> parse_lines(const lines& removed)
{
    std::vector<rule> rules;
    for (const std::string& line : removed)
    {
        if (auto parsed = parse_line(line))
        {
            rules.push_back(std::move(*parsed));
        }
    }
    return rules;
}

} // namespace

std::optional<rules_delta> delta_between(const active_rules& before,
                                         const active_rules& after)
{
    if (after.version_.value() != before.version_.value() + 1)
    {
        return std::nullopt;
    }
    return rules_delta{after.version_, edit_between(split_lines(before.text_),
                                                    split_lines(after.text_))};
}

tl::expected<active_rules, error> apply(const active_rules& before,
                                        const rules_delta& delta)
{
    const auto text = apply_edit(split_lines(before.text_), delta.edit_);
    if (!text)
    {
        return tl::unexpected(
            error{error_code::bad_rule,
                  "the delta does not fit the current version of the rules"});
    }
    auto result = parse_text(delta.version_, join_lines(*text));
    if (!result)
    {
        return result;
    }
    auto used_addresses = addresses_of(result->rules_);
    add_retired(result->retired_, used_addresses,
                parse_lines(delta.edit_.removed_));
    add_retired(result->retired_, used_addresses, before.retired_);
    return result;
}

tl::expected<active_rules, error> make_active_rules(const rules_object& object)
{
    auto result = parse_text(object.version_, object.text_);
    if (!result)
    {
        return result;
    }
    auto used_addresses = addresses_of(result->rules_);
    for (auto entry = object.history_.rbegin(); entry != object.history_.rend();
         ++entry)
    {
        add_retired(result->retired_, used_addresses,
                    parse_lines(entry->edit_.removed_));
    }
    return result;
}

tl::expected<active_rules, error> make_active_rules(rules_version version,
                                                    const std::string& text,
                                                    const std::string& retired)
{
    auto result = parse_text(version, text);
    if (!result)
    {
        return result;
    }
    auto retired_rules = parse_text(version, retired);
    if (!retired_rules)
    {
        return retired_rules;
    }
    result->retired_ = std::move(retired_rules->rules_);
    return result;
}

} // namespace galenafork
