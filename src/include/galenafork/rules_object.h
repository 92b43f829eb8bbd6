/// \file
/// The rules as the platform keeps them: one object with the file in force
/// and the changes that led to it, so that one conditional update writes both
/// or neither.

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

/// Name of the object that holds the rules in force.
inline constexpr const char* rules_object_name = "rules/current";

/// Lines replaced by one change. The lines before and after are unchanged, so
/// the earlier text can be rebuilt from the later one.
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
    /// UTC, as `2026-12-04T05:30:00Z`.
    std::string time_;
    write_id write_id_;
    /// From the version before to this one.
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
    /// Oldest first; the last entry is this version. The oldest entries are
    /// dropped beyond `max_history_entries` or `max_history_bytes`.
    std::vector<rules_history_entry> history_;
};

/// Most versions in the history.
inline constexpr std::size_t max_history_entries = 1000;

/// Most bytes of edits in the history.
inline constexpr std::size_t max_history_bytes = 256UL * 1024;

/// Who changes the rules to what.
struct rules_proposal
{
    std::string text_;
    std::string author_;
    std::string time_;
    write_id write_id_;
};

/// The object that accepts `proposal` after `current` (none: the first).
rules_object next_rules_object(const std::optional<rules_object>& current,
                               const rules_proposal& proposal);

/// The file at `version`, rebuilt from the history. Fails with `not_found` if
/// the history does not reach back so far.
tl::expected<std::string, error> rules_text_at(const rules_object& object,
                                               rules_version version);

/// The JSON form kept in the platform.
std::string to_json(const rules_object& object);

/// Reads what `to_json` wrote. Fails with `bad_message`.
tl::expected<rules_object, error>
rules_object_from_json(const std::string& text);

/// The parsed rules of `object`. Fails with `bad_rule`, naming the first
/// fault.
tl::expected<rule_set, error> parse_rules_of(const rules_object& object);

} // namespace galenafork

#endif
