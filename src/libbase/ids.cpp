#include <galenafork/ids.h>

#include <algorithm>

namespace galenafork
{

namespace
{

bool is_name_char(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
}

} // namespace

incarnation next_incarnation(incarnation current)
{
    return incarnation(current.value() + 1);
}

bool is_valid_name(const std::string& text)
{
    return !text.empty() && text.size() <= max_name_bytes &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

} // namespace galenafork
