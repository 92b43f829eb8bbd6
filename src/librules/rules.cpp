#include <galenafork/rules.h>

#include <librules/line_reader.h>

#include <algorithm>
#include <map>
#include <string_view>

namespace galenafork
{

namespace
{

using lines_by_address = std::map<endpoint, std::size_t>;

// Parses one line that contains a rule, and adds its errors to `errors`.
void read_rule(pvt::line_reader& reader, rule_set& result,
               lines_by_address& seen, std::vector<rule_error>& errors)
{
    rule r;
    r.line_ = reader.line();
    const std::size_t errors_before = errors.size();
    reader.read_kind(r.kind_, errors);
    const std::size_t address_column = reader.next_column();
    const bool has_address = reader.read_address(r.address_, errors);
    reader.read_arrow(errors);
    r.service_column_ = reader.next_column();
    reader.read_service(r.service_, errors);
    reader.read_end(errors);
    reader.read_comment(r.requested_by_, errors);
    if (has_address)
    {
        const auto [earlier, is_new] = seen.emplace(r.address_, r.line_);
        if (!is_new)
        {
            errors.push_back({r.line_, address_column,
                              "address " + galenafork::to_string(r.address_) +
                                  " already has a rule on line " +
                                  std::to_string(earlier->second)});
        }
    }
    if (errors.size() == errors_before)
    {
        result.rules_.push_back(std::move(r));
    }
}

void read_line(std::size_t line_number, std::string_view line, rule_set& result,
               lines_by_address& seen, std::vector<rule_error>& errors)
{
    if (const auto invalid = pvt::find_invalid_byte(line))
    {
        errors.push_back({line_number, invalid->column_, invalid->reason_});
        return;
    }
    pvt::line_reader reader(line_number, line);
    if (!reader.at_end())
    {
        read_rule(reader, result, seen, errors);
    }
}

std::map<endpoint, const rule*> by_address(const rule_set& rules)
{
    std::map<endpoint, const rule*> result;
    for (const rule& r : rules.rules_)
    {
        result.emplace(r.address_, &r);
    }
    return result;
}

} // namespace

const char* to_string(rule_kind kind)
{
    return kind == rule_kind::coap ? "coap" : "udp";
}

tl::expected<rule_set, std::vector<rule_error>>
parse_rules(const std::string& text)
{
    if (text.size() > max_rules_bytes)
    {
        return tl::unexpected(std::vector<rule_error>{
            {1, 1,
             "the file is longer than " + std::to_string(max_rules_bytes) +
                 " bytes"}});
    }
    rule_set result;
    std::vector<rule_error> errors;
    lines_by_address seen;
    std::string_view rest = text;
    for (std::size_t line_number = 1; !rest.empty(); ++line_number)
    {
        const std::size_t end = std::min(rest.find('\n'), rest.size());
        read_line(line_number, rest.substr(0, end), result, seen, errors);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    if (!errors.empty())
    {
        return tl::unexpected(std::move(errors));
    }
    result.text_ = text;
    return result;
}

std::string to_string(const rule& r)
{
    return std::string(to_string(r.kind_)) + " " + to_string(r.address_) +
           " -> " + r.service_.value() + "   # " + r.requested_by_;
}

std::string format_rules(const std::vector<rule>& rules)
{
    std::string text;
    for (const rule& r : rules)
    {
        text += to_string(r);
        text += '\n';
    }
    return text;
}

std::string to_string(const rule_error& e, const std::string& file)
{
    return file + ":" + std::to_string(e.line_) + ":" +
           std::to_string(e.column_) + ": " + e.reason_;
}

rules_diff diff_rules(const rule_set& before, const rule_set& after)
{
    rules_diff result;
    const auto old_rules = by_address(before);
    const auto new_rules = by_address(after);
    for (const auto& [address, old_rule] : old_rules)
    {
        const auto found = new_rules.find(address);
        if (found == new_rules.end())
        {
            result.removed_.push_back(*old_rule);
        }
        else if (*found->second != *old_rule)
        {
            result.changed_.push_back({*old_rule, *found->second});
        }
    }
    for (const auto& [address, new_rule] : new_rules)
    {
        if (old_rules.count(address) == 0)
        {
            result.added_.push_back(*new_rule);
        }
    }
    return result;
}

const rule* find_rule(const rule_set& rules, const endpoint& address)
{
    const auto found =
        std::find_if(rules.rules_.begin(), rules.rules_.end(),
                     [&](const rule& r) { return r.address_ == address; });
    return found == rules.rules_.end() ? nullptr : &*found;
}

} // namespace galenafork
