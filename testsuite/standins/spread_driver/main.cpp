/// \file
/// A client of the platform stand-in and of the balancers' HTTP pages, for
/// testsuite/spread.
///
/// usage: spread_driver PLATFORM COMMAND ARGUMENT...
///
/// | command | does |
/// |---|---|
/// | `rules TEXT` | writes rules to the platform; prints their version |
/// | `join SERVICE N` | adds member N to the roster of SERVICE |
/// | `fill SERVICES MEMBERS` | writes rules and rosters of SERVICES services |
/// | `faults JSON` | sets the active faults of the platform stand-in |
/// | `calls` | prints the stand-in's counts of calls |
/// | `get HTTP PATH` | prints status and body of a page |
/// | `wait_rules VERSION MS HTTP...` | waits for the rules; prints the time |
/// | `wait_epoch SERVICE EPOCH MS HTTP...` | the same for a roster |
///
/// `fill` gives each service MEMBERS members. The wait commands wait up to MS
/// milliseconds until every balancer reports at least the given version or
/// epoch in `/status`.
///
/// Exits with a nonzero status if a wait timed out, a write was not accepted or
/// a page could not be fetched.

#include <galenafork/platform_client.h>
#include <galenafork/roster.h>
#include <galenafork/rules_object.h>

#include <functional>
#include <iostream>
#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace galenafork;

namespace
{

using arguments = std::vector<std::string>;

constexpr auto poll_interval = 10 * kj::MILLISECONDS;
constexpr auto page_timeout = 2 * kj::SECONDS;

/// An HTTP response; status 0 if the request failed.
struct page
{
    unsigned status_ = 0;
    std::string body_;
};

class driver
{
public:
    explicit driver(const endpoint& platform)
        : platform_(platform), io_(kj::setupAsyncIo()),
          client_(make_settings(platform),
                  {io_.provider->getTimer(), io_.provider->getNetwork(),
                   read_monotonic_clock, [this] { return random_fraction(); }})
    {
    }

    int set_rules(const std::string& text)
    {
        const auto object = client_.get(rules_object_name).wait(io_.waitScope);
        std::optional<rules_object> current;
        if (object)
        {
            current = *rules_object_from_json(object->value_);
        }
        const write_id write = make_write_id(random_(), random_());
        const auto next = next_rules_object(
            current, {text, "driver", "2026-01-01T00:00:00Z", write});
        std::cout << "rules_version=" << next.version_.value() << "\n";
        return put({rules_object_name,
                    object ? object->version_ : no_object_version,
                    to_json(next), write});
    }

    int join(const std::string& service, int number)
    {
        const std::string name = "roster/" + service;
        const auto object = client_.get(name).wait(io_.waitScope);
        roster current;
        current.service_ = service_name(service);
        if (object)
        {
            current = *roster_from_json(object->value_);
        }
        roster_change change;
        change.write_ = make_write_id(random_(), random_());
        change.member_.instance_ = instance_id("m-" + std::to_string(number));
        change.member_.incarnation_ = incarnation(random_());
        change.member_.data_centre_ = data_centre("dc-1");
        change.member_.packet_endpoint_ = {make_v4(127, 0, 0, 1), 9};
        change.member_.control_endpoint_ = {make_v4(127, 0, 0, 1), 9};
        change.member_.slots_ = slot_count(1);
        change.member_.state_ = member_state::serving;
        const auto next = apply(current, change);
        std::cout << "epoch=" << next->epoch_.value() << "\n";
        return put({name, object ? object->version_ : no_object_version,
                    to_json(*next), change.write_});
    }

    int fill(int services, int members)
    {
        std::vector<rule> rules;
        for (int i = 0; i < services; ++i)
        {
            const auto high = static_cast<std::uint8_t>(i / 250);
            const auto low = static_cast<std::uint8_t>(1 + i % 250);
            rules.push_back({{make_v4(10, 9, high, low), 5683},
                             rule_kind::udp,
                             service_name("service-" + std::to_string(i)),
                             "driver",
                             0});
        }
        int failures = set_rules(format_rules(rules));
        for (int i = 0; i < services; ++i)
        {
            for (int number = 0; number < members; ++number)
            {
                failures += join("service-" + std::to_string(i), number);
            }
        }
        return failures;
    }

    int print(const endpoint& server, kj::HttpMethod method,
              const std::string& path, const std::string& body)
    {
        const page fetched = fetch(server, method, path, body);
        std::cout << fetched.status_ << " " << fetched.body_ << "\n";
        return fetched.status_ == 0 ? 1 : 0;
    }

    int
    wait_for(const std::function<std::uint64_t(const nlohmann::json&)>& read,
             std::uint64_t min_value, int timeout_ms, const arguments& servers)
    {
        const instant start = read_monotonic_clock();
        const instant end = start + std::chrono::milliseconds(timeout_ms);
        for (const std::string& server : servers)
        {
            while (fetch_value(server, read) < min_value)
            {
                if (read_monotonic_clock() > end)
                {
                    std::cout << "late page=" << server
                              << " has=" << fetch_value(server, read)
                              << " wanted=" << min_value << "\n";
                    return 1;
                }
                io_.provider->getTimer()
                    .afterDelay(poll_interval)
                    .wait(io_.waitScope);
            }
        }
        const auto elapsed =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                read_monotonic_clock() - start);
        std::cout << "took_ms=" << elapsed.count() << "\n";
        return 0;
    }

    const endpoint& platform() const
    {
        return platform_;
    }

private:
    static platform_settings make_settings(const endpoint& platform)
    {
        platform_settings s;
        s.address_ = platform;
        constexpr double unlimited = 1e6;
        s.call_rate_ = {unlimited, unlimited};
        return s;
    }

    double random_fraction()
    {
        return std::uniform_real_distribution<double>(0, 1)(random_);
    }

    int put(object_write write)
    {
        const auto result =
            client_.put_if(std::move(write)).wait(io_.waitScope);
        std::cout << "outcome=" << to_string(result.outcome_) << "\n";
        return result.outcome_ == write_outcome::accepted ? 0 : 1;
    }

    std::uint64_t
    fetch_value(const std::string& server,
                const std::function<std::uint64_t(const nlohmann::json&)>& read)
    {
        const page status =
            fetch(*parse_endpoint(server), kj::HttpMethod::GET, "/status", "");
        const auto json = nlohmann::json::parse(status.body_, nullptr, false);
        return json.is_object() ? read(json) : 0;
    }

    page fetch(const endpoint& server, kj::HttpMethod method,
               const std::string& path, const std::string& body)
    {
        auto http = kj::newHttpClient(io_.provider->getTimer(), table_,
                                      io_.provider->getNetwork(), nullptr);
        const std::string url = "http://" + to_string(server) + path;
        auto request = http->request(method, url.c_str(),
                                     kj::HttpHeaders(table_), body.size());
        auto body_sent = body.empty()
                             ? kj::Promise<void>(kj::READY_NOW)
                             : request.body->write(body.data(), body.size());
        body_sent = body_sent.attach(kj::mv(request.body));
        auto fetched = body_sent
                           .then([response = kj::mv(request.response)]() mutable
                                 { return kj::mv(response); })
                           .then(
                               [](kj::HttpClient::Response&& response)
                               {
                                   const unsigned status = response.statusCode;
                                   return response.body->readAllText()
                                       .then(
                                           [status](kj::String&& text) {
                                               return page{status, text.cStr()};
                                           })
                                       .attach(kj::mv(response.body));
                               });
        return io_.provider->getTimer()
            .timeoutAfter(page_timeout, kj::mv(fetched))
            .catch_(
                [](kj::Exception&& failure) {
                    return page{0, failure.getDescription().cStr()};
                })
            .wait(io_.waitScope);
    }

    endpoint platform_;
    std::random_device random_device_;
    std::mt19937_64 random_{random_device_()};
    kj::AsyncIoContext io_;
    kj::HttpHeaderTable table_;
    platform_client client_;
};

arguments arguments_from(const arguments& a, std::size_t from)
{
    return {a.begin() + static_cast<std::ptrdiff_t>(from), a.end()};
}

int run(driver& d, const arguments& a)
{
    const std::string& command = a.at(0);
    if (command == "rules")
    {
        return d.set_rules(a.at(1));
    }
    if (command == "join")
    {
        return d.join(a.at(1), std::stoi(a.at(2)));
    }
    if (command == "fill")
    {
        return d.fill(std::stoi(a.at(1)), std::stoi(a.at(2)));
    }
    if (command == "faults")
    {
        return d.print(d.platform(), kj::HttpMethod::POST, "/v1/standin/faults",
                       a.at(1));
    }
    if (command == "calls")
    {
        return d.print(d.platform(), kj::HttpMethod::GET, "/v1/standin/calls",
                       "");
    }
    if (command == "get")
    {
        return d.print(*parse_endpoint(a.at(1)), kj::HttpMethod::GET, a.at(2),
                       "");
    }
    if (command == "wait_rules")
    {
        return d.wait_for([](const nlohmann::json& status)
                          { return status.value("rules_version", 0UL); },
                          std::stoul(a.at(1)), std::stoi(a.at(2)),
                          arguments_from(a, 3));
    }
    if (command == "wait_epoch")
    {
        const auto read = [&](const nlohmann::json& status)
        {
            const auto& services = status.at("services");
            return services.contains(a.at(1))
                       ? services.at(a.at(1)).value("epoch", 0UL)
                       : 0UL;
        };
        return d.wait_for(read, std::stoul(a.at(2)), std::stoi(a.at(3)),
                          arguments_from(a, 4));
    }
    std::cerr << "unknown command " << command << "\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
{
    const arguments all(argv + 1, argv + argc);
    const auto platform =
        parse_endpoint(all.empty() ? std::string() : all.front());
    if (!platform || all.size() < 2)
    {
        std::cerr << "usage: spread_driver PLATFORM COMMAND ARGUMENT...\n";
        return 2;
    }
    driver d(*platform);
    return run(d, arguments_from(all, 1));
}
