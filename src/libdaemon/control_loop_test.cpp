#include <galenafork/control_loop.h>

#include <csignal>
#include <doctest/doctest.h>
#include <kj/compat/http.h>
#include <thread>
#include <unistd.h>

using namespace galenafork;

namespace
{

/// Opens a control loop on free loopback ports and sets `at` to them.
std::unique_ptr<control_loop> open_loop(const metrics_registry& metrics,
                                        control_addresses& at)
{
    for (std::uint16_t port = 20'000; port < 60'000; port += 2)
    {
        at.http_ = {make_v4(127, 0, 0, 1), port};
        at.rpc_ = {make_v4(127, 0, 0, 1), static_cast<std::uint16_t>(port + 1)};
        if (auto loop = control_loop::open(at, metrics))
        {
            return std::move(*loop);
        }
    }
    return nullptr;
}

struct fetched_response
{
    unsigned status_ = 0;
    std::string body_;
};

kj::Promise<fetched_response> get(control_loop& loop, const endpoint& at,
                                  const std::string& path)
{
    static const kj::HttpHeaderTable table;
    auto client = kj::newHttpClient(loop.timer(), table,
                                    loop.io().provider->getNetwork(), nullptr);
    const std::string url = "http://" + to_string(at) + path;
    auto request = client->request(kj::HttpMethod::GET, url.c_str(),
                                   kj::HttpHeaders(table), std::uint64_t(0));
    return request.response
        .then(
            [](kj::HttpClient::Response&& response)
            {
                const unsigned status = response.statusCode;
                return response.body->readAllText()
                    .then(
                        [status](kj::String&& text) {
                            return fetched_response{status, text.cStr()};
                        })
                    .attach(kj::mv(response.body));
            })
        .attach(kj::mv(client), kj::mv(request.body));
}

} // namespace

TEST_CASE("health, readiness, metrics and status are served over HTTP")
{
    metrics_registry metrics;
    metrics.add_counter("seen_total", "Seen.").add(7);
    control_addresses at;
    auto loop = open_loop(metrics, at);
    REQUIRE(loop != nullptr);
    auto& scope = loop->io().waitScope;
    const auto fetch = [&](const std::string& path)
    { return get(*loop, at.http_, path).wait(scope); };

    CHECK(fetch("/healthz").status_ == 200);
    CHECK(fetch("/readyz").status_ == 503);
    loop->set_readiness_handler([] { return readiness{false, "no rules"}; });
    CHECK(fetch("/readyz").body_ == "unready: no rules\n");
    loop->set_readiness_handler([] { return readiness{true, ""}; });
    CHECK(fetch("/readyz").status_ == 200);
    CHECK(fetch("/metrics").body_.find("seen_total 7") != std::string::npos);
    loop->set_status_handler([] { return std::string("{\"a\":1}"); });
    CHECK(fetch("/status").body_ == "{\"a\":1}\n");
    CHECK(fetch("/nothing").status_ == 404);
}

TEST_CASE("SIGTERM runs the drain handler before the loop ends")
{
    metrics_registry metrics;
    control_addresses at;
    auto loop = open_loop(metrics, at);
    REQUIRE(loop != nullptr);
    bool drained = false;
    loop->set_drain_handler(
        [&]
        {
            return loop->timer()
                .afterDelay(5 * kj::MILLISECONDS)
                .then([&] { drained = true; });
        });
    ::kill(::getpid(), SIGTERM);
    CHECK(loop->run() == exit_code::success);
    CHECK(drained);
}

TEST_CASE("messages and timers are handled on the control thread")
{
    metrics_registry metrics;
    control_addresses at;
    mailbox<int> messages(10);
    auto loop = open_loop(metrics, at);
    REQUIRE(loop != nullptr);
    int ticks = 0;
    int sum = 0;
    loop->run_every(std::chrono::milliseconds(1), [&] { ++ticks; });
    loop->add_mailbox_handler<int>(messages,
                                   [&](int&& value)
                                   {
                                       sum += value;
                                       if (sum == 6)
                                       {
                                           loop->stop();
                                       }
                                   });
    messages.post(1);
    messages.post(2);
    loop->run_every(std::chrono::milliseconds(3), [&] { messages.post(3); });
    CHECK(loop->run() == exit_code::success);
    CHECK(sum >= 6);
    CHECK(ticks >= 1);
}

TEST_CASE("opening a control loop on an address in use fails")
{
    metrics_registry metrics;
    control_addresses at;
    auto loop = open_loop(metrics, at);
    REQUIRE(loop != nullptr);
    bool refused = false;
    // kj allows only one event loop per thread.
    std::thread second_thread([&]
                              { refused = !control_loop::open(at, metrics); });
    second_thread.join();
    CHECK(refused);
}
