#include "balancer_app.h"

#include <galenafork/log.h>

#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

constexpr std::size_t span_queue_capacity = 4096;
constexpr std::size_t notice_mailbox_capacity = 1024;
constexpr duration metrics_interval = std::chrono::seconds(1);

std::uint64_t random_seed()
{
    std::random_device device;
    const std::uint64_t high = device();
    return (high << 32U) | device();
}

} // namespace

tl::expected<std::unique_ptr<balancer_app>, error>
balancer_app::open(const balancer_settings& settings)
{
    auto metrics = std::make_unique<metrics_registry>();
    auto loop = control_loop::open(settings.control_, *metrics);
    if (!loop)
    {
        return tl::unexpected(loop.error());
    }
    std::unique_ptr<balancer_app> app(
        new balancer_app(settings, std::move(metrics), std::move(*loop)));
    if (auto opened = app->open_traffic_threads(); !opened)
    {
        return tl::unexpected(opened.error());
    }
    return app;
}

balancer_app::balancer_app(const balancer_settings& settings,
                           std::unique_ptr<metrics_registry> metrics,
                           std::unique_ptr<control_loop> loop)
    : settings_(settings), metrics_(std::move(metrics)), random_(random_seed()),
      spans_(span_queue_capacity), notices_(notice_mailbox_capacity),
      loop_(std::move(loop)),
      platform_(settings.platform_,
                {loop_->timer(), loop_->io().provider->getNetwork(),
                 read_monotonic_clock, [this] { return random_unit(); }}),
      replica_(*loop_, *metrics_,
               [this](const std::shared_ptr<const routing_snapshot>& snapshot)
               {
                   for (const auto& thread : traffic_threads_)
                   {
                       thread->publish(snapshot);
                   }
               }),
      watch_(*loop_, platform_, replica_, [this] { return random_unit(); }),
      peers_(*loop_, replica_, *metrics_, settings.control_.rpc_,
             [this] { return random_unit(); }),
      subscribers_(*loop_, replica_),
      relay_({settings.data_centre_,
              {settings.instance_, incarnation(random_()),
               settings.control_.rpc_, 0}},
             settings.gossip_.relay_,
             {*loop_, platform_, watch_, replica_, peers_, subscribers_,
              [this] { return random_unit(); }, [this] { return random_(); }}),
      ready_(
          metrics_->add_gauge("galena_balancer_ready",
                              "1 while this balancer is ready for traffic.")),
      platform_metrics_(*metrics_),
      spans_dropped_(metrics_->add_gauge("galena_balancer_spans_dropped",
                                         "Spans dropped so far."))
{
}

balancer_app::~balancer_app()
{
    // Stops the traffic threads before any member that they use is destroyed.
    traffic_threads_.clear();
}

tl::expected<void, error> balancer_app::open_traffic_threads()
{
    for (std::uint64_t i = 0; i < settings_.packets_.threads_; ++i)
    {
        const trace_sampler traces(random_(), settings_.traces_.sample_one_in_);
        auto thread = traffic_thread::open(
            settings_.packets_, i, {*metrics_, spans_, notices_, traces});
        if (!thread)
        {
            return tl::unexpected(thread.error());
        }
        traffic_threads_.push_back(std::move(*thread));
    }
    return loop_->export_spans(spans_, settings_.traces_, "galena-balancer",
                               settings_.instance_.value());
}

exit_code balancer_app::run()
{
    for (const auto& thread : traffic_threads_)
    {
        thread->start();
    }
    start_control();
    log_event(log_level::info, "started",
              {{"instance", settings_.instance_.value()},
               {"packets", to_string(settings_.packets_.fabric_endpoint_)},
               {"http", to_string(settings_.control_.http_)},
               {"rpc", to_string(settings_.control_.rpc_)}});
    const exit_code code = loop_->run();
    traffic_threads_.clear();
    log_event(log_level::info, "stopped");
    return code;
}

void balancer_app::start_control()
{
    for (const endpoint& seed : settings_.gossip_.seeds_)
    {
        peers_.add_seed(seed);
    }
    loop_->set_readiness_handler([this] { return check_readiness(); });
    loop_->set_status_handler([this] { return status(); });
    loop_->set_drain_handler([this] { return drain(); });
    loop_->add_mailbox_handler<stale_notice>(notices_,
                                             [this](stale_notice&& notice)
                                             { handle_stale_notice(notice); });
    loop_->serve_rpc(kj::heap<balancer_server>(server_dependencies{
        replica_, peers_, subscribers_, [this] { return status(); },
        [this] { return check_readiness(); },
        [this] { return relay_.is_relay_now(); },
        [this] { loop_->add_task("exchange", peers_.exchange()); }}));
    loop_->run_every(settings_.gossip_.exchange_interval_, [this]
                     { loop_->add_task("exchange", peers_.exchange()); });
    loop_->run_every(metrics_interval, [this] { update_metrics(); });
    relay_.start();
}

void balancer_app::handle_stale_notice(const stale_notice& notice)
{
    replica_.apply_update(
        expired_members_update{notice.service_, notice.expired_members_},
        "agent");
    const auto& services = replica_.state().services_;
    const auto at = services.find(notice.service_);
    const bool behind = at == services.end() || !at->second.roster_ ||
                        at->second.roster_->epoch_ < notice.epoch_;
    if (behind)
    {
        relay_.catch_up(notice.service_);
    }
}

kj::Promise<void> balancer_app::drain()
{
    draining_ = true;
    log_event(log_level::info, "draining",
              {{"ms", settings_.drain_time_.count() / 1000}});
    return loop_->timer().afterDelay(settings_.drain_time_.count() *
                                     kj::MICROSECONDS);
}

readiness balancer_app::check_readiness() const
{
    if (draining_)
    {
        return {false, "draining"};
    }
    readiness result = replica_.check_readiness();
    if (result.ready_)
    {
        return result;
    }
    if (!watch_.last_failure().empty())
    {
        result.reason_ += "; platform: " + watch_.last_failure();
    }
    if (!peers_.last_failure().empty())
    {
        result.reason_ += "; peers: " + peers_.last_failure();
    }
    return result;
}

std::string balancer_app::status() const
{
    const readiness current = check_readiness();
    nlohmann::json json = {{"program", "galena-balancer"},
                           {"version", GALENA_VERSION},
                           {"instance", settings_.instance_.value()},
                           {"data_centre", settings_.data_centre_.value()},
                           {"ready", current.ready_},
                           {"reason", current.reason_},
                           {"relay", relay_.is_relay_now()},
                           {"links", relay_.link_count()},
                           {"subscribers", subscribers_.count()}};
    const replicated_state& state = replica_.state();
    json["rules_version"] = state.rules_ ? state.rules_->version_.value() : 0;
    json["rules"] = state.rules_ ? state.rules_->rules_.size() : 0;
    auto& services = json["services"] = nlohmann::json::object();
    for (const auto& [name, service] : state.services_)
    {
        if (service.roster_)
        {
            services[name.value()] = {
                {"epoch", service.roster_->epoch_.value()},
                {"members", service.roster_->members_.size()},
                {"lapsed", service.expired_members_.incarnations_.size()}};
        }
    }
    auto& peer_addresses = json["peers"] = nlohmann::json::array();
    for (const endpoint& peer : peers_.all())
    {
        peer_addresses.push_back(to_string(peer));
    }
    return json.dump();
}

void balancer_app::update_metrics()
{
    ready_.set(check_readiness().ready_ ? 1 : 0);
    platform_metrics_.update(platform_.counters());
    spans_dropped_.set(static_cast<std::int64_t>(spans_.dropped()));
}

double balancer_app::random_unit()
{
    return std::uniform_real_distribution<double>(0, 1)(random_);
}

} // namespace galenafork
