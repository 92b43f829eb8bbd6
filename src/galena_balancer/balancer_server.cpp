#include "balancer_server.h"

#include <galenafork/replicated_state_codec.h>

#include <kj/debug.h>

#include <nlohmann/json.hpp>

namespace galenafork
{

balancer_server::balancer_server(server_dependencies dependencies)
    : dependencies_(std::move(dependencies))
{
}

kj::Promise<void> balancer_server::status(StatusContext context)
{
    context.getResults().setJson(dependencies_.status_().c_str());
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::explain(ExplainContext context)
{
    const auto in = context.getParams();
    const auto caller = parse_endpoint(in.getCaller().cStr());
    const auto service = parse_endpoint(in.getService().cStr());
    KJ_REQUIRE(caller.has_value() && service.has_value(),
               "caller and service must have the form 'IP:PORT'");
    const std::string json = explain_flow(
        dependencies_.replica_.snapshot().get(), {*caller, *service});
    context.getResults().setJson(json.c_str());
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::digest(DigestContext context)
{
    const auto sample = dependencies_.peers_.sample();
    if (const auto caller = read(context.getParams().getCaller()))
    {
        dependencies_.peers_.add(*caller);
    }
    auto results = context.getResults();
    write(results.initDigest(), digest_of(dependencies_.replica_.state()));
    results.setReady(dependencies_.readiness_().ready_);
    auto addresses = results.initPeers(static_cast<unsigned>(sample.size()));
    for (unsigned i = 0; i < addresses.size(); ++i)
    {
        write(addresses[i], sample[i]);
    }
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::pull(PullContext context)
{
    const auto have = read(context.getParams().getHave());
    KJ_REQUIRE(have.has_value(),
               "the caller's state versions can't be decoded");
    const auto updates = updates_since(dependencies_.replica_.state(), *have);
    auto out =
        context.getResults().initUpdates(static_cast<unsigned>(updates.size()));
    for (unsigned i = 0; i < out.size(); ++i)
    {
        write(out[i], updates[i]);
    }
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::subscribe(SubscribeContext context)
{
    KJ_REQUIRE(dependencies_.is_relay_(), "this balancer is not a relay");
    dependencies_.subscribers_.add(context.getParams().getSubscriber());
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::push(PushContext context)
{
    if (apply_pushed(dependencies_.replica_, context.getParams().getUpdates(),
                     "peer"))
    {
        dependencies_.on_gap_();
    }
    return kj::READY_NOW;
}

kj::Promise<void> balancer_server::ended(EndedContext /*context*/)
{
    return kj::READY_NOW;
}

std::string explain_flow(const routing_snapshot* snapshot, const flow_key& flow)
{
    nlohmann::json json = {
        {"caller", to_string(flow.caller_)},
        {"service_address", to_string(flow.service_address_)}};
    if (snapshot == nullptr)
    {
        json["refused"] = to_string(refusal::unknown_service);
        json["why"] = "this balancer has no rules yet";
        return json.dump();
    }
    const forwarding_decision decision = select_target(*snapshot, flow);
    json["rules_version"] = snapshot->rules_version_.value();
    json["refused"] = to_string(decision.refusal_);
    if (decision.route_ == nullptr)
    {
        json["why"] = "no rule has this service address";
        return json.dump();
    }
    json["service"] = decision.route_->service_.value();
    json["established_only"] = decision.established_only_;
    json["bucket"] = bucket_of(flow).value();
    json["epoch"] = decision.route_->epoch_.value();
    if (decision.target_ == nullptr)
    {
        json["why"] = decision.route_->epoch_ == epoch()
                          ? "this balancer has no roster of the service yet"
                          : "no member serves the bucket";
        return json.dump();
    }
    const route_target& home = *decision.target_;
    json["home"] = {{"instance", home.member_.instance_.value()},
                    {"incarnation", home.member_.incarnation_.value()},
                    {"packets", to_string(home.packet_endpoint_)}};
    json["why"] = "effective home of the bucket";
    return json.dump();
}

} // namespace galenafork
