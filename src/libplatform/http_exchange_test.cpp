#include <libplatform/http_exchange.h>

#include <doctest/doctest.h>
#include <iostream>
#include <kj/async-io.h>
#include <rapidcheck.h>

using namespace galenafork;
using namespace galenafork::pvt;

namespace
{

constexpr std::uint64_t property_seed = 20261204;
constexpr int property_runs = 500;

template <class Property>
bool holds(Property&& property)
{
    rc::detail::TestParams params;
    params.seed = property_seed;
    params.maxSuccess = property_runs;
    const auto result = rc::detail::checkTestable(
        std::forward<Property>(property), rc::detail::TestMetadata{}, params);
    rc::detail::printResultMessage(result, std::cerr);
    return result.template is<rc::detail::SuccessResult>();
}

} // namespace

TEST_CASE("malformed responses are rejected")
{
    for (const char* body :
         {"", "null", "[]", "{}", R"({"version":"1","value":1})",
          R"({"version":-1,"value":1})", R"({"version":1.5,"value":1})",
          R"({"value":1})", "{\"version\":1,\"value\":"})
    {
        CAPTURE(body);
        CHECK_FALSE(parse_object("o", body).has_value());
        CHECK_FALSE(parse_list(body).has_value());
    }
}

TEST_CASE("no response body crashes the parsers")
{
    const std::string json_fragments =
        R"({"version":1,"value":{}},[objectsname"0-9e.)";
    CHECK(holds(
        [&]
        {
            const auto body = *rc::gen::container<std::string>(
                rc::gen::oneOf(rc::gen::elementOf(json_fragments),
                               rc::gen::arbitrary<char>()));
            (void)parse_object("o", body);
            (void)parse_version(body);
            (void)parse_list(body);
        }));
}

TEST_CASE("names and prefixes are encoded in URLs")
{
    CHECK(object_url("rules/current") == "/v1/objects/rules/current");
    CHECK(object_url("a b?/c") == "/v1/objects/a%20b%3F/c");
    CHECK(list_url("roster/") == "/v1/objects?prefix=roster%2F");
}

namespace
{

// An HTTP server whose open connections can go silent without a reset.
class silent_server
{
public:
    explicit silent_server(kj::AsyncIoContext& io)
        : receiver_(io.provider->getNetwork()
                        .parseAddress("127.0.0.1:0")
                        .wait(io.waitScope)
                        ->listen())
    {
        tasks_.add(accept());
    }

    endpoint address()
    {
        return {make_v4(127, 0, 0, 1),
                static_cast<std::uint16_t>(receiver_->getPort())};
    }

    void silence()
    {
        silent_ = accepted_;
    }

    unsigned accepted_ = 0;

private:
    struct error_logger final : kj::TaskSet::ErrorHandler
    {
        void taskFailed(kj::Exception&& e) override
        {
            MESSAGE(e.getDescription().cStr());
        }
    };

    kj::Promise<void> accept()
    {
        return receiver_->accept().then(
            [this](kj::Own<kj::AsyncIoStream>&& stream)
            {
                auto& connection = *stream;
                tasks_.add(
                    serve(connection, accepted_++).attach(kj::mv(stream)));
                return accept();
            });
    }

    kj::Promise<void> serve(kj::AsyncIoStream& stream, unsigned number)
    {
        static constexpr kj::StringPtr response =
            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"_kj;
        auto buffer = kj::heapArray<char>(4096);
        auto* bytes = buffer.begin();
        return stream.tryRead(bytes, 1, buffer.size())
            .attach(kj::mv(buffer))
            .then(
                [this, &stream, number](std::size_t size) -> kj::Promise<void>
                {
                    if (size == 0)
                    {
                        return kj::READY_NOW;
                    }
                    auto written =
                        number < silent_
                            ? kj::Promise<void>(kj::READY_NOW)
                            : stream.write(response.begin(), response.size());
                    return written.then([this, &stream, number]
                                        { return serve(stream, number); });
                });
    }

    kj::Own<kj::ConnectionReceiver> receiver_;
    unsigned silent_ = 0;
    error_logger errors_;
    kj::TaskSet tasks_{errors_};
};

} // namespace

// Guards against review/9: a read of the store waited for one timeout for each
// of several idle connections that had gone silent.
TEST_CASE("after a timeout requests use new connections")
{
    auto io = kj::setupAsyncIo();
    silent_server server(io);
    pvt::http_exchange exchange(io.provider->getTimer(),
                                io.provider->getNetwork(), server.address(),
                                "");
    const auto timeout = std::chrono::milliseconds(500);
    api_request request;
    request.url_ = "/";
    auto first = exchange.send(request, timeout);
    auto second = exchange.send(request, timeout);
    auto third = exchange.send(request, timeout);
    CHECK(first.wait(io.waitScope).status_ == 200);
    CHECK(second.wait(io.waitScope).status_ == 200);
    CHECK(third.wait(io.waitScope).status_ == 200);
    CHECK(server.accepted_ == 3);
    server.silence();
    CHECK(exchange.send(request, timeout).wait(io.waitScope).timed_out_);
    CHECK(exchange.send(request, timeout).wait(io.waitScope).status_ == 200);
    CHECK(server.accepted_ == 4);
    // A working connection is used again.
    CHECK(exchange.send(request, timeout).wait(io.waitScope).status_ == 200);
    CHECK(server.accepted_ == 4);
}
