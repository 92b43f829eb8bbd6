/// \file
/// Single HTTP exchanges with the platform, without retries.

#ifndef LIBPLATFORM_HTTP_EXCHANGE_H
#define LIBPLATFORM_HTTP_EXCHANGE_H

#include <galenafork/api_dialect.h>
#include <galenafork/endpoint.h>
#include <galenafork/platform.h>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>
#include <memory>
#include <optional>
#include <string>

namespace galenafork::pvt
{

/// True if the response shows a working platform: a status from 200 to 499
/// other than 429.
bool is_valid_response(const api_response& response);

/// Returns the percent-encoded URL of object `name`.
std::string object_url(const std::string& name);

/// Returns the URL of the list of objects whose names begin with `prefix`.
std::string list_url(const std::string& prefix);

/// Parses `{version, value}`. Fails with `bad_message`.
tl::expected<platform_object, error> parse_object(const std::string& name,
                                                  const std::string& body);

/// Parses `{version}`. Fails with `bad_message`.
tl::expected<object_version, error> parse_version(const std::string& body);

/// Parses `{objects: [{name, version}]}`. Fails with `bad_message`.
tl::expected<std::vector<object_entry>, error>
parse_list(const std::string& body);

/// Parses the value of an era header. Returns zero if it is not a number.
store_era parse_era(const std::string& value);

/// Sends requests to one address over a pool of connections.
class http_exchange
{
public:
    /// `timer` must outlive this. `era_header` may be empty.
    http_exchange(kj::Timer& timer, kj::Network& network,
                  const endpoint& address, const char* era_header);

    /// Sends `request`. The promise is never rejected: the status is 0 if there
    /// is no response within `timeout` or the connection fails. After a timeout
    /// later requests use new connections: the idle ones may have gone silent
    /// like the one that timed out.
    kj::Promise<api_response> send(const api_request& request,
                                   duration timeout);

private:
    /// Requests in flight share the pool with `client_`, which may be replaced
    /// meanwhile.
    using client_ptr = std::shared_ptr<kj::Own<kj::HttpClient>>;

    client_ptr new_client();
    kj::Promise<api_response> exchange(const client_ptr& client,
                                       const api_request& request);

    kj::Timer& timer_;
    std::string host_;
    std::string era_header_;
    kj::HttpHeaderTable::Builder builder_;
    kj::HttpHeaderId if_match_;
    kj::Own<kj::HttpHeaderTable> headers_;
    kj::Own<kj::NetworkAddress> address_;
    client_ptr client_;
};

} // namespace galenafork::pvt

#endif
