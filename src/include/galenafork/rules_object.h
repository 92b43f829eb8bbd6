/// \file
/// The rules as stored in the platform: one object with the active file and the
/// history of changes that led to it, so that one conditional update writes
/// either both or neither.

#ifndef GALENAFORK_RULES_OBJECT_H
#define GALENAFORK_RULES_OBJECT_H

#include <galenafork/error.h>
#include <galenafork/ids.h>
#include <galenafork/rules.h>

#include <cstddef>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Name of the platform object that holds the active rules.
inline constexpr const char* rules_object_name = "rules/current";

/// A replacement of consecutive lines. All other lines are unchanged, so the
/// earlier text can be rebuilt from the later one.
struct text_edit
{
    /// Index of the first replaced line, from 0.
    std::size_t first_line_ = 0;
    std::vector<std::string> removed_;
    std::vector<std::string> added_;
};

/// One accepted version in the history.
struct rules_history_entry
{
    rules_version version_;
    std::string author_;
    /// Time of the proposal in UTC, as `2026-12-04T05:30:00Z`.
    std::string time_;
    write_id write_id_;
    /// The edit that leads from the previous version to this one.
    text_edit edit_;
};

/// The value of the rules object.
struct rules_object
{
    rules_version version_;
    std::string text_;
    std::string author_;
    std::string time_;
    write_id write_id_;
    /// Oldest first; the last entry is the current version. The oldest entries
    /// beyond `max_history_entries` or `max_history_bytes` are dropped.
    std::vector<rules_history_entry> history_;
};

/// Maximum number of versions in the history.
inline constexpr std::size_t max_history_entries = 1000;

/// Maximum size of all edits in the history; the newest entry is kept whatever
/// its size.
inline constexpr std::size_t max_history_bytes = 256UL * 1024;

/// A new rule file that is proposed as the next version.
struct rules_proposal
{
    std::string text_;
    std::string author_;
    std::string time_;
    write_id write_id_;
};

/// Returns the object for the version after `current`, with the contents of
/// `proposal`. Without a `current` object, the result is version 1.
rules_object next_rules_object(const std::optional<rules_object>& current,
                               const rules_proposal& proposal);

/// Returns the file at `version`, rebuilt from the history. Fails with
/// `not_found` if the history does not reach back to `version`.
tl::expected<std::string, error> rules_text_at(const rules_object& object,
                                               rules_version version);

/// Returns the JSON form that is stored in the platform.
std::string to_json(const rules_object& object);

/// Parses the output of `to_json`. Fails with `bad_message`.
tl::expected<rules_object, error>
rules_object_from_json(const std::string& text);

/// Returns the parsed rules of `object`. Fails with `bad_rule`, naming the
/// first error in the file.
tl::expected<rule_set, error> parse_rules_of(const rules_object& object);

} // namespace galenafork

#endif
