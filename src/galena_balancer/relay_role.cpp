#include "relay_role.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr duration tick_interval = std::chrono::milliseconds(250);

// Time limit for opening a link, and for a digest exchange over it.
constexpr auto link_timeout = 2 * kj::SECONDS;

// Number of relays that a balancer subscribes to. With two, updates still
// arrive when one relay is lost.
constexpr std::size_t target_link_count = 2;

// Average number of times within one lease that a balancer reads the relay list
// or, as a relay, checks whether the renewal of its entry is due.
constexpr int list_calls_per_lease = 3;

constexpr unsigned max_write_attempts = 3;

constexpr auto drop_link_delay = 10 * kj::MILLISECONDS;

} // namespace

relay_role::relay_role(relay_identity identity, const relay_settings& settings,
                       relay_dependencies dependencies)
    : identity_(std::move(identity)), settings_(settings),
      dependencies_(std::move(dependencies))
{
}

void relay_role::start()
{
    dependencies_.loop_.run_every(tick_interval, [this] { tick(); });
    tick();
}

void relay_role::tick()
{
    const instant now = read_monotonic_clock();
    const std::size_t wanted =
        std::min<std::size_t>(target_link_count, settings_.relay_count_);
    const bool lacks_links = !is_relay_ && links_.size() < wanted;
    if (list_call_pending_ || now < next_list_call_at_ ||
        !(is_relay_ || lacks_links))
    {
        return;
    }
    const duration pause = settings_.lease_ / list_calls_per_lease;
    const double jitter = 0.5 + dependencies_.random_();
    next_list_call_at_ =
        now + std::chrono::duration_cast<duration>(pause * jitter);
    list_call_pending_ = true;
    // A relay writes without reading first; a conflict returns the current
    // list.
    auto list_call =
        is_relay_ ? write_relay_list(max_write_attempts) : read_relay_list();
    dependencies_.loop_.add_task(
        "relays", list_call.then([this] { list_call_pending_ = false; },
                                 [this](kj::Exception&&)
                                 { list_call_pending_ = false; }));
}

kj::Promise<void> relay_role::read_relay_list()
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
            handle_relay_list(object ? object->version_ : no_object_version,
                              list ? *list : relay_list());
            return write_relay_list(max_write_attempts);
        });
}

kj::Promise<void> relay_role::write_relay_list(unsigned attempts)
{
    const instant now = read_monotonic_clock();
    auto next = next_relay_list(relay_view_, identity_.self_, settings_, now);
    if (!next || attempts == 0)
    {
        return kj::READY_NOW;
    }
    next->last_write_id_ = make_write_id(dependencies_.random_bits_(),
                                         dependencies_.random_bits_());
    object_write write{relay_object_name(identity_.data_centre_), list_version_,
                       to_json(*next), next->last_write_id_};
    return dependencies_.store_.put_if(std::move(write))
        .then(
            [this, now, attempts,
             list = *next](write_result&& result) -> kj::Promise<void>
            {
                if (result.outcome_ == write_outcome::accepted)
                {
                    relay_view_.last_renewed_at_ = now;
                    handle_relay_list(result.version_, list);
                }
                else if (result.current_)
                {
                    // Another balancer has updated the list in the meantime, so
                    // the write is retried on the basis of its list.
                    const auto winner =
                        relay_list_from_json(result.current_->value_);
                    handle_relay_list(result.current_->version_,
                                      winner ? *winner : relay_list());
                    return write_relay_list(attempts - 1);
                }
                return kj::READY_NOW;
            });
}

void relay_role::handle_relay_list(object_version version,
                                   const relay_list& list)
{
    list_version_ = version;
    update_relay_view(relay_view_, list, read_monotonic_clock());
    for (const relay_entry& relay : list.relays_)
    {
        dependencies_.peers_.add(relay.rpc_endpoint_);
    }
    set_relay(is_relay(relay_view_, identity_.self_));
    link_to_relays();
}

void relay_role::set_relay(bool relay)
{
    if (relay != is_relay_)
    {
        is_relay_ = relay;
        log_event(log_level::info, relay ? "relay_begun" : "relay_ended");
    }
    if (!relay)
    {
        dependencies_.watch_.stop();
        dependencies_.subscribers_.end_subscriptions();
        assigned_relays_.clear();
        return;
    }
    const bool same_relays = std::equal(
        assigned_relays_.begin(), assigned_relays_.end(),
        relay_view_.list_.relays_.begin(), relay_view_.list_.relays_.end(),
        [](const relay_entry& a, const relay_entry& b)
        { return a.instance_ == b.instance_; });
    if (!same_relays || !dependencies_.watch_.is_active())
    {
        assigned_relays_ = relay_view_.list_.relays_;
        const instance_id self = identity_.self_.instance_;
        dependencies_.watch_.start(
            [self, list = relay_view_.list_](const service_name& service)
            { return is_assigned_relay(list, self, service); });
    }
}

void relay_role::link_to_relays()
{
    for (const relay_entry& relay : relay_view_.list_.relays_)
    {
        // Relays subscribe to each other because each watches only some
        // rosters.
        const bool wanted = is_relay_ || links_.size() < target_link_count;
        const bool is_other = relay.instance_ != identity_.self_.instance_;
        if (wanted && is_other && links_.count(relay.rpc_endpoint_) == 0 &&
            connecting_.insert(relay.rpc_endpoint_).second)
        {
            dependencies_.loop_.add_task("link",
                                         open_link(relay.rpc_endpoint_));
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
            add_link(relay, std::move(connection), client);
            return subscribe(relay, client);
        });
    return loop.timer()
        .timeoutAfter(link_timeout, kj::mv(opened))
        .then(
            [this, relay]
            {
                connecting_.erase(relay);
                log_event(log_level::info, "link_opened",
                          {{"relay", to_string(relay)}});
                exchange_over_link();
                const auto at = links_.find(relay);
                return at == links_.end()
                           ? kj::Promise<void>(kj::READY_NOW)
                           : at->second->connection_->on_disconnect();
            })
        .then([this, relay] { links_.erase(relay); },
              [this, relay](kj::Exception&&)
              {
                  connecting_.erase(relay);
                  links_.erase(relay);
              });
}

void relay_role::add_link(const endpoint& relay,
                          std::unique_ptr<rpc_connection> connection,
                          rpc::Balancer::Client client)
{
    links_.erase(relay);
    auto opened = std::make_unique<link>(
        link{std::move(connection), kj::mv(client), to_string(relay)});
    links_.emplace(relay, std::move(opened));
}

kj::Promise<void> relay_role::subscribe(const endpoint& relay,
                                        rpc::Balancer::Client client)
{
    subscriber_server::event_handlers handlers;
    handlers.on_gap_ = [this] { exchange_over_link(); };
    handlers.on_ended_ = [this, relay] { drop_link_later(relay); };
    auto request = client.subscribeRequest();
    request.setSubscriber(kj::heap<subscriber_server>(
        dependencies_.replica_, to_string(relay), std::move(handlers)));
    return request.send().ignoreResult();
}

void relay_role::drop_link_later(const endpoint& relay)
{
    // Dropped later, because the call that requests it arrives over this link.
    dependencies_.loop_.add_task(
        "drop_link", dependencies_.loop_.timer()
                         .afterDelay(drop_link_delay)
                         .then([this, relay] { links_.erase(relay); }));
}

void relay_role::exchange_over_link()
{
    if (links_.empty() || exchanging_)
    {
        return;
    }
    exchanging_ = true;
    link& any_link = *links_.begin()->second;
    auto exchange =
        dependencies_.peers_.exchange_with(any_link.client_, any_link.name_);
    dependencies_.loop_.add_task(
        "catch_up",
        dependencies_.loop_.timer()
            .timeoutAfter(link_timeout, kj::mv(exchange))
            .then([this] { exchanging_ = false; },
                  [this](kj::Exception&&) { exchanging_ = false; }));
}

void relay_role::catch_up(const service_name& service)
{
    if (is_relay_ || links_.empty())
    {
        dependencies_.watch_.fetch(service);
        return;
    }
    exchange_over_link();
}

} // namespace galenafork
