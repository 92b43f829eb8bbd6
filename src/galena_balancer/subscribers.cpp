#include "peers.h"

#include <galenafork/log.h>
#include <galenafork/replicated_state_codec.h>

namespace galenafork
{

namespace
{

// Updates that arrive within this time are pushed in one call.
constexpr auto push_delay = 5 * kj::MILLISECONDS;

constexpr auto push_timeout = 5 * kj::SECONDS;

} // namespace

bool apply_pushed(state_replica& replica,
                  capnp::List<rpc::Update>::Reader updates,
                  const std::string& source)
{
    bool gap = false;
    for (const auto in : updates)
    {
        const auto update = read(in);
        if (!update)
        {
            log_event(
                log_level::warning, "bad_update",
                {{"source", source}, {"reason", update.error().message_}});
            continue;
        }
        gap = replica.apply_update(*update, source) == merge_result::gap || gap;
    }
    return gap;
}

subscribers::subscribers(control_loop& loop, state_replica& replica)
    : loop_(loop)
{
    replica.add_listener([this](const state_update& update)
                         { schedule(update); });
}

void subscribers::add(rpc::Subscriber::Client client)
{
    clients_.emplace(next_id_,
                     std::make_unique<rpc::Subscriber::Client>(kj::mv(client)));
    ++next_id_;
}

void subscribers::end_subscriptions()
{
    for (auto& [id, client] : clients_)
    {
        loop_.add_task(
            "end",
            loop_.timer().timeoutAfter(
                push_timeout, client->endedRequest().send().ignoreResult()));
    }
    clients_.clear();
}

void subscribers::schedule(const state_update& update)
{
    if (clients_.empty())
    {
        return;
    }
    pending_updates_.push_back(update);
    if (push_scheduled_)
    {
        return;
    }
    push_scheduled_ = true;
    loop_.add_task(
        "push",
        loop_.timer().afterDelay(push_delay).then([this] { push_pending(); }));
}

void subscribers::push_pending()
{
    push_scheduled_ = false;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, client] : clients_)
    {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        loop_.add_task("push", push(id));
    }
    pending_updates_.clear();
}

kj::Promise<void> subscribers::push(std::uint64_t id)
{
    auto request = clients_.at(id)->pushRequest();
    auto updates =
        request.initUpdates(static_cast<unsigned>(pending_updates_.size()));
    for (unsigned i = 0; i < updates.size(); ++i)
    {
        write(updates[i], pending_updates_[i]);
    }
    // A subscriber whose push fails is removed; it gets later updates from its
    // own digest exchanges.
    return loop_.timer()
        .timeoutAfter(push_timeout, request.send().ignoreResult())
        .catch_([this, id](kj::Exception&&) { clients_.erase(id); });
}

subscriber_server::subscriber_server(state_replica& replica, std::string source,
                                     event_handlers handlers)
    : replica_(replica), source_(std::move(source)),
      handlers_(std::move(handlers))
{
}

kj::Promise<void> subscriber_server::push(PushContext context)
{
    if (apply_pushed(replica_, context.getParams().getUpdates(), source_))
    {
        handlers_.on_gap_();
    }
    return kj::READY_NOW;
}

kj::Promise<void> subscriber_server::ended(EndedContext /*context*/)
{
    handlers_.on_ended_();
    return kj::READY_NOW;
}

} // namespace galenafork
