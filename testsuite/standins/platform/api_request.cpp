#include <standins/platform/api_request.h>

#include <charconv>
#include <kj/compat/url.h>

namespace galenafork::standin
{

bool starts_with(const std::string& text, const std::string& prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

bool parse_number(const std::string& text, std::uint64_t& number)
{
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end && !text.empty();
}

std::string to_std_string(kj::StringPtr s)
{
    return {s.begin(), s.size()};
}

api_request parse_request(kj::HttpMethod method, kj::StringPtr url)
{
    const auto parsed = kj::Url::parse(url, kj::Url::HTTP_REQUEST);
    api_request request;
    request.method_ = method;
    for (const kj::String& part : parsed.path)
    {
        request.path_ += request.path_.empty() ? "" : "/";
        request.path_ += to_std_string(part);
    }
    for (const auto& param : parsed.query)
    {
        request.query_[to_std_string(param.name)] = to_std_string(param.value);
    }
    return request;
}

std::string object_name(const api_request& request)
{
    return request.path_.substr(std::string(object_prefix).size());
}

bool is_watch(const api_request& request)
{
    return request.query_.count("watch") != 0;
}

} // namespace galenafork::standin
