/// \file
/// One call to the platform stand-in, read from HTTP.

#ifndef STANDINS_PLATFORM_API_REQUEST_H
#define STANDINS_PLATFORM_API_REQUEST_H

#include <cstdint>
#include <kj/compat/http.h>
#include <map>
#include <string>

namespace galenafork::standin
{

/// Path of the list of objects.
inline constexpr const char* objects_path = "v1/objects";

/// Prefix of the path of one object.
inline constexpr const char* object_prefix = "v1/objects/";

/// One call, its body read.
struct api_request
{
    kj::HttpMethod method_ = kj::HttpMethod::GET;
    /// Path without the leading `/`, percent-decoded.
    std::string path_;
    std::map<std::string, std::string> query_;
    /// Value of `If-Match`, empty if there was none.
    std::string if_match_;
    std::string body_;
};

/// The call without header and body.
api_request parse_request(kj::HttpMethod method, kj::StringPtr url);

/// Name of the object that the path names.
std::string object_name(const api_request& request);

/// True if the call waits for a newer version.
bool is_watch(const api_request& request);

/// True if `text` begins with `prefix`.
bool starts_with(const std::string& text, const std::string& prefix);

/// Reads a decimal number; false if `text` is none.
bool parse_number(const std::string& text, std::uint64_t& number);

/// The text as a standard string.
std::string text_of(kj::StringPtr s);

} // namespace galenafork::standin

#endif
