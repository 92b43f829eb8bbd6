#include <libplatform/http_exchange.h>

#include <algorithm>
#include <charconv>
#include <kj/encoding.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <strings.h>
#include <system_error>

namespace galenafork::pvt
{

namespace
{

using json = nlohmann::json;

constexpr const char* objects_url = "/v1/objects";
// Fits an object value of 1 MiB together with the JSON around it.
constexpr std::uint64_t max_response_bytes = 2U << 20U;
constexpr unsigned first_success = 200;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_precondition_failed = 412;

kj::Own<kj::NetworkAddress> network_address(kj::Network& network,
                                            const endpoint& e)
{
    const auto& bytes = e.address_.bytes_;
    if (e.address_.is_v4())
    {
        sockaddr_in v4{};
        v4.sin_family = AF_INET;
        v4.sin_port = htons(e.port_);
        std::copy(bytes.begin() + 12, bytes.end(),
                  reinterpret_cast<std::uint8_t*>(&v4.sin_addr));
        return network.getSockaddr(&v4, sizeof(v4));
    }
    sockaddr_in6 v6{};
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(e.port_);
    std::copy(bytes.begin(), bytes.end(), v6.sin6_addr.s6_addr);
    return network.getSockaddr(&v6, sizeof(v6));
}

std::string encoded(const std::string& part)
{
    const kj::String text = kj::encodeUriComponent(
        kj::arrayPtr(part.data(), part.size()).asBytes());
    return {text.begin(), text.size()};
}

// Header names are compared without regard to case.
store_era era_of(const kj::HttpHeaders& headers, const std::string& era_header)
{
    store_era era;
    headers.forEach(
        [&](kj::StringPtr name, kj::StringPtr value)
        {
            if (strcasecmp(name.cStr(), era_header.c_str()) == 0)
            {
                era = parse_era({value.begin(), value.size()});
            }
        });
    return era;
}

kj::Promise<api_response> read_response(kj::HttpClient::Response&& response,
                                        const std::string& era_header)
{
    const unsigned status = response.statusCode;
    const store_era era = era_header.empty()
                              ? store_era()
                              : era_of(*response.headers, era_header);
    auto text = response.body->readAllText(max_response_bytes);
    return text.attach(kj::mv(response.body))
        .then(
            [status, era](const kj::String& body) {
                return api_response{
                    status, {body.begin(), body.size()}, false, era};
            });
}

tl::unexpected<error> malformed(const std::string& why)
{
    return tl::unexpected(
        error{error_code::bad_message,
              "the platform's response is malformed: " + why});
}

object_version version_from(const json& j)
{
    const json& version = j.at("version");
    if (!version.is_number_unsigned())
    {
        throw std::invalid_argument("version is not an unsigned integer");
    }
    return object_version(version.get<std::uint64_t>());
}

} // namespace

store_era parse_era(const std::string& value)
{
    std::uint64_t era = 0;
    const char* end = value.data() + value.size();
    const auto parsed = std::from_chars(value.data(), end, era);
    return parsed.ec == std::errc() && parsed.ptr == end ? store_era(era)
                                                         : store_era();
}

bool is_valid_response(const api_response& response)
{
    return response.status_ >= first_success &&
           response.status_ < first_server_error &&
           response.status_ != status_too_many_requests;
}

std::string object_url(const std::string& name)
{
    std::string url = objects_url;
    for (std::size_t start = 0; start <= name.size();)
    {
        const std::size_t end = std::min(name.find('/', start), name.size());
        url += "/" + encoded(name.substr(start, end - start));
        start = end + 1;
    }
    return url;
}

std::string list_url(const std::string& prefix)
{
    return std::string(objects_url) + "?prefix=" + encoded(prefix);
}

tl::expected<platform_object, error> parse_object(const std::string& name,
                                                  const std::string& body)
{
    try
    {
        const json j = json::parse(body);
        return platform_object{name, version_from(j), j.at("value").dump()};
    }
    catch (const std::exception& e)
    {
        return malformed(e.what());
    }
}

tl::expected<object_version, error> parse_version(const std::string& body)
{
    try
    {
        return version_from(json::parse(body));
    }
    catch (const std::exception& e)
    {
        return malformed(e.what());
    }
}

tl::expected<std::vector<object_entry>, error>
parse_list(const std::string& body)
{
    try
    {
        std::vector<object_entry> entries;
        const json j = json::parse(body);
        for (const json& entry : j.at("objects"))
        {
            entries.push_back(
                {entry.at("name").get<std::string>(), version_from(entry)});
        }
        return entries;
    }
    catch (const std::exception& e)
    {
        return malformed(e.what());
    }
}

namespace
{

api_request make_write_request(const object_write& write)
{
    api_request request;
    request.method_ = kj::HttpMethod::PUT;
    request.url_ = object_url(write.name_);
    request.if_match_ = write.expected_version_;
    request.body_ = write.value_;
    return request;
}

} // namespace

} // namespace galenafork::pvt

namespace galenafork
{

const api_dialect& default_dialect()
{
    static const api_dialect dialect{pvt::object_url,
                                     pvt::list_url,
                                     pvt::make_write_request,
                                     pvt::parse_object,
                                     pvt::parse_version,
                                     pvt::parse_list,
                                     pvt::status_precondition_failed};
    return dialect;
}

} // namespace galenafork

namespace galenafork::pvt
{

http_exchange::http_exchange(kj::Timer& timer, kj::Network& network,
                             const endpoint& address, const char* era_header)
    : timer_(timer), host_(to_string(address)), era_header_(era_header),
      if_match_(builder_.add("If-Match")), headers_(builder_.build()),
      address_(network_address(network, address)), client_(new_client())
{
}

http_exchange::client_ptr http_exchange::new_client()
{
    return std::make_shared<kj::Own<kj::HttpClient>>(
        kj::newHttpClient(timer_, *headers_, *address_));
}

kj::Promise<api_response> http_exchange::send(const api_request& request,
                                              duration timeout)
{
    const client_ptr client = client_;
    auto response = kj::evalNow([&] { return exchange(client, request); });
    return timer_
        .timeoutAfter(timeout.count() * kj::MICROSECONDS, kj::mv(response))
        .catch_(
            [this, client](const kj::Exception& e)
            {
                const bool timed_out =
                    e.getType() == kj::Exception::Type::OVERLOADED;
                if (timed_out && client == client_)
                {
                    client_ = new_client();
                }
                return api_response{0, {}, timed_out};
            });
}

kj::Promise<api_response> http_exchange::exchange(const client_ptr& client,
                                                  const api_request& request)
{
    kj::HttpHeaders headers(*headers_);
    headers.set(kj::HttpHeaderId::HOST, kj::StringPtr(host_.c_str()));
    if (request.if_match_)
    {
        headers.set(if_match_, kj::str(request.if_match_->value()));
    }
    const std::uint64_t size = request.body_.size();
    if (size != 0)
    {
        headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    }
    auto http_request = (*client)->request(request.method_,
                                           request.url_.c_str(), headers, size);
    kj::Promise<void> written = kj::READY_NOW;
    if (size != 0)
    {
        auto body = kj::heap<std::string>(request.body_);
        written = http_request.body->write(body->data(), body->size())
                      .attach(kj::mv(body), kj::mv(http_request.body));
    }
    return written
        .then([response = kj::mv(http_request.response)]() mutable
              { return kj::mv(response); })
        .then([this](kj::HttpClient::Response&& response)
              { return read_response(kj::mv(response), era_header_); });
}

} // namespace galenafork::pvt
