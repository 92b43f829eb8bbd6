/// \file
/// Reads values from a TOML table and collects the errors in them.

#ifndef GALENAFORK_EXPERIMENT_SETUP_READER_H
#define GALENAFORK_EXPERIMENT_SETUP_READER_H

#include <galenafork/time.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <toml++/toml.h>
#include <vector>

namespace galenafork::pvt
{

/// Errors of one setup file, each as `file:line: message`.
class setup_errors
{
public:
    explicit setup_errors(std::string file) : file_(std::move(file)) {}

    /// Adds an error at `line`.
    void add(std::size_t line, const std::string& message);

    /// Returns all errors, in the order of their lines.
    std::vector<std::string> sorted() const;

    /// True if there is no error.
    bool empty() const
    {
        return errors_.empty();
    }

private:
    std::string file_;
    std::multimap<std::size_t, std::string> errors_;
};

/// Reads one table. `read` leaves the value as it is if the key is absent, and
/// adds an error if the value is of another type or out of range. Keys that
/// no call names are unknown.
class table_reader
{
public:
    table_reader(const toml::table& table, setup_errors& errors)
        : table_(table), errors_(errors)
    {
    }

    /// Returns the line on which the table begins.
    std::size_t line() const;

    /// Allows `key` without reading it.
    void allow(const std::string& key);

    /// Adds an error unless `key` is present.
    void require(const std::string& key);

    /// Reads a number between `low` and `high`.
    void read(const std::string& key, double& value, double low, double high);

    /// Reads a whole number between `low` and `high`.
    void read(const std::string& key, std::uint32_t& value, std::uint32_t low,
              std::uint32_t high);

    /// Reads a number of milliseconds, from 0 to one hour; it may have a
    /// fraction.
    void read(const std::string& key, duration& value);

    void read(const std::string& key, bool& value);
    void read(const std::string& key, std::string& value);

    /// Reads a list of one or more whole numbers, each between `low` and
    /// `high`.
    void read(const std::string& key, std::vector<std::uint32_t>& value,
              std::uint32_t low, std::uint32_t high);

    /// Adds an error at the line of `key`, or at the line of the table if the
    /// key is absent.
    void add_error(const std::string& key, const std::string& message);

    /// Adds an error for each unknown key, that is one that no earlier call
    /// named.
    void report_unknown_keys();

private:
    /// Returns the value at `key`, or null. Allows the key.
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    setup_errors& errors_;
    std::set<std::string> allowed_keys_;
};

} // namespace galenafork::pvt

#endif
