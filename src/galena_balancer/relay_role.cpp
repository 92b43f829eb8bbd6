#include "relay_role.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(250);
constexpr auto link_timeout = 2 * kj::SECONDS;

// Relays that a balancer subscribes to, so that one may be lost.
constexpr std::size_t links_wanted = 2;

// Reads of the list within one lease while links are missing.
constexpr int reads_per_lease = 3;

constexpr unsigned write_attempts = 3;

} // namespace

relay_role::relay_role(relay_identity identity, const relay_settings& settings,
                       relay_dependencies dependencies)
    : identity_(std::move(identity)), settings_(settings),
      dependencies_(std::move(dependencies))
{
}

void relay_role::start()
{
    dependencies_.loop_.every(tick_interval, [this] { tick(); });
    tick();
}

void relay_role::tick()
{
    const instant now = read_monotonic_clock();
    const std::size_t wanted =
        std::min<std::size_t>(links_wanted, settings_.wanted_);
    const bool lacks_links = !relay_ && links_.size() < wanted;
    if (busy_ || now < next_read_ || !(relay_ || lacks_links))
    {
        return;
    }
    const duration pause = settings_.lease_ / reads_per_lease;
    const double jitter = 0.5 + dependencies_.random_();
    next_read_ = now + std::chrono::duration_cast<duration>(pause * jitter);
    busy_ = true;
    // A relay writes without reading first: a conflict tells it the list.
    auto work = relay_ ? write_list(write_attempts) : read_list();
    dependencies_.loop_.add_task("relays", work.then([this] { busy_ = false; },
                                                     [this](kj::Exception&&)
                                                     { busy_ = false; }));
}

kj::Promise<void> relay_role::read_list()
{
    const std::string name = relay_object_name(identity_.data_centre_);
    return dependencies_.store_.get(name).then(
        [this](
            tl::expected<platform_object, error>&& object) -> kj::Promise<void>
        {
            if (!object && object.error().code_ != error_code::not_found)
            {
                return kj::READY_NOW;
            }
            const auto list =
                object ? relay_list_from_json(object->value_) : relay_list();
            take_list(object ? object->version_ : no_object,
                      list ? *list : relay_list());
            return write_list(write_attempts);
        });
}

kj::Promise<void> relay_role::write_list(unsigned attempts)
{
    const instant now = read_monotonic_clock();
    auto next = next_list(view_, identity_.self_, settings_, now);
    if (!next || attempts == 0)
    {
        return kj::READY_NOW;
    }
    next->last_write_ = make_write_id(dependencies_.random_bits_(),
                                      dependencies_.random_bits_());
    object_write write{relay_object_name(identity_.data_centre_), version_,
                       to_json(*next), next->last_write_};
    return dependencies_.store_.put_if(std::move(write))
        .then(
            [this, now, attempts,
             list = *next](write_result&& result) -> kj::Promise<void>
            {
                if (result.outcome_ == write_outcome::accepted)
                {
                    view_.renewed_ = now;
                    take_list(result.version_, list);
                }
                else if (result.current_)
                {
                    // Another relay wrote since: again, from its list.
                    const auto seen =
                        relay_list_from_json(result.current_->value_);
                    take_list(result.current_->version_,
                              seen ? *seen : relay_list());
                    return write_list(attempts - 1);
                }
                return kj::READY_NOW;
            });
}

void relay_role::take_list(object_version version, const relay_list& list)
{
    version_ = version;
    observe(view_, list, read_monotonic_clock());
    for (const relay_entry& relay : list.relays_)
    {
        dependencies_.peers_.add(relay.rpc_);
    }
    set_relay(is_relay(view_, identity_.self_));
    if (!relay_)
    {
        link_to_relays();
    }
}

void relay_role::set_relay(bool relay)
{
    if (relay == relay_)
    {
        return;
    }
    relay_ = relay;
    log_event(log_level::info, relay ? "relay_begun" : "relay_ended");
    if (relay)
    {
        links_.clear();
        dependencies_.watch_.start();
    }
    else
    {
        dependencies_.watch_.stop();
    }
}

void relay_role::link_to_relays()
{
    for (const relay_entry& relay : view_.list_.relays_)
    {
        if (links_.size() < links_wanted && links_.count(relay.rpc_) == 0)
        {
            dependencies_.loop_.add_task("link", open_link(relay.rpc_));
        }
    }
}

kj::Promise<void> relay_role::open_link(const endpoint& relay)
{
    control_loop& loop = dependencies_.loop_;
    auto opened = loop.connect(relay).then(
        [this, relay](std::unique_ptr<rpc_connection>&& connection)
        {
            auto client = connection->bootstrap().castAs<rpc::Balancer>();
            auto request = client.subscribeRequest();
            request.setSubscriber(kj::heap<subscriber_server>(
                dependencies_.known_, to_string(relay),
                [this] { exchange_over_link(); }));
            auto subscribed = request.send().ignoreResult();
            links_.erase(relay);
            links_.emplace(
                relay, link{std::move(connection), client, to_string(relay)});
            return subscribed;
        });
    return loop.timer()
        .timeoutAfter(link_timeout, kj::mv(opened))
        .then(
            [this, relay]
            {
                log_event(log_level::info, "link_opened",
                          {{"relay", to_string(relay)}});
                exchange_over_link();
                const auto at = links_.find(relay);
                return at == links_.end()
                           ? kj::Promise<void>(kj::READY_NOW)
                           : at->second.connection_->on_disconnect();
            })
        .then([this, relay] { links_.erase(relay); },
              [this, relay](kj::Exception&&) { links_.erase(relay); });
}

void relay_role::exchange_over_link()
{
    if (links_.empty() || exchanging_)
    {
        return;
    }
    exchanging_ = true;
    link& first = links_.begin()->second;
    auto exchange =
        dependencies_.peers_.exchange_with(first.client_, first.name_);
    dependencies_.loop_.add_task(
        "catch_up",
        dependencies_.loop_.timer()
            .timeoutAfter(link_timeout, kj::mv(exchange))
            .then([this] { exchanging_ = false; },
                  [this](kj::Exception&&) { exchanging_ = false; }));
}

void relay_role::catch_up(const service_name& service)
{
    if (relay_ || links_.empty())
    {
        dependencies_.watch_.fetch(service);
        return;
    }
    exchange_over_link();
}

} // namespace galenafork
