#include <galenafork/spread.h>

#include <set>

namespace galenafork
{

namespace
{

/// The rule that `line` holds, or nothing.
std::optional<rule> parse_line(const std::string& line)
{
    const auto parsed = parse_rules(line);
    if (!parsed || parsed->rules_.empty())
    {
        return std::nullopt;
    }
    return parsed->rules_.front();
}

tl::expected<rules_in_force, error> parse_text(rules_version version,
                                               const std::string& text)
{
    auto parsed = parse_rules(text);
    if (!parsed)
    {
        return tl::unexpected(error{
            error_code::bad_rule, to_string(parsed.error().front(), "rules")});
    }
    return rules_in_force{version, text, std::move(parsed->rules_), {}};
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

} // namespace

tl::expected<rules_in_force, error> rules_from(const rules_object& object)
{
    auto result = parse_text(object.version_, object.text_);
    if (!result)
    {
        return result;
    }
    auto taken = addresses_of(result->rules_);
    for (auto entry = object.history_.rbegin(); entry != object.history_.rend();
         ++entry)
    {
        for (const std::string& line : entry->edit_.removed_)
        {
            if (result->retired_.size() == max_retired_rules)
            {
                return result;
            }
            const auto removed = parse_line(line);
            if (removed && taken.insert(removed->address_).second)
            {
                result->retired_.push_back(*removed);
            }
        }
    }
    return result;
}

tl::expected<rules_in_force, error> rules_from(rules_version version,
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
