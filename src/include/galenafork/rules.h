/// \file
/// The rule file, which maps addresses to services. Each rule is one line,
///
///     udp 10.9.0.1:5683 -> orders   # Jana, workshop office
///
/// with a comment that names who asked for the rule. Blank lines and lines that
/// contain only a comment are allowed.

#ifndef GALENAFORK_RULES_H
#define GALENAFORK_RULES_H

#include <galenafork/endpoint.h>
#include <galenafork/ids.h>

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// The protocol of a rule's packets. Both kinds are forwarded alike.
enum class rule_kind
{
    /// Opaque UDP datagrams.
    udp,
    /// CoAP messages.
    coap,
};

/// Returns `udp` or `coap`.
const char* to_string(rule_kind kind);

/// One rule: datagrams to `address_` belong to `service_`.
struct rule
{
    endpoint address_;
    rule_kind kind_ = rule_kind::udp;
    service_name service_;
    /// The comment that names who asked for the rule, without `#` and without
    /// leading and trailing blanks.
    std::string requested_by_;
    /// Line in the file, from 1; ignored by `==`.
    std::size_t line_ = 0;
    /// Column of the service name, from 1; ignored by `==`.
    std::size_t service_column_ = 0;

    friend bool operator==(const rule& a, const rule& b)
    {
        return a.address_ == b.address_ && a.kind_ == b.kind_ &&
               a.service_ == b.service_ && a.requested_by_ == b.requested_by_;
    }
    friend bool operator!=(const rule& a, const rule& b)
    {
        return !(a == b);
    }
};

/// A parsed rule file.
struct rule_set
{
    /// The version as which the platform accepted the file; zero before that.
    rules_version version_;
    /// The rules in the order of the file.
    std::vector<rule> rules_;
    /// The file as written, with its comments.
    std::string text_;
};

/// One error in a rule file.
struct rule_error
{
    /// Line, from 1.
    std::size_t line_ = 0;
    /// Column in bytes, from 1.
    std::size_t column_ = 0;
    std::string reason_;
};

/// Maximum size of a rule file.
inline constexpr std::size_t max_rules_bytes = 512UL * 1024;

/// Parses a rule file. Fails with all errors of the file, in the order of the
/// lines: invalid syntax, an unknown kind, an invalid address or service name,
/// a missing comment, an address that an earlier rule has, control characters
/// and invalid UTF-8. A file larger than `max_rules_bytes` fails with a single
/// error.
tl::expected<rule_set, std::vector<rule_error>>
parse_rules(const std::string& text);

/// Returns the line of one rule, without a line feed.
std::string to_string(const rule& r);

/// Returns a rule file with one line for each of `rules`.
std::string format_rules(const std::vector<rule>& rules);

/// Returns the error as `FILE:LINE:COLUMN: REASON`.
std::string to_string(const rule_error& e, const std::string& file);

/// A rule that changed in something other than its address.
struct rule_change
{
    rule before_;
    rule after_;
};

/// The differences between two rule files; rules are matched by address.
struct rules_diff
{
    std::vector<rule> added_;
    std::vector<rule> removed_;
    std::vector<rule_change> changed_;

    /// True if both files have the same rules.
    bool empty() const
    {
        return added_.empty() && removed_.empty() && changed_.empty();
    }
};

/// Returns the changes that turn `before` into `after`; each list is sorted by
/// address.
rules_diff diff_rules(const rule_set& before, const rule_set& after);

/// Returns the rule of `address`, or null.
const rule* find_rule(const rule_set& rules, const endpoint& address);

} // namespace galenafork

#endif
