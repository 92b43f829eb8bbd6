#include <galenafork/endpoint.h>

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>

namespace galenafork
{

namespace
{

constexpr std::array<std::uint8_t, 12> v4_prefix{0, 0, 0, 0, 0,    0,
                                                 0, 0, 0, 0, 0xff, 0xff};

tl::unexpected<error> bad_address(const std::string& text)
{
    return tl::unexpected(
        error{error_code::bad_address,
              "'" + text + "' is not an IP address and port"});
}

bool parse_port(const std::string& text, std::uint16_t& port)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, port);
    return result.ec == std::errc() && result.ptr == end && port != 0;
}

bool parse_v4(const std::string& text, ip_address& address)
{
    std::array<std::uint8_t, 4> b{};
    if (inet_pton(AF_INET, text.c_str(), b.data()) != 1)
    {
        return false;
    }
    address = make_v4(b[0], b[1], b[2], b[3]);
    return true;
}

bool parse_v6(const std::string& text, ip_address& address)
{
    return inet_pton(AF_INET6, text.c_str(), address.bytes_.data()) == 1;
}

} // namespace

bool ip_address::is_v4() const
{
    return std::equal(v4_prefix.begin(), v4_prefix.end(), bytes_.begin());
}

ip_address make_v4(std::uint8_t a, std::uint8_t b, std::uint8_t c,
                   std::uint8_t d)
{
    ip_address address;
    std::copy(v4_prefix.begin(), v4_prefix.end(), address.bytes_.begin());
    address.bytes_[12] = a;
    address.bytes_[13] = b;
    address.bytes_[14] = c;
    address.bytes_[15] = d;
    return address;
}

tl::expected<endpoint, error> parse_endpoint(const std::string& text)
{
    const auto colon = text.rfind(':');
    endpoint result;
    if (colon == std::string::npos ||
        !parse_port(text.substr(colon + 1), result.port_))
    {
        return bad_address(text);
    }
    const std::string host = text.substr(0, colon);
    const bool bracketed =
        host.size() > 2 && host.front() == '[' && host.back() == ']';
    const bool parsed =
        bracketed ? parse_v6(host.substr(1, host.size() - 2), result.address_)
                  : parse_v4(host, result.address_);
    if (!parsed)
    {
        return bad_address(text);
    }
    return result;
}

std::string to_string(const ip_address& a)
{
    std::array<char, INET6_ADDRSTRLEN> buffer{};
    if (a.is_v4())
    {
        inet_ntop(AF_INET, a.bytes_.data() + v4_prefix.size(), buffer.data(),
                  buffer.size());
    }
    else
    {
        inet_ntop(AF_INET6, a.bytes_.data(), buffer.data(), buffer.size());
    }
    return buffer.data();
}

std::string to_string(const endpoint& e)
{
    const std::string host = to_string(e.address_);
    const std::string port = std::to_string(e.port_);
    return e.address_.is_v4() ? host + ":" + port : "[" + host + "]:" + port;
}

} // namespace galenafork
