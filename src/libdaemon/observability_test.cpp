#include <galenafork/log.h>
#include <galenafork/mailbox.h>
#include <galenafork/metrics.h>
#include <galenafork/trace_export.h>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>
#include <thread>

using namespace galenafork;

TEST_CASE(
    "log values are quoted if they contain special characters or are empty")
{
    CHECK(quoted_log_value("plain-1.2:3") == "plain-1.2:3");
    CHECK(quoted_log_value("") == "\"\"");
    CHECK(quoted_log_value("a b") == "\"a b\"");
    CHECK(quoted_log_value("a=\"b\"\n") == "\"a=\\\"b\\\"\\x0a\"");
}

TEST_CASE("metrics are exported as Prometheus text")
{
    metrics_registry registry;
    counter& drops =
        registry.add_counter("drops_total", "Drops.", {{"why", "a\"b"}});
    registry.add_counter("drops_total", "Drops.", {{"why", "c"}}).add(2);
    registry.add_gauge("level", "Level.").set(-3);
    drops.add(5);
    CHECK(registry.prometheus_text() == "# HELP drops_total Drops.\n"
                                        "# TYPE drops_total counter\n"
                                        "drops_total{why=\"a\\\"b\"} 5\n"
                                        "drops_total{why=\"c\"} 2\n"
                                        "# HELP level Level.\n"
                                        "# TYPE level gauge\n"
                                        "level -3\n");
}

TEST_CASE("a distribution estimates quantiles of its samples")
{
    metrics_registry registry;
    distribution& d = registry.add_distribution("t_seconds", "T.");
    CHECK(d.read().quantiles_.empty());
    // A permutation of 0..9999, because 7919 and 10000 are coprime.
    for (int i = 0; i < 10'000; ++i)
    {
        d.record((i * 7919) % 10'000);
    }
    const auto values = d.read();
    CHECK(values.count_ == 10'000);
    CHECK(values.sum_ == 49'995'000.0);
    REQUIRE(values.quantiles_.size() == 4);
    CHECK(values.quantiles_[0].second == doctest::Approx(5'000).epsilon(0.02));
    CHECK(values.quantiles_[2].second == doctest::Approx(9'900).epsilon(0.02));
    CHECK(registry.prometheus_text().find("t_seconds{quantile=\"0.99\"} ") !=
          std::string::npos);
}

TEST_CASE("one packet in N starts a trace and all hops keep the trace id")
{
    trace_sampler sampler(42, 10);
    int sampled = 0;
    for (int i = 0; i < 1'000; ++i)
    {
        const trace_context root = sampler.start_trace();
        sampled += root.sampled_ ? 1 : 0;
        const trace_context hop = sampler.child_context(root);
        CHECK(hop.sampled_ == root.sampled_);
        CHECK(hop.trace_id_ == root.trace_id_);
        CHECK((!root.sampled_ || hop.span_id_ != root.span_id_));
    }
    CHECK(sampled == 100);
    CHECK_FALSE(trace_sampler(1, 0).start_trace().sampled_);
}

TEST_CASE("spans are exported as OTLP/JSON")
{
    trace_sampler sampler(1, 1);
    span s;
    s.context_ = sampler.start_trace();
    s.name_ = "forward";
    s.start_ns_ = 5;
    s.attributes_ = {{"service", "orders"}};
    const auto json =
        nlohmann::json::parse(to_otlp_json("galena-x", "x-1", {s}));
    const auto& resource = json["resourceSpans"][0];
    CHECK(resource["resource"]["attributes"][0]["value"]["stringValue"] ==
          "galena-x");
    const auto& written = resource["scopeSpans"][0]["spans"][0];
    CHECK(written["traceId"].get<std::string>().size() == 32);
    CHECK(written["spanId"].get<std::string>().size() == 16);
    CHECK_FALSE(written.contains("parentSpanId"));
    CHECK(written["startTimeUnixNano"] == "5");
    CHECK(written["attributes"][0]["key"] == "service");
}

TEST_CASE("a full span queue drops and counts further spans")
{
    span_queue queue(2);
    CHECK(queue.try_push({}));
    CHECK(queue.try_push({}));
    CHECK_FALSE(queue.try_push({}));
    CHECK(queue.dropped() == 1);
    CHECK(queue.pop_batch(1).size() == 1);
    CHECK(queue.pop_batch(9).size() == 1);
}

TEST_CASE(
    "a mailbox returns each value once, in order, and drops values beyond "
    "its capacity")
{
    mailbox<int> messages(1'000);
    std::thread writer(
        [&]
        {
            for (int i = 0; i < 1'000; ++i)
            {
                messages.post(i);
            }
        });
    std::vector<int> received;
    while (received.size() < 1'000)
    {
        const auto popped = messages.pop_all();
        received.insert(received.end(), popped.begin(), popped.end());
    }
    writer.join();
    for (int i = 0; i < 1'000; ++i)
    {
        CHECK(received[static_cast<std::size_t>(i)] == i);
    }
    mailbox<int> small(1);
    CHECK(small.post(1));
    CHECK_FALSE(small.post(2));
    CHECK(small.dropped() == 1);
}
