#include <galenafork/platform.h>

#include <array>

namespace galenafork
{

namespace
{

void append_hex(std::string& text, std::uint64_t number)
{
    constexpr std::array<char, 16> digits{'0', '1', '2', '3', '4', '5',
                                          '6', '7', '8', '9', 'a', 'b',
                                          'c', 'd', 'e', 'f'};
    for (int shift = 60; shift >= 0; shift -= 4)
    {
        text += digits[(number >> static_cast<unsigned>(shift)) & 0xfU];
    }
}

} // namespace

const char* to_string(write_outcome outcome)
{
    switch (outcome)
    {
    case write_outcome::accepted:
        return "accepted";
    case write_outcome::not_accepted:
        return "not_accepted";
    case write_outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

write_id make_write_id(std::uint64_t high, std::uint64_t low)
{
    std::string text;
    append_hex(text, high);
    append_hex(text, low);
    return write_id(text);
}

bool holds_write_id(const std::string& value, const write_id& id)
{
    // The quotes keep the id from matching inside another JSON string, where
    // quotes are escaped.
    const std::string quoted = '"' + id.value() + '"';
    return !id.value().empty() && value.find(quoted) != std::string::npos;
}

} // namespace galenafork
