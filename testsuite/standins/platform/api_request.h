/// \file
/// A call of the platform's object API, parsed from an HTTP request.

#ifndef STANDINS_PLATFORM_API_REQUEST_H
#define STANDINS_PLATFORM_API_REQUEST_H

#include <cstdint>
#include <kj/compat/http.h>
#include <map>
#include <string>

namespace galenafork::standin
{

/// Path of the collection of objects, without the leading `/`.
inline constexpr const char* objects_path = "v1/objects";

/// Prefix of the path of an object, without the leading `/`.
inline constexpr const char* object_prefix = "v1/objects/";

/// A call with its body.
struct api_request
{
    kj::HttpMethod method_ = kj::HttpMethod::GET;
    /// The percent-decoded path without the leading `/`.
    std::string path_;
    std::map<std::string, std::string> query_;
    /// Value of the header `If-Match`, empty if it is missing.
    std::string if_match_;
    std::string body_;
};

/// Parses method and URL. Header fields and body are left empty.
api_request parse_request(kj::HttpMethod method, kj::StringPtr url);

/// Returns the name of the object in a path that begins with `object_prefix`.
std::string object_name(const api_request& request);

/// Returns whether the call waits for a newer version.
bool is_watch(const api_request& request);

bool starts_with(const std::string& text, const std::string& prefix);

/// Parses a decimal number; returns false if `text` isn't one.
bool parse_number(const std::string& text, std::uint64_t& number);

/// Converts a kj string to a standard string.
std::string to_std_string(kj::StringPtr s);

} // namespace galenafork::standin

#endif
