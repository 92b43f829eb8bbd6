/// \file
/// Reads the parts of one rule line and reports each fault with its column.

#ifndef LIBRULES_LINE_READER_H
#define LIBRULES_LINE_READER_H

#include <galenafork/rules.h>

#include <optional>
#include <string_view>

namespace galenafork::pvt
{

/// A byte that may not stand in a rule file.
struct bad_byte
{
    std::size_t column_ = 0;
    std::string reason_;
};

/// The first control character or byte that is not UTF-8, if any.
std::optional<bad_byte> find_bad_byte(std::string_view line);

/// Reads one line from left to right. A `read_` function that finds a fault
/// adds it to `errors` and leaves its output alone.
class line_reader
{
public:
    /// `number` is the line's number in the file; `line` must outlive this.
    line_reader(std::size_t number, std::string_view line);

    /// The number of the line.
    std::size_t line() const
    {
        return number_;
    }

    /// True if no rule is left to read before the comment.
    bool at_end() const;

    /// Column of the next word, from 1.
    std::size_t next_column() const;

    /// `udp` or `coap`.
    void read_kind(rule_kind& kind, std::vector<rule_error>& errors);

    /// IP address and port; true if there was a good one.
    bool read_address(endpoint& address, std::vector<rule_error>& errors);

    /// `->`
    void read_arrow(std::vector<rule_error>& errors);

    /// Name of the service.
    void read_service(service_name& service, std::vector<rule_error>& errors);

    /// Nothing more before the comment.
    void read_end(std::vector<rule_error>& errors);

    /// The comment, which must not be empty.
    void read_comment(std::string& text, std::vector<rule_error>& errors) const;

private:
    std::string_view next_word();
    void fail(std::vector<rule_error>& errors, std::size_t column,
              std::string reason) const;

    std::size_t number_;
    /// The part before `#`.
    std::string_view body_;
    /// The part after `#`, or nothing if the line has no `#`.
    std::optional<std::string_view> comment_;
    std::size_t comment_column_;
    std::size_t position_ = 0;
};

} // namespace galenafork::pvt

#endif
