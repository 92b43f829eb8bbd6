/// \file
/// Parses the parts of one line of a rule file and reports errors with their
/// columns.

#ifndef LIBRULES_LINE_READER_H
#define LIBRULES_LINE_READER_H

#include <galenafork/rules.h>

#include <optional>
#include <string_view>

namespace galenafork::pvt
{

/// A byte that is not allowed in a rule file.
struct invalid_byte
{
    std::size_t column_ = 0;
    std::string reason_;
};

/// Returns the first control character or byte that is not valid UTF-8, if any.
std::optional<invalid_byte> find_invalid_byte(std::string_view line);

/// Parses one line from left to right. A `read_` function that finds an error
/// adds it to `errors` and leaves its output unchanged.
class line_reader
{
public:
    /// `line_number` is the line's number in the file; `line` must outlive
    /// this.
    line_reader(std::size_t line_number, std::string_view line);

    /// Returns the line's number in the file.
    std::size_t line() const
    {
        return line_number_;
    }

    /// True if nothing is left to read before the comment.
    bool at_end() const;

    /// Returns the column of the next word, from 1.
    std::size_t next_column() const;

    /// Reads `udp` or `coap`.
    void read_kind(rule_kind& kind, std::vector<rule_error>& errors);

    /// Reads an IP address with a port. Returns true if they are valid.
    bool read_address(endpoint& address, std::vector<rule_error>& errors);

    /// Reads `->`.
    void read_arrow(std::vector<rule_error>& errors);

    /// Reads the name of the service.
    void read_service(service_name& service, std::vector<rule_error>& errors);

    /// Checks that nothing is left before the comment.
    void read_end(std::vector<rule_error>& errors);

    /// Reads the comment, which must not be empty.
    void read_comment(std::string& text, std::vector<rule_error>& errors) const;

private:
    std::string_view next_word();
    void fail(std::vector<rule_error>& errors, std::size_t column,
              std::string reason) const;

    std::size_t line_number_;
    /// The part before `#`.
    std::string_view body_;
    /// The part after `#`, or nothing if the line has no `#`.
    std::optional<std::string_view> comment_;
    std::size_t comment_column_;
    std::size_t position_ = 0;
};

} // namespace galenafork::pvt

#endif
