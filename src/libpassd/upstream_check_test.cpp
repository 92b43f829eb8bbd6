#include "upstream_check.h"

#include <doctest/doctest.h>
#include <galenafork/time.h>
#include <galenafork/unique_fd.h>

#include <arpa/inet.h>
#include <cerrno>
#include <kj/debug.h>
#include <netinet/in.h>
#include <sys/socket.h>

using namespace galenafork;
using std::chrono::milliseconds;

namespace
{

class fixture
{
public:
    fixture() : io_(kj::setupAsyncIo()) {}

    /// Listens on a free loopback port and returns it.
    endpoint listen()
    {
        receiver_ = io_.provider->getNetwork()
                        .parseAddress("127.0.0.1:0")
                        .wait(io_.waitScope)
                        ->listen();
        return {make_v4(127, 0, 0, 1),
                static_cast<std::uint16_t>(receiver_->getPort())};
    }

    upstream_presence check(const endpoint& upstream,
                            duration timeout = std::chrono::seconds(10))
    {
        return check_upstream(io_.provider->getNetwork(),
                              io_.provider->getTimer(), upstream, timeout)
            .wait(io_.waitScope);
    }

    kj::AsyncIoContext io_;
    kj::Own<kj::ConnectionReceiver> receiver_;
};

/// A listening socket whose backlog is full, so that the kernel answers no
/// further connection: an upstream that is stopped or overloaded.
class full_listener
{
public:
    full_listener() : listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof(address);
        auto* generic = reinterpret_cast<sockaddr*>(&address);
        REQUIRE(::bind(listener_.get(), generic, size) == 0);
        REQUIRE(::listen(listener_.get(), 0) == 0);
        REQUIRE(::getsockname(listener_.get(), generic, &size) == 0);
        port_ = ntohs(address.sin_port);
        // A backlog of 0 holds one connection; the others wait for an answer.
        for (int i = 0; i < 4; ++i)
        {
            clients_.emplace_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            const int status = ::connect(clients_.back().get(), generic, size);
            REQUIRE((status == 0 || errno == EINPROGRESS));
        }
    }

    endpoint address() const
    {
        return {make_v4(127, 0, 0, 1), port_};
    }

private:
    unique_fd listener_;
    std::vector<unique_fd> clients_;
    std::uint16_t port_ = 0;
};

/// A network on which no host can be reached.
class unreachable_network final : public kj::Network
{
public:
    kj::Promise<kj::Own<kj::NetworkAddress>>
    parseAddress(kj::StringPtr /*address*/, kj::uint /*port_hint*/) override
    {
        return KJ_EXCEPTION(DISCONNECTED, "connect(): Network is unreachable");
    }
    kj::Own<kj::NetworkAddress> getSockaddr(const void* /*address*/,
                                            kj::uint /*size*/) override
    {
        return {};
    }
    kj::Own<kj::Network>
    restrictPeers(kj::ArrayPtr<const kj::StringPtr> /*allow*/,
                  kj::ArrayPtr<const kj::StringPtr> /*deny*/) override
    {
        return {};
    }
};

} // namespace

TEST_CASE_FIXTURE(fixture, "a listening upstream is present, and the check's "
                           "connection is closed at once")
{
    // A check that stayed connected would occupy one of the upstream's
    // connections, and each check one more.
    const endpoint upstream = listen();
    CHECK(check(upstream) == upstream_presence::present);
    auto accepted = receiver_->accept().wait(io_.waitScope);
    char byte = 0;
    CHECK(accepted->tryRead(&byte, 1, 1).wait(io_.waitScope) == 0);
}

TEST_CASE_FIXTURE(fixture, "an upstream whose port is closed is absent")
{
    // Guards against a change of the message by which a refusal is recognized.
    const endpoint upstream = listen();
    receiver_ = nullptr;
    CHECK(check(upstream) == upstream_presence::absent);
}

TEST_CASE_FIXTURE(fixture, "an upstream that accepts no connection in time is "
                           "neither present nor absent")
{
    // A stopped upstream still has its flows: absence would reset them.
    const full_listener upstream;
    const instant begin = read_monotonic_clock();
    CHECK(check(upstream.address(), milliseconds(50)) ==
          upstream_presence::unknown);
    CHECK(read_monotonic_clock() - begin >= milliseconds(50));
}

TEST_CASE_FIXTURE(fixture, "a failure other than a refusal proves nothing")
{
    // kj reports an unreachable host with the same type of exception.
    unreachable_network network;
    CHECK(check_upstream(network, io_.provider->getTimer(),
                         {make_v4(127, 0, 0, 1), 9}, std::chrono::seconds(10))
              .wait(io_.waitScope) == upstream_presence::unknown);
}
