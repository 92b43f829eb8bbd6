#include "upstream_check.h"

#include "daemon_setup.h"

#include <cerrno>
#include <cstring>
#include <string>
#include <system_error>

namespace galenafork
{

namespace
{

// Returns whether `failure` is a refused connection. Exceptions of kj carry the
// system's message but not its error code; their type is the same for other
// failures, such as an unreachable host.
bool is_refusal(const kj::Exception& failure)
{
    static const std::string refused =
        std::generic_category().message(ECONNREFUSED);
    return std::strstr(failure.getDescription().cStr(), refused.c_str()) !=
           nullptr;
}

kj::Promise<kj::Own<kj::AsyncIoStream>> connect(kj::Network& network,
                                                const endpoint& to)
{
    return network.parseAddress(to_string(to).c_str())
        .then([](kj::Own<kj::NetworkAddress>&& address)
              { return address->connect().attach(kj::mv(address)); });
}

} // namespace

kj::Promise<upstream_presence> check_upstream(kj::Network& network,
                                              kj::Timer& timer,
                                              const endpoint& upstream,
                                              duration timeout)
{
    return timer
        .timeoutAfter(to_kj(timeout),
                      kj::evalNow([&] { return connect(network, upstream); }))
        .then([](kj::Own<kj::AsyncIoStream>&&)
              { return upstream_presence::present; },
              [](kj::Exception&& failure)
              {
                  return is_refusal(failure) ? upstream_presence::absent
                                             : upstream_presence::unknown;
              });
}

} // namespace galenafork
