/// \file
/// Typed reading of a TOML settings file. The file is checked as a whole: a
/// daemon declares the keys that it reads and gets all errors of the file at
/// once, each with its line and column.

#ifndef GALENAFORK_SETTINGS_H
#define GALENAFORK_SETTINGS_H

#include <galenafork/endpoint.h>
#include <galenafork/ids.h>
#include <galenafork/strong_type.h>
#include <galenafork/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// A size in bytes.
using byte_count = strong_type<struct byte_count_tag, std::uint64_t>;

/// A position in a settings file; line and column count from 1.
struct settings_position
{
    std::uint32_t line_ = 1;
    std::uint32_t column_ = 1;

    friend bool operator<(const settings_position& a,
                          const settings_position& b)
    {
        return a.line_ != b.line_ ? a.line_ < b.line_ : a.column_ < b.column_;
    }
};

/// One error in a settings file.
struct settings_error
{
    settings_position position_;
    std::string reason_;
};

/// Type of a value as written in the file.
enum class setting_kind
{
    text,
    integer,
    floating,
    boolean,
    array,
    other,
};

/// One value as written in the file.
struct setting_value
{
    setting_kind kind_ = setting_kind::other;
    settings_position position_;
    std::string text_;
    std::int64_t integer_ = 0;
    double floating_ = 0;
    bool boolean_ = false;
    std::vector<setting_value> items_;
};

/// A table of the file: the top level or one `[section]`.
struct settings_table
{
    settings_position position_;
    std::map<std::string, setting_value> values_;
    std::map<std::string, settings_table> sections_;
};

/// \name Conversion of one value
/// Each fails with a human-readable reason without a position. Durations are
/// strings such as `"150 ms"` (units us, ms, s, min, h), sizes such as
/// `"64 KiB"` (units B, KiB, MiB).
/// @{
tl::expected<void, std::string> convert(const setting_value& value,
                                        std::string& out);
tl::expected<void, std::string> convert(const setting_value& value, bool& out);
tl::expected<void, std::string> convert(const setting_value& value,
                                        std::uint64_t& out);
tl::expected<void, std::string> convert(const setting_value& value,
                                        double& out);
tl::expected<void, std::string> convert(const setting_value& value,
                                        endpoint& out);
tl::expected<void, std::string> convert(const setting_value& value,
                                        duration& out);
tl::expected<void, std::string> convert(const setting_value& value,
                                        byte_count& out);
/// @}

namespace pvt
{

tl::expected<void, std::string> convert_name(const setting_value& value,
                                             std::string& out);
std::string out_of_range_text(const std::string& low, const std::string& high);
std::string limit_text(std::uint64_t value);
std::string limit_text(double value);
std::string limit_text(duration value);
std::string limit_text(byte_count value);

} // namespace pvt

/// Converts to a strong type: to a name of a service, an instance or a data
/// centre if its representation is a string, otherwise to a number. Fails like
/// the other conversions.
template <class Tag, class Rep>
tl::expected<void, std::string> convert(const setting_value& value,
                                        strong_type<Tag, Rep>& out)
{
    if constexpr (std::is_same_v<Rep, std::string>)
    {
        std::string text;
        auto result = pvt::convert_name(value, text);
        out = strong_type<Tag, Rep>(text);
        return result;
    }
    else
    {
        std::uint64_t number = 0;
        auto result = convert(value, number);
        out = strong_type<Tag, Rep>(static_cast<Rep>(number));
        return result;
    }
}

/// Converts an array item by item. Fails with the reason of the first invalid
/// item.
template <class T>
tl::expected<void, std::string> convert(const setting_value& value,
                                        std::vector<T>& out)
{
    if (value.kind_ != setting_kind::array)
    {
        return tl::unexpected(std::string("must be an array"));
    }
    for (const setting_value& item : value.items_)
    {
        T converted{};
        if (auto result = convert(item, converted); !result)
        {
            return result;
        }
        out.push_back(converted);
    }
    return {};
}

/// Range of the accepted values of a setting; both limits are included.
template <class T>
struct setting_range
{
    T min_;
    T max_;
};

/// Collects the errors of one settings file.
class settings_error_list
{
public:
    /// Adds an error.
    void add(settings_position position, std::string reason);

    /// Returns all errors, sorted by position in the file.
    std::vector<settings_error> sorted() const;

private:
    std::vector<settings_error> errors_;
};

/// Reads the keys of one table. Adds an error for each invalid value and for
/// each missing mandatory key, and leaves the variable of that key unchanged.
/// Remembers which keys were read, so that `report_unknown_keys` can report the
/// others.
class settings_section
{
public:
    /// Reads `table` and adds its errors, which call the table `name`, to
    /// `errors`. Both references must outlive the section.
    settings_section(std::string name, const settings_table& table,
                     settings_error_list& errors);

    /// Reads a mandatory key.
    template <class T>
    settings_section& required(const std::string& key, T& out)
    {
        if (find(key) == nullptr)
        {
            report_missing(key);
        }
        return optional(key, out);
    }

    /// Reads a mandatory key; reports a value outside `range`.
    template <class T>
    settings_section& required(const std::string& key, T& out,
                               setting_range<T> range)
    {
        if (find(key) == nullptr)
        {
            report_missing(key);
        }
        return optional(key, out, range);
    }

    /// Reads a key if it is present; otherwise leaves `out` unchanged.
    template <class T>
    settings_section& optional(const std::string& key, T& out)
    {
        read(key, out);
        return *this;
    }

    /// Reads a key if it is present; reports a value outside `range`. Leaves
    /// `out` unchanged if the key is absent or its value is not accepted.
    template <class T>
    settings_section& optional(const std::string& key, T& out,
                               setting_range<T> range)
    {
        T value = out;
        if (read(key, value) && (value < range.min_ || range.max_ < value))
        {
            add_error(key, pvt::out_of_range_text(pvt::limit_text(range.min_),
                                                  pvt::limit_text(range.max_)));
            return *this;
        }
        out = value;
        return *this;
    }

    /// Returns the table `[name]` inside this one, empty if the file has none.
    /// Call it once per name: each returned section tracks its own read keys.
    settings_section section(const std::string& name);

    /// Adds an error that the daemon itself found in the value of `key`.
    void add_error(const std::string& key, const std::string& reason);

    /// Reports every key and section that was not read.
    void report_unknown_keys();

private:
    const setting_value* find(const std::string& key);
    void report_missing(const std::string& key);
    std::string full_name(const std::string& key) const;

    template <class T>
    bool read(const std::string& key, T& out)
    {
        const setting_value* value = find(key);
        if (value == nullptr)
        {
            return false;
        }
        T converted{};
        if (auto result = convert(*value, converted); !result)
        {
            add_error(key, result.error());
            return false;
        }
        out = converted;
        return true;
    }

    std::string name_;
    const settings_table* table_;
    settings_error_list* errors_;
    std::set<std::string> read_keys_;
};

/// Parses TOML text. Fails with the first syntax error.
tl::expected<settings_table, settings_error>
parse_settings(const std::string& text);

/// Formats each error as one line `file:line:column: reason`.
std::string format_settings_errors(const std::string& file,
                                   const std::vector<settings_error>& errors);

/// Reads settings of type `Settings` from TOML text with the free function
/// `read_settings(settings_section&, Settings&)`. Fails with the first syntax
/// error or, if there is none, with all errors of the file, sorted by position.
template <class Settings>
tl::expected<Settings, std::vector<settings_error>>
settings_from_text(const std::string& text)
{
    const auto table = parse_settings(text);
    if (!table)
    {
        return tl::unexpected(std::vector<settings_error>{table.error()});
    }
    settings_error_list errors;
    settings_section top("", *table, errors);
    Settings settings;
    read_settings(top, settings);
    top.report_unknown_keys();
    auto sorted_errors = errors.sorted();
    if (!sorted_errors.empty())
    {
        return tl::unexpected(std::move(sorted_errors));
    }
    return settings;
}

} // namespace galenafork

#endif
