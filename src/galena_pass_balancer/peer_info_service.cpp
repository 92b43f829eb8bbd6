#include "peer_info_service.h"

#include <libpass/pass.capnp.h>

#include <memory>

namespace galenafork
{

namespace
{

namespace schema = pvt::pass_schema;

// A peer in the same region answers within milliseconds; a silent one is given
// up before the next is due.
constexpr auto call_timeout = 800 * kj::MILLISECONDS;

class knowledge_server final : public schema::Knowledge::Server
{
public:
    knowledge_server(std::function<const rules_text&()> rules,
                     std::function<member_lists()> members)
        : rules_(std::move(rules)), members_(std::move(members))
    {
    }

    kj::Promise<void> rules(RulesContext context) override
    {
        const rules_text& now = rules_();
        auto results = context.getResults();
        results.setVersion(now.version_.value());
        results.setText(now.text_.c_str());
        return kj::READY_NOW;
    }

    kj::Promise<void> members(MembersContext context) override
    {
        const member_lists now = members_();
        auto results = context.getResults();
        auto agents =
            results.initAgents(static_cast<unsigned>(now.agents_.size()));
        for (unsigned i = 0; i < agents.size(); ++i)
        {
            agents.set(i, now.agents_[i].value());
        }
        auto balancers =
            results.initBalancers(static_cast<unsigned>(now.balancers_.size()));
        for (unsigned i = 0; i < balancers.size(); ++i)
        {
            balancers.set(i, now.balancers_[i].value());
        }
        return kj::READY_NOW;
    }

private:
    std::function<const rules_text&()> rules_;
    std::function<member_lists()> members_;
};

template <class T, class Call>
kj::Promise<tl::expected<T, error>> ask(control_loop& loop, endpoint address,
                                        Call call)
{
    auto answer = loop.connect(address).then(
        [call](std::unique_ptr<rpc_connection>&& connection)
        {
            auto client = connection->bootstrap().castAs<schema::Knowledge>();
            return call(client).attach(kj::mv(client), kj::mv(connection));
        });
    return loop.timer()
        .timeoutAfter(call_timeout, kj::mv(answer))
        .catch_(
            [](const kj::Exception& e) -> tl::expected<T, error>
            {
                const bool late =
                    e.getType() == kj::Exception::Type::OVERLOADED;
                return tl::unexpected(error{late ? error_code::timed_out
                                                 : error_code::unavailable,
                                            e.getDescription().cStr()});
            });
}

std::vector<host_address> hosts_in(capnp::List<std::uint32_t>::Reader list)
{
    std::vector<host_address> hosts;
    for (const std::uint32_t host : list)
    {
        hosts.emplace_back(host);
    }
    return hosts;
}

} // namespace

capnp::Capability::Client
make_peer_info_service(std::function<const rules_text&()> rules,
                       std::function<member_lists()> members)
{
    return kj::heap<knowledge_server>(std::move(rules), std::move(members));
}

kj::Promise<tl::expected<rules_text, error>> fetch_rules(control_loop& loop,
                                                         endpoint address)
{
    return ask<rules_text>(
        loop, address,
        [](schema::Knowledge::Client& client)
        {
            return client.rulesRequest().send().then(
                [](auto&& response) -> tl::expected<rules_text, error>
                {
                    return rules_text{pass_rules_version(response.getVersion()),
                                      response.getText().cStr()};
                });
        });
}

kj::Promise<tl::expected<member_lists, error>> fetch_members(control_loop& loop,
                                                             endpoint address)
{
    return ask<member_lists>(
        loop, address,
        [](schema::Knowledge::Client& client)
        {
            return client.membersRequest().send().then(
                [](auto&& response) -> tl::expected<member_lists, error>
                {
                    return member_lists{hosts_in(response.getAgents()),
                                        hosts_in(response.getBalancers())};
                });
        });
}

} // namespace galenafork
