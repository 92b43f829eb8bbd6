/// \file
/// One HTTP call to the platform: no retries, no decisions.

#ifndef LIBPLATFORM_HTTP_EXCHANGE_H
#define LIBPLATFORM_HTTP_EXCHANGE_H

#include <galenafork/api_dialect.h>
#include <galenafork/endpoint.h>
#include <galenafork/platform.h>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>
#include <optional>
#include <string>

namespace galenafork::pvt
{

/// True if the platform answered and is well.
bool is_valid_response(const api_response& answer);

/// The URL of object `name`, percent-encoded.
std::string object_url(const std::string& name);

/// The URL of the list of objects whose names begin with `prefix`.
std::string list_url(const std::string& prefix);

/// Reads `{version, value}`. Fails with `bad_message`.
tl::expected<platform_object, error> read_object(const std::string& name,
                                                 const std::string& body);

/// Reads `{version}`. Fails with `bad_message`.
tl::expected<object_version, error> read_version(const std::string& body);

/// Reads `{objects: [{name, version}]}`. Fails with `bad_message`.
tl::expected<std::vector<object_entry>, error>
read_list(const std::string& body);

/// Sends calls to one address over a pool of connections.
class http_exchange
{
public:
    /// `timer` must outlive this.
    http_exchange(kj::Timer& timer, kj::Network& network,
                  const endpoint& address);

    /// Sends `request`. Never fails: no answer is an answer with status 0.
    kj::Promise<api_response> send(const api_request& request,
                                   duration timeout);

private:
    kj::Promise<api_response> exchange(const api_request& request);

    kj::Timer& timer_;
    std::string host_;
    kj::HttpHeaderTable::Builder builder_;
    kj::HttpHeaderId if_match_;
    kj::Own<kj::HttpHeaderTable> headers_;
    kj::Own<kj::NetworkAddress> address_;
    kj::Own<kj::HttpClient> client_;
};

} // namespace galenafork::pvt

#endif
