#include <galenafork/settings.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <toml++/toml.h>

namespace galenafork
{

namespace
{

using outcome = tl::expected<void, std::string>;

tl::unexpected<std::string> conversion_error(std::string reason)
{
    return tl::unexpected<std::string>(std::move(reason));
}

settings_position position_of(const toml::source_region& source)
{
    return {static_cast<std::uint32_t>(source.begin.line),
            static_cast<std::uint32_t>(source.begin.column)};
}

setting_value value_of(const toml::node& node)
{
    setting_value value;
    value.position_ = position_of(node.source());
    if (const auto* text = node.as_string())
    {
        value.kind_ = setting_kind::text;
        value.text_ = text->get();
    }
    else if (const auto* integer = node.as_integer())
    {
        value.kind_ = setting_kind::integer;
        value.integer_ = integer->get();
    }
    else if (const auto* floating = node.as_floating_point())
    {
        value.kind_ = setting_kind::floating;
        value.floating_ = floating->get();
    }
    else if (const auto* boolean = node.as_boolean())
    {
        value.kind_ = setting_kind::boolean;
        value.boolean_ = boolean->get();
    }
    else if (const auto* array = node.as_array())
    {
        value.kind_ = setting_kind::array;
        for (const toml::node& item : *array)
        {
            value.items_.push_back(value_of(item));
        }
    }
    return value;
}

settings_table table_of(const toml::table& source)
{
    settings_table table;
    table.position_ = position_of(source.source());
    for (const auto& [key, node] : source)
    {
        const std::string name(key.str());
        if (const auto* child = node.as_table())
        {
            table.sections_[name] = table_of(*child);
            table.sections_[name].position_ = position_of(key.source());
            continue;
        }
        table.values_[name] = value_of(node);
        table.values_[name].position_ = position_of(key.source());
    }
    return table;
}

struct unit
{
    const char* name_;
    std::uint64_t scale_;
};

constexpr std::array<unit, 5> duration_units{{{"us", 1},
                                              {"ms", 1'000},
                                              {"s", 1'000'000},
                                              {"min", 60'000'000},
                                              {"h", 3'600'000'000}}};

constexpr std::array<unit, 3> size_units{
    {{"B", 1}, {"KiB", 1'024}, {"MiB", 1'048'576}}};

template <std::size_t Count>
const unit* find_unit(const std::array<unit, Count>& units,
                      const std::string& name)
{
    const auto found =
        std::find_if(units.begin(), units.end(),
                     [&](const unit& u) { return name == u.name_; });
    return found == units.end() ? nullptr : &*found;
}

/// Parses "NUMBER UNIT" into a multiple of the smallest unit. Returns false if
/// the text has another form or the value is out of range.
template <std::size_t Count>
bool parse_quantity(const std::string& text,
                    const std::array<unit, Count>& units, std::uint64_t& out)
{
    const char* end = text.data() + text.size();
    std::uint64_t number = 0;
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr == end || *result.ptr != ' ')
    {
        return false;
    }
    const unit* found = find_unit(units, std::string(result.ptr + 1, end));
    // Half of the range, so that the value fits a signed integer too.
    constexpr auto max_value = std::numeric_limits<std::uint64_t>::max() / 2;
    if (found == nullptr || number > max_value / found->scale_)
    {
        return false;
    }
    out = number * found->scale_;
    return true;
}

template <std::size_t Count>
std::string quantity_text(std::uint64_t value,
                          const std::array<unit, Count>& units)
{
    const unit* largest_unit = &units[0];
    for (const unit& u : units)
    {
        if (value != 0 && value % u.scale_ == 0)
        {
            largest_unit = &u;
        }
    }
    return std::to_string(value / largest_unit->scale_) + " " +
           largest_unit->name_;
}

} // namespace

outcome convert(const setting_value& value, std::string& out)
{
    if (value.kind_ != setting_kind::text)
    {
        return conversion_error("must be a string in quotes");
    }
    out = value.text_;
    return {};
}

outcome convert(const setting_value& value, bool& out)
{
    if (value.kind_ != setting_kind::boolean)
    {
        return conversion_error("must be true or false");
    }
    out = value.boolean_;
    return {};
}

outcome convert(const setting_value& value, std::uint64_t& out)
{
    if (value.kind_ != setting_kind::integer || value.integer_ < 0)
    {
        return conversion_error("must be a whole number of 0 or more");
    }
    out = static_cast<std::uint64_t>(value.integer_);
    return {};
}

outcome convert(const setting_value& value, double& out)
{
    if (value.kind_ == setting_kind::integer)
    {
        out = static_cast<double>(value.integer_);
        return {};
    }
    if (value.kind_ != setting_kind::floating)
    {
        return conversion_error("must be a number");
    }
    out = value.floating_;
    return {};
}

outcome convert(const setting_value& value, endpoint& out)
{
    if (value.kind_ != setting_kind::text)
    {
        return conversion_error("must be an address and port in quotes");
    }
    const auto parsed = parse_endpoint(value.text_);
    if (!parsed)
    {
        return conversion_error(parsed.error().message_);
    }
    out = *parsed;
    return {};
}

outcome convert(const setting_value& value, duration& out)
{
    std::uint64_t microseconds = 0;
    if (value.kind_ != setting_kind::text ||
        !parse_quantity(value.text_, duration_units, microseconds))
    {
        return conversion_error(
            "must be a time with its unit, such as \"150 ms\" "
            "(us, ms, s, min, h)");
    }
    out = duration(static_cast<std::int64_t>(microseconds));
    return {};
}

outcome convert(const setting_value& value, byte_count& out)
{
    std::uint64_t bytes = 0;
    if (value.kind_ != setting_kind::text ||
        !parse_quantity(value.text_, size_units, bytes))
    {
        return conversion_error(
            "must be a size with its unit, such as \"64 KiB\" "
            "(B, KiB, MiB)");
    }
    out = byte_count(bytes);
    return {};
}

namespace pvt
{

outcome convert_name(const setting_value& value, std::string& out)
{
    if (value.kind_ != setting_kind::text || !is_valid_name(value.text_))
    {
        return conversion_error(
            "must be a name in quotes: 1 to 63 of a-z, 0-9 and -");
    }
    out = value.text_;
    return {};
}

std::string out_of_range_text(const std::string& low, const std::string& high)
{
    return "must be from " + low + " to " + high;
}

std::string limit_text(std::uint64_t value)
{
    return std::to_string(value);
}

std::string limit_text(double value)
{
    return std::to_string(value);
}

std::string limit_text(duration value)
{
    return quantity_text(static_cast<std::uint64_t>(value.count()),
                         duration_units);
}

std::string limit_text(byte_count value)
{
    return quantity_text(value.value(), size_units);
}

} // namespace pvt

void settings_error_list::add(settings_position position, std::string reason)
{
    errors_.push_back({position, std::move(reason)});
}

std::vector<settings_error> settings_error_list::sorted() const
{
    auto result = errors_;
    std::stable_sort(result.begin(), result.end(),
                     [](const settings_error& a, const settings_error& b)
                     { return a.position_ < b.position_; });
    return result;
}

settings_section::settings_section(std::string name,
                                   const settings_table& table,
                                   settings_error_list& errors)
    : name_(std::move(name)), table_(&table), errors_(&errors)
{
}

settings_section settings_section::section(const std::string& name)
{
    static const settings_table empty;
    read_keys_.insert(name);
    const auto found = table_->sections_.find(name);
    const bool absent = found == table_->sections_.end();
    if (absent && table_->values_.count(name) != 0)
    {
        add_error(name, "must be a section");
    }
    return {full_name(name), absent ? empty : found->second, *errors_};
}

void settings_section::add_error(const std::string& key,
                                 const std::string& reason)
{
    const auto value = table_->values_.find(key);
    const auto section = table_->sections_.find(key);
    settings_position position = table_->position_;
    if (value != table_->values_.end())
    {
        position = value->second.position_;
    }
    else if (section != table_->sections_.end())
    {
        position = section->second.position_;
    }
    errors_->add(position, full_name(key) + " " + reason);
}

void settings_section::report_unknown_keys()
{
    for (const auto& [key, value] : table_->values_)
    {
        if (read_keys_.count(key) == 0)
        {
            add_error(key, "is not a known setting");
        }
    }
    for (const auto& [key, section] : table_->sections_)
    {
        if (read_keys_.count(key) == 0)
        {
            add_error(key, "is not a known section");
        }
    }
}

const setting_value* settings_section::find(const std::string& key)
{
    read_keys_.insert(key);
    const auto found = table_->values_.find(key);
    if (found == table_->values_.end())
    {
        if (table_->sections_.count(key) != 0)
        {
            add_error(key, "must be a value, not a section");
        }
        return nullptr;
    }
    return &found->second;
}

void settings_section::report_missing(const std::string& key)
{
    if (table_->sections_.count(key) == 0)
    {
        add_error(key, "is missing");
    }
}

std::string settings_section::full_name(const std::string& key) const
{
    return name_.empty() ? key : name_ + "." + key;
}

tl::expected<settings_table, settings_error>
parse_settings(const std::string& text)
{
    try
    {
        return table_of(toml::parse(text));
    }
    catch (const toml::parse_error& failure)
    {
        return tl::unexpected(settings_error{
            position_of(failure.source()), std::string(failure.description())});
    }
}

std::string format_settings_errors(const std::string& file,
                                   const std::vector<settings_error>& errors)
{
    std::string text;
    for (const settings_error& e : errors)
    {
        text += file + ":" + std::to_string(e.position_.line_) + ":" +
                std::to_string(e.position_.column_) + ": " + e.reason_ + "\n";
    }
    return text;
}

} // namespace galenafork
