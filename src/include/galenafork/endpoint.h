/// \file
/// IP addresses and endpoints.

#ifndef GALENAFORK_ENDPOINT_H
#define GALENAFORK_ENDPOINT_H

#include <galenafork/error.h>

#include <array>
#include <cstdint>
#include <string>
#include <tl/expected.hpp>

namespace galenafork
{

/// An IPv4 or IPv6 address in network byte order; IPv4 is stored in its
/// v4-mapped form `::ffff:a.b.c.d`.
struct ip_address
{
    std::array<std::uint8_t, 16> bytes_{};

    /// Returns true for an IPv4 address in mapped form.
    bool is_v4() const;

    friend bool operator==(const ip_address& a, const ip_address& b)
    {
        return a.bytes_ == b.bytes_;
    }
    friend bool operator!=(const ip_address& a, const ip_address& b)
    {
        return !(a == b);
    }
    friend bool operator<(const ip_address& a, const ip_address& b)
    {
        return a.bytes_ < b.bytes_;
    }
};

/// Returns the mapped form of the IPv4 address `a.b.c.d`.
ip_address make_v4(std::uint8_t a, std::uint8_t b, std::uint8_t c,
                   std::uint8_t d);

/// Address and port (host byte order) of a UDP or TCP socket.
struct endpoint
{
    ip_address address_{};
    std::uint16_t port_ = 0;

    friend bool operator==(const endpoint& a, const endpoint& b)
    {
        return a.port_ == b.port_ && a.address_ == b.address_;
    }
    friend bool operator!=(const endpoint& a, const endpoint& b)
    {
        return !(a == b);
    }
    friend bool operator<(const endpoint& a, const endpoint& b)
    {
        if (a.address_ != b.address_)
        {
            return a.address_ < b.address_;
        }
        return a.port_ < b.port_;
    }
};

/// Parses `1.2.3.4:80` or `[2001:db8::1]:80`. Fails with
/// `error_code::bad_address` on anything else, including host names and port 0.
tl::expected<endpoint, error> parse_endpoint(const std::string& text);

/// Formats an endpoint in the form that `parse_endpoint` accepts.
std::string to_string(const endpoint& e);

/// Formats an address without port and brackets.
std::string to_string(const ip_address& a);

} // namespace galenafork

#endif
