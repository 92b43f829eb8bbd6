/// \file
/// The rule file: which service answers at which address. One line a rule,
///
///     udp 10.9.0.1:5683 -> orders   # Jana, workshop office
///
/// each with a comment that names who asked for it. Blank lines and lines
/// that hold only a comment are allowed.

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

/// How the packets of a rule are read.
enum class rule_kind
{
    /// Opaque datagrams: flows are kept, contents never read.
    udp,
    /// CoAP: requests are guarded one by one as well.
    coap,
};

/// `udp` or `coap`.
const char* to_string(rule_kind kind);

/// One rule: datagrams to `address_` belong to `service_`.
struct rule
{
    endpoint address_;
    rule_kind kind_ = rule_kind::udp;
    service_name service_;
    /// The comment that names who asked, without `#` and outer blanks.
    std::string requested_by_;
    /// Line in the file, from 1; not part of the comparison.
    std::size_t line_ = 0;
    /// Column of the service's name, from 1; not part of the comparison.
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

/// A whole rule file at one accepted version.
struct rule_set
{
    /// Zero until the platform accepted the file.
    rules_version version_;
    /// In the order of the file.
    std::vector<rule> rules_;
    /// The file as written, with its comments.
    std::string text_;
};

/// One fault of a rule file.
struct rule_error
{
    /// From 1.
    std::size_t line_ = 0;
    /// From 1, in bytes.
    std::size_t column_ = 0;
    std::string reason_;
};

/// Longest rule file, in bytes.
inline constexpr std::size_t max_rules_bytes = 512UL * 1024;

/// Reads a rule file. Fails with every fault of the file, in the order of the
/// lines: bad syntax, unknown kind, bad address or service name, a missing
/// comment, an address that an earlier rule has, text that is not UTF-8.
tl::expected<rule_set, std::vector<rule_error>>
parse_rules(const std::string& text);

/// The line of one rule, without a line feed.
std::string to_string(const rule& r);

/// A rule file of `rules`, one line each.
std::string format_rules(const std::vector<rule>& rules);

/// `FILE:LINE:COLUMN: REASON`.
std::string to_string(const rule_error& e, const std::string& file);

/// A rule of which something other than the address changed.
struct rule_change
{
    rule before_;
    rule after_;
};

/// How two rule files differ, by address.
struct rules_diff
{
    std::vector<rule> added_;
    std::vector<rule> removed_;
    std::vector<rule_change> changed_;

    /// True if the files hold the same rules.
    bool empty() const
    {
        return added_.empty() && removed_.empty() && changed_.empty();
    }
};

/// What has to be done to `before` to have `after`; each list is sorted by
/// address.
rules_diff diff_rules(const rule_set& before, const rule_set& after);

/// The rule of `address`, or null.
const rule* find_rule(const rule_set& rules, const endpoint& address);

} // namespace galenafork

#endif
