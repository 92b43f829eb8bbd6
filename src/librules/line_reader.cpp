#include <librules/line_reader.h>

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

constexpr std::string_view blanks = " \t\r";
constexpr unsigned char first_printable = 0x20;
constexpr unsigned char delete_character = 0x7f;

bool is_control(unsigned char c)
{
    const bool is_blank = c == '\t' || c == '\r';
    return (c < first_printable && !is_blank) || c == delete_character;
}

bool is_continuation_byte(unsigned char c)
{
    return (c & 0xc0U) == 0x80U;
}

// Returns the length of the UTF-8 sequence that begins with `lead`, or 0 if
// none does.
std::size_t utf8_sequence_length(unsigned char lead)
{
    if (lead < 0x80)
    {
        return 1;
    }
    if (lead >= 0xc2 && lead <= 0xdf)
    {
        return 2;
    }
    if (lead >= 0xe0 && lead <= 0xef)
    {
        return 3;
    }
    return lead >= 0xf0 && lead <= 0xf4 ? 4 : 0;
}

// After some lead bytes, the second byte is restricted further, to exclude
// overlong forms, surrogates and code points above U+10FFFF.
bool is_valid_second_byte(unsigned char lead, unsigned char second)
{
    switch (lead)
    {
    case 0xe0:
        return second >= 0xa0;
    case 0xed:
        return second < 0xa0;
    case 0xf0:
        return second >= 0x90;
    case 0xf4:
        return second < 0x90;
    default:
        return true;
    }
}

bool is_valid_utf8_sequence(std::string_view s)
{
    const auto byte_at = [&](std::size_t i)
    { return static_cast<unsigned char>(s[i]); };
    for (std::size_t i = 1; i < s.size(); ++i)
    {
        if (!is_continuation_byte(byte_at(i)))
        {
            return false;
        }
    }
    return s.size() < 2 || is_valid_second_byte(byte_at(0), byte_at(1));
}

std::string_view trim(std::string_view s)
{
    const auto first = s.find_first_not_of(blanks);
    if (first == std::string_view::npos)
    {
        return {};
    }
    return s.substr(first, s.find_last_not_of(blanks) - first + 1);
}

bool is_unspecified(const ip_address& a)
{
    return a == ip_address{} || a == make_v4(0, 0, 0, 0);
}

std::string quoted(std::string_view word)
{
    return "'" + std::string(word) + "'";
}

} // namespace

std::optional<invalid_byte> find_invalid_byte(std::string_view line)
{
    for (std::size_t i = 0; i < line.size();)
    {
        const auto c = static_cast<unsigned char>(line[i]);
        if (is_control(c))
        {
            return invalid_byte{i + 1, "control character"};
        }
        const std::size_t length = utf8_sequence_length(c);
        if (length == 0 || length > line.size() - i ||
            !is_valid_utf8_sequence(line.substr(i, length)))
        {
            return invalid_byte{i + 1, "invalid UTF-8"};
        }
        i += length;
    }
    return std::nullopt;
}

line_reader::line_reader(std::size_t line_number, std::string_view line)
    : line_number_(line_number), body_(line.substr(0, line.find('#'))),
      comment_column_(body_.size() + 1)
{
    if (body_.size() < line.size())
    {
        comment_ = line.substr(body_.size() + 1);
    }
}

bool line_reader::at_end() const
{
    return body_.find_first_not_of(blanks, position_) == std::string_view::npos;
}

std::size_t line_reader::next_column() const
{
    return std::min(body_.find_first_not_of(blanks, position_), body_.size()) +
           1;
}

std::string_view line_reader::next_word()
{
    const std::size_t start = next_column() - 1;
    position_ = std::min(body_.find_first_of(blanks, start), body_.size());
    return body_.substr(start, position_ - start);
}

void line_reader::fail(std::vector<rule_error>& errors, std::size_t column,
                       std::string reason) const
{
    errors.push_back({line_number_, column, std::move(reason)});
}

void line_reader::read_kind(rule_kind& kind, std::vector<rule_error>& errors)
{
    const std::size_t column = next_column();
    const std::string_view word = next_word();
    if (word == "udp")
    {
        kind = rule_kind::udp;
    }
    else if (word == "coap")
    {
        kind = rule_kind::coap;
    }
    else
    {
        fail(errors, column,
             "unknown kind " + quoted(word) + ", expected udp or coap");
    }
}

bool line_reader::read_address(endpoint& address,
                               std::vector<rule_error>& errors)
{
    const std::size_t column = next_column();
    const std::string word(next_word());
    const auto parsed = parse_endpoint(word);
    if (!parsed)
    {
        fail(errors, column, parsed.error().message_);
        return false;
    }
    if (is_unspecified(parsed->address_))
    {
        fail(
            errors, column,
            quoted(word) +
                " is a wildcard address, which would overlap with other rules");
        return false;
    }
    address = *parsed;
    return true;
}

void line_reader::read_arrow(std::vector<rule_error>& errors)
{
    const std::size_t column = next_column();
    const std::string_view word = next_word();
    if (word != "->")
    {
        fail(errors, column, "expected '->', found " + quoted(word));
    }
}

void line_reader::read_service(service_name& service,
                               std::vector<rule_error>& errors)
{
    const std::size_t column = next_column();
    std::string word(next_word());
    if (!is_valid_name(word))
    {
        fail(errors, column, quoted(word) + " is not a valid service name");
        return;
    }
    service = service_name(std::move(word));
}

void line_reader::read_end(std::vector<rule_error>& errors)
{
    if (!at_end())
    {
        const std::size_t column = next_column();
        fail(errors, column, "unexpected " + quoted(next_word()));
    }
}

void line_reader::read_comment(std::string& text,
                               std::vector<rule_error>& errors) const
{
    const std::string_view trimmed = comment_ ? trim(*comment_) : "";
    if (trimmed.empty())
    {
        fail(errors, comment_column_,
             "missing comment that names who asked for the rule");
        return;
    }
    text = trimmed;
}

} // namespace galenafork::pvt
