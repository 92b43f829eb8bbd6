#include "balancer_daemon.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <platform/report_codec.h>
#include <platform/store_dialect.h>

#include <algorithm>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t news_mail = 64;

// Between two reads of the lists of members. The members themselves tell of
// changes; the lists find what was lost on the way.
constexpr duration members_interval = std::chrono::seconds(4);
constexpr duration members_retry = milliseconds(300);

// Between two rounds of questions to seeds while there are no rules.
constexpr duration seeds_interval = milliseconds(400);

// Routers look for readiness twice a second and give an instance up after two
// misses: segments come for at least this long after SIGTERM.
constexpr duration least_drain = milliseconds(1600);

// Without a segment for this time nobody sends any more.
constexpr duration quiet_time = milliseconds(400);

// Left of the platform's grace when the process ends by itself.
constexpr duration grace_reserve = milliseconds(1500);

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

} // namespace

tl::expected<std::unique_ptr<balancer_daemon>, error>
balancer_daemon::open(const platform_adapter::instance_settings& settings)
{
    auto metrics = std::make_unique<metrics_registry>();
    auto loop = open_control(settings, *metrics);
    if (!loop)
    {
        return tl::unexpected(loop.error());
    }
    auto io = packet_io::open(packet_addresses_of(settings), *metrics);
    if (!io)
    {
        return tl::unexpected(io.error());
    }
    return std::unique_ptr<balancer_daemon>(new balancer_daemon(
        settings, std::move(metrics), std::move(*loop), std::move(*io)));
}

balancer_daemon::balancer_daemon(
    const platform_adapter::instance_settings& settings,
    std::unique_ptr<metrics_registry> metrics,
    std::unique_ptr<control_loop> loop, packet_io io)
    : settings_(settings), metrics_(std::move(metrics)), news_(news_mail),
      loop_(std::move(loop)), random_(std::random_device{}()),
      log_({}, *metrics_),
      store_(store_settings(settings),
             {loop_->timer(), loop_->io().provider->getNetwork(),
              read_monotonic_clock,
              [this]
              { return std::uniform_real_distribution<double>()(random_); }},
             platform_adapter::store_dialect()),
      traffic_(
          [&]
          {
              pass_balancer_settings s;
              s.host_ = settings.host_;
              s.data_centre_ = settings.data_centre_;
              return s;
          }(),
          static_cast<std::uint32_t>(draw()), std::move(io), log_, news_,
          *metrics_),
      follower_(
          store_, loop_->timer(),
          [this] { return std::uniform_real_distribution<double>()(random_); },
          {},
          [this](std::shared_ptr<const pass_rules> rules, bool announce)
          {
              balancer_commands commands;
              commands.rules_ = std::move(rules);
              commands.announce_ = announce;
              traffic_.commands().post(std::move(commands));
          },
          [this](host_address host)
          { return fetch_rules(*loop_, rpc_address(host)); }),
      entry_(store_, loop_->timer(), [this] { return draw(); }, {})
{
    loop_->set_http_handler([this](const http_request& call)
                            { return answer(call); });
    loop_->set_readiness_handler([this] { return read_readiness(); });
    loop_->set_drain_handler([this] { return drain(); });
    loop_->serve_rpc(make_peer_info_service([this]() -> const rules_text&
                                            { return follower_.current(); },
                                            [this] { return members(); }));
    loop_->add_mailbox_handler<newer_rules>(
        news_, [this](newer_rules&& hint)
        { loop_->add_task("take_hint", follower_.handle_newer_rules(hint)); });
    loop_->run_every(log_flush_interval, [this] { log_.flush(); });
}

balancer_daemon::~balancer_daemon()
{
    traffic_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

std::uint64_t balancer_daemon::draw()
{
    return random_();
}

endpoint balancer_daemon::rpc_address(host_address host) const
{
    return at_port(host, rpc_port(settings_));
}

exit_code balancer_daemon::run()
{
    thread_ = std::thread([this] { traffic_.run(); });
    log_event(log_level::info, "started",
              {{"instance", settings_.name_},
               {"host", to_string(settings_.host_)},
               {"data_centre", settings_.data_centre_.value()},
               {"first_start", settings_.bootstrap_}});
    loop_->add_task("follow_rules", follower_.follow());
    loop_->add_task(
        "keep_entry",
        entry_.maintain(
            entry_name(platform_adapter::balancers_collection, settings_.host_),
            entry_value(settings_)));
    loop_->add_task("follow_members", follow_members());
    loop_->add_task("ask_seeds", ask_seeds());
    return loop_->run();
}

readiness balancer_daemon::read_readiness() const
{
    if (leaving_)
    {
        return {false, "leaving"};
    }
    if (traffic_.status().rules_version_ == 0)
    {
        return {false, "no rules"};
    }
    if (traffic_.status().live_agents_ == 0)
    {
        return {false, "no agent answers"};
    }
    return {true, ""};
}

http_response balancer_daemon::answer(const http_request& call) const
{
    if (platform_adapter::parse_call(call).kind_ !=
        platform_adapter::instance_call::readiness_check)
    {
        // Upstreams report to the agent on their own instance only.
        return {status_not_found, ""};
    }
    const readiness now = read_readiness();
    if (now.ready_ != was_ready_)
    {
        was_ready_ = now.ready_;
        log_event(log_level::info, now.ready_ ? "ready" : "unready",
                  {{"reason", now.reason_},
                   {"rules", traffic_.status().rules_version_.load()},
                   {"agents", traffic_.status().live_agents_.load()}});
    }
    return {now.ready_ ? status_ok : status_unavailable, ""};
}

member_lists balancer_daemon::members() const
{
    member_lists result{traffic_.agents(), balancers_};
    result.balancers_.push_back(settings_.host_);
    return result;
}

kj::Promise<void> balancer_daemon::follow_members()
{
    const freshness fresh =
        members_read_ ? freshness::allow_stale : freshness::current;
    // Who writes its entry before it reads the others' is missed by nobody:
    // of two that start together at least one sees the other.
    const bool announced = entry_.is_written();
    return store_.read_collection(platform_adapter::agents_collection, fresh)
        .then(
            [this, fresh, announced](tl::expected<object_page, error>&& agents)
            {
                balancer_commands commands;
                if (agents)
                {
                    commands.agents_ = hosts_of(agents->objects_);
                }
                const bool read = agents.has_value();
                return store_
                    .read_collection(platform_adapter::balancers_collection,
                                     fresh)
                    .then(
                        [this, read, announced, commands = std::move(commands)](
                            tl::expected<object_page, error>&& peers) mutable
                        {
                            if (peers)
                            {
                                commands.balancers_ = hosts_of(peers->objects_);
                                balancers_ = commands.balancers_;
                                follower_.set_balancers(balancers_.size());
                            }
                            members_read_ |=
                                announced && read && peers.has_value();
                            commands.complete_ = members_read_;
                            traffic_.commands().post(std::move(commands));
                        });
            })
        .then(
            [this]
            {
                return loop_->timer().afterDelay(
                    to_kj(members_read_ ? members_interval : members_retry));
            })
        .then([this] { return follow_members(); });
}

kj::Promise<void> balancer_daemon::ask_seed(host_address host)
{
    return fetch_rules(*loop_, rpc_address(host))
        .then(
            [this, host](tl::expected<rules_text, error>&& rules)
            {
                if (rules && rules->version_ != pass_rules_version())
                {
                    follower_.apply_text(rules->text_, rules_source::peer);
                }
                return fetch_members(*loop_, rpc_address(host));
            })
        .then(
            [this](tl::expected<member_lists, error>&& known)
            {
                if (known)
                {
                    balancer_commands commands;
                    commands.agents_ = known->agents_;
                    commands.balancers_ = known->balancers_;
                    traffic_.commands().post(std::move(commands));
                }
            });
}

// The first try leaves the store the time of an answer.
kj::Promise<void> balancer_daemon::ask_seeds()
{
    return loop_->timer()
        .afterDelay(to_kj(seeds_interval))
        .then(
            [this]() -> kj::Promise<void>
            {
                const bool complete =
                    members_read_ &&
                    follower_.current().version_ != pass_rules_version();
                if (complete)
                {
                    return kj::READY_NOW;
                }
                kj::Promise<void> asked = kj::READY_NOW;
                for (const host_address host : settings_.seeds_)
                {
                    if (host != settings_.host_)
                    {
                        asked =
                            asked.then([this, host] { return ask_seed(host); });
                    }
                }
                return asked.then([this] { return ask_seeds(); });
            });
}

kj::Promise<void> balancer_daemon::wait_for_quiet(std::uint64_t segments_before)
{
    return loop_->timer()
        .afterDelay(to_kj(quiet_time))
        .then(
            [this, segments_before]() -> kj::Promise<void>
            {
                const std::uint64_t segments =
                    traffic_.status().segments_received_;
                const duration passed = std::chrono::duration_cast<duration>(
                    read_monotonic_clock() - leaving_since_);
                const bool quiet = segments == segments_before;
                if ((quiet && passed >= least_drain) ||
                    passed >= settings_.stop_grace_ - grace_reserve)
                {
                    log_event(log_level::info, "stopped", {{"quiet", quiet}});
                    return kj::READY_NOW;
                }
                return wait_for_quiet(segments);
            });
}

kj::Promise<void> balancer_daemon::drain()
{
    leaving_ = true;
    leaving_since_ = read_monotonic_clock();
    balancer_commands commands;
    commands.leaving_ = true;
    traffic_.commands().post(std::move(commands));
    return wait_for_quiet(traffic_.status().segments_received_);
}

} // namespace galenafork
