#include "peers.h"

#include <galenafork/log.h>
#include <galenafork/replicated_state_codec.h>

namespace galenafork
{

namespace
{

// Updates that come together travel together.
constexpr auto push_delay = 5 * kj::MILLISECONDS;

constexpr auto push_timeout = 5 * kj::SECONDS;

} // namespace

bool apply_pushed(state_replica& known,
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
        gap = known.apply_update(*update, source) == merge_result::gap || gap;
    }
    return gap;
}

subscribers::subscribers(control_loop& loop, state_replica& known) : loop_(loop)
{
    known.add_listener([this](const state_update& update)
                       { schedule(update); });
}

void subscribers::add(rpc::Subscriber::Client to)
{
    clients_.emplace(next_id_,
                     std::make_unique<rpc::Subscriber::Client>(kj::mv(to)));
    ++next_id_;
}

void subscribers::end()
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
    pending_.push_back(update);
    if (scheduled_)
    {
        return;
    }
    scheduled_ = true;
    loop_.add_task(
        "push",
        loop_.timer().afterDelay(push_delay).then([this] { push_pending(); }));
}

void subscribers::push_pending()
{
    scheduled_ = false;
    std::vector<std::uint64_t> ids;
    for (const auto& [id, client] : clients_)
    {
        ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
    {
        loop_.add_task("push", push(id));
    }
    pending_.clear();
}

kj::Promise<void> subscribers::push(std::uint64_t id)
{
    auto request = clients_.at(id)->pushRequest();
    auto updates = request.initUpdates(static_cast<unsigned>(pending_.size()));
    for (unsigned i = 0; i < updates.size(); ++i)
    {
        write(updates[i], pending_[i]);
    }
    // Whoever misses one push gets all later ones from the next exchange.
    return loop_.timer()
        .timeoutAfter(push_timeout, request.send().ignoreResult())
        .catch_([this, id](kj::Exception&&) { clients_.erase(id); });
}

subscriber_server::subscriber_server(state_replica& known, std::string source,
                                     events on)
    : replica_(known), source_(std::move(source)), on_(std::move(on))
{
}

kj::Promise<void> subscriber_server::push(PushContext context)
{
    if (apply_pushed(replica_, context.getParams().getUpdates(), source_))
    {
        on_.gap_();
    }
    return kj::READY_NOW;
}

kj::Promise<void> subscriber_server::ended(EndedContext /*context*/)
{
    on_.ended_();
    return kj::READY_NOW;
}

} // namespace galenafork
