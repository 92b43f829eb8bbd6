#include "peer_info_service.h"

#include <libpass/pass.capnp.h>

#include <memory>

namespace galenafork
{

namespace
{

namespace schema = pvt::pass_schema;

// Time limit of one call. A peer in the same region responds within
// milliseconds; a peer that doesn't respond must not hold up the query of the
// next one for long.
constexpr auto call_timeout = 800 * kj::MILLISECONDS;

class peer_info_server final : public schema::Knowledge::Server
{
public:
    peer_info_server(std::function<const rules_text&()> rules,
                     std::function<member_lists()> members)
        : rules_(std::move(rules)), members_(std::move(members))
    {
    }

    kj::Promise<void> rules(RulesContext context) override
    {
        const rules_text& current = rules_();
        auto results = context.getResults();
        results.setVersion(current.version_.value());
        results.setText(current.text_.c_str());
        return kj::READY_NOW;
    }

    kj::Promise<void> members(MembersContext context) override
    {
        const member_lists current = members_();
        auto results = context.getResults();
        auto agents =
            results.initAgents(static_cast<unsigned>(current.agents_.size()));
        for (unsigned i = 0; i < agents.size(); ++i)
        {
            agents.set(i, current.agents_[i].value());
        }
        auto balancers = results.initBalancers(
            static_cast<unsigned>(current.balancers_.size()));
        for (unsigned i = 0; i < balancers.size(); ++i)
        {
            balancers.set(i, current.balancers_[i].value());
        }
        return kj::READY_NOW;
    }

private:
    std::function<const rules_text&()> rules_;
    std::function<member_lists()> members_;
};

template <class T, class Call>
kj::Promise<tl::expected<T, error>> call_peer(control_loop& loop,
                                              endpoint address, Call call)
{
    auto result = loop.connect(address).then(
        [call](std::unique_ptr<rpc_connection>&& connection)
        {
            auto client = connection->bootstrap().castAs<schema::Knowledge>();
            return call(client).attach(kj::mv(client), kj::mv(connection));
        });
    return loop.timer()
        .timeoutAfter(call_timeout, kj::mv(result))
        .catch_(
            [](const kj::Exception& e) -> tl::expected<T, error>
            {
                const bool is_timeout =
                    e.getType() == kj::Exception::Type::OVERLOADED;
                return tl::unexpected(error{is_timeout
                                                ? error_code::timed_out
                                                : error_code::unavailable,
                                            e.getDescription().cStr()});
            });
}

std::vector<host_address> read_hosts(capnp::List<std::uint32_t>::Reader list)
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
    return kj::heap<peer_info_server>(std::move(rules), std::move(members));
}

kj::Promise<tl::expected<rules_text, error>> fetch_rules(control_loop& loop,
                                                         endpoint address)
{
    return call_peer<rules_text>(
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
    return call_peer<member_lists>(
        loop, address,
        [](schema::Knowledge::Client& client)
        {
            return client.membersRequest().send().then(
                [](auto&& response) -> tl::expected<member_lists, error>
                {
                    return member_lists{read_hosts(response.getAgents()),
                                        read_hosts(response.getBalancers())};
                });
        });
}

} // namespace galenafork
