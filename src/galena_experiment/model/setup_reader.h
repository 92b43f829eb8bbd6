/// \file
/// Reads values out of a TOML table and collects what is wrong with them.

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

/// Faults of one file, each as `file:line: sentence`.
class fault_list
{
public:
    explicit fault_list(std::string file) : file_(std::move(file)) {}

    /// Adds a fault at `line`.
    void add(std::size_t line, const std::string& sentence);

    /// All faults, in order of their lines.
    std::vector<std::string> sorted() const;

    /// True if nothing was found.
    bool empty() const
    {
        return faults_.empty();
    }

private:
    std::string file_;
    std::multimap<std::size_t, std::string> faults_;
};

/// Reads one table. A key that is absent leaves the value as it is; a key that
/// nobody asked for is a fault, found by `finish`.
class table_reader
{
public:
    table_reader(const toml::table& table, fault_list& faults)
        : table_(table), faults_(faults)
    {
    }

    /// Line on which the table begins.
    std::size_t line() const;

    /// Takes `key` as known, so that `finish` does not note it.
    void expect(const std::string& key);

    /// Notes a fault unless `key` is present.
    void require(const std::string& key);

    /// A number between `low` and `high`.
    void read(const std::string& key, double& value, double low, double high);

    /// A whole number between `low` and `high`.
    void read(const std::string& key, std::uint32_t& value, std::uint32_t low,
              std::uint32_t high);

    /// Milliseconds, with a fraction, not below zero.
    void read(const std::string& key, duration& value);

    void read(const std::string& key, bool& value);
    void read(const std::string& key, std::string& value);

    /// A list of whole numbers, each between `low` and `high`, not empty.
    void read(const std::string& key, std::vector<std::uint32_t>& value,
              std::uint32_t low, std::uint32_t high);

    /// Notes `sentence` as a fault of `key`'s line, or of the table's line if
    /// the key is absent.
    void fault(const std::string& key, const std::string& sentence);

    /// Notes every key that was not read.
    void finish();

private:
    const toml::node* find(const std::string& key);

    const toml::table& table_;
    fault_list& faults_;
    std::set<std::string> known_;
};

} // namespace galenafork::pvt

#endif
