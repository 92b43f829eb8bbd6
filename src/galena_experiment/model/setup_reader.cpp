#include "setup_reader.h"

#include <cmath>

namespace galenafork::pvt
{

namespace
{

constexpr double max_duration_ms = 3600e3;

std::string range_text(double low, double high)
{
    const auto text = [](double value)
    {
        std::string digits = std::to_string(value);
        digits.erase(digits.find_last_not_of('0') + 1);
        return digits.back() == '.' ? digits.substr(0, digits.size() - 1)
                                    : digits;
    };
    return " between " + text(low) + " and " + text(high);
}

} // namespace

void setup_errors::add(std::size_t line, const std::string& message)
{
    errors_.emplace(line, message);
}

std::vector<std::string> setup_errors::sorted() const
{
    std::vector<std::string> lines;
    for (const auto& [line, message] : errors_)
    {
        lines.push_back(file_ + ":" + std::to_string(line) + ": " + message);
    }
    return lines;
}

std::size_t table_reader::line() const
{
    return table_.source().begin.line;
}

const toml::node* table_reader::find(const std::string& key)
{
    allowed_keys_.insert(key);
    return table_.get(key);
}

void table_reader::add_error(const std::string& key, const std::string& message)
{
    const toml::node* node = find(key);
    errors_.add(node != nullptr ? node->source().begin.line : line(),
                key + " " + message);
}

void table_reader::allow(const std::string& key)
{
    allowed_keys_.insert(key);
}

void table_reader::require(const std::string& key)
{
    if (find(key) == nullptr)
    {
        add_error(key, "is missing");
    }
}

void table_reader::read(const std::string& key, double& value, double low,
                        double high)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return;
    }
    const auto number = node->value<double>();
    if (!node->is_number() || !number || !(*number >= low && *number <= high))
    {
        return add_error(key, "must be a number" + range_text(low, high));
    }
    value = *number;
}

void table_reader::read(const std::string& key, std::uint32_t& value,
                        std::uint32_t low, std::uint32_t high)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return;
    }
    const auto number = node->value_exact<std::int64_t>();
    if (!number || *number < low || *number > high)
    {
        return add_error(key, "must be a whole number" + range_text(low, high));
    }
    value = static_cast<std::uint32_t>(*number);
}

void table_reader::read(const std::string& key, duration& value)
{
    double ms = static_cast<double>(value.count()) / 1e3;
    read(key, ms, 0, max_duration_ms);
    value = duration(std::llround(ms * 1e3));
}

void table_reader::read(const std::string& key, bool& value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return;
    }
    const auto flag = node->value_exact<bool>();
    if (!flag)
    {
        return add_error(key, "must be true or false");
    }
    value = *flag;
}

void table_reader::read(const std::string& key, std::string& value)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return;
    }
    const auto text = node->value_exact<std::string>();
    if (!text)
    {
        return add_error(key, "must be a string");
    }
    value = *text;
}

void table_reader::read(const std::string& key,
                        std::vector<std::uint32_t>& value, std::uint32_t low,
                        std::uint32_t high)
{
    const toml::node* node = find(key);
    if (node == nullptr)
    {
        return;
    }
    const toml::array* list = node->as_array();
    std::vector<std::uint32_t> numbers;
    for (std::size_t i = 0; list != nullptr && i < list->size(); ++i)
    {
        const auto number = list->get(i)->value_exact<std::int64_t>();
        if (number && *number >= low && *number <= high)
        {
            numbers.push_back(static_cast<std::uint32_t>(*number));
        }
    }
    if (list == nullptr || list->empty() || numbers.size() != list->size())
    {
        return add_error(key, "must be a list of whole numbers" +
                                  range_text(low, high));
    }
    value = numbers;
}

void table_reader::report_unknown_keys()
{
    for (const auto& [key, node] : table_)
    {
        const std::string name(key.str());
        if (allowed_keys_.count(name) == 0)
        {
            errors_.add(node.source().begin.line,
                        name + " is not a known setting");
        }
    }
}

} // namespace galenafork::pvt
