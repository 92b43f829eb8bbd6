#include "balancer_daemon.h"

#include <galenafork/log.h>
#include <galenafork/read_schedule.h>
#include <libpassd/daemon_setup.h>
#include <platform/report_codec.h>
#include <platform/store_dialect.h>

#include <kj/vector.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_queued_newer_rules = 64;

// Time between two reads of the lists of agents and balancers in the store.
// Members announce themselves by messages; the reads find members whose
// messages were lost.
constexpr duration members_read_interval = std::chrono::seconds(4);
constexpr duration members_retry_interval = milliseconds(300);

// Time between two rounds of queries to the seeds while rules or member lists
// are missing.
constexpr duration seed_query_interval = milliseconds(400);

// Minimum time from SIGTERM to exit. Routers check readiness twice a second and
// stop sending to an instance after two failed checks, so that segments arrive
// for at least this long.
constexpr duration min_drain_time = milliseconds(1600);

// After this time without a segment, the balancer assumes that no router sends
// to it any more.
constexpr duration idle_period = milliseconds(400);

// The drain ends at the latest this long before the platform kills the process.
constexpr duration grace_reserve = milliseconds(1500);

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

} // namespace

tl::expected<std::unique_ptr<balancer_daemon>, error>
balancer_daemon::open(const platform_adapter::instance_settings& settings,
                      const hedge_settings& hedging)
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
    return std::unique_ptr<balancer_daemon>(
        new balancer_daemon(settings, hedging, std::move(metrics),
                            std::move(*loop), std::move(*io)));
}

balancer_daemon::balancer_daemon(
    const platform_adapter::instance_settings& settings,
    const hedge_settings& hedging, std::unique_ptr<metrics_registry> metrics,
    std::unique_ptr<control_loop> loop, packet_io io)
    : settings_(settings), hedge_percent_(hedging.percent_),
      metrics_(std::move(metrics)),
      newer_rules_mailbox_(max_queued_newer_rules), evacuation_log_(*metrics_),
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
              s.follows_evacuations_ = settings.evacuate_within_.has_value();
              s.flow_lifetime_ = settings.flow_lifetime_;
              s.hedging_ = hedging;
              return s;
          }(),
          static_cast<std::uint32_t>(random_bits()), std::move(io), log_,
          newer_rules_mailbox_, evacuation_log_.changes(), *metrics_),
      follower_(
          store_, loop_->timer(),
          make_pacer(settings.apply_rules_within_,
                     traffic_.status().rules_read_at_),
          {},
          [this](std::shared_ptr<const pass_rules> rules, bool announce)
          {
              balancer_commands commands;
              commands.rules_ = std::move(rules);
              commands.announce_ = announce;
              traffic_.commands().post(std::move(commands));
          },
          [this](instant began_at)
          {
              balancer_commands commands;
              commands.reads_.rules_at_ = began_at;
              traffic_.commands().post(std::move(commands));
          },
          [this](host_address host)
          { return fetch_rules(*loop_, rpc_address(host)); }),
      evacuations_(store_, loop_->timer(),
                   make_pacer(settings.evacuate_within_.value_or(duration(0)),
                              traffic_.status().evacuations_read_at_),
                   {},
                   [this](const evacuation_state& state, instant began_at)
                   {
                       balancer_commands commands;
                       commands.evacuations_ = state;
                       commands.reads_.evacuations_at_ = began_at;
                       traffic_.commands().post(std::move(commands));
                   }),
      registration_(store_, loop_->timer(), [this] { return random_bits(); },
                    {})
{
    loop_->set_http_handler([this](const http_request& request)
                            { return handle_request(request); });
    loop_->set_readiness_handler([this] { return check_readiness(); });
    loop_->set_drain_handler([this] { return drain(); });
    loop_->serve_rpc(make_peer_info_service([this]() -> const rules_text&
                                            { return follower_.current(); },
                                            [this] { return members(); }));
    loop_->add_mailbox_handler<newer_rules>(
        newer_rules_mailbox_,
        [this](newer_rules&& newer) {
            loop_->add_task("fetch_newer_rules",
                            follower_.handle_newer_rules(newer));
        });
    loop_->add_mailbox_handler<evacuation_change>(
        evacuation_log_.changes(),
        [this](evacuation_change&& change) { evacuation_log_.write(change); });
    loop_->run_every(log_flush_interval, [this] { log_.flush(); });
    // Rules never go back in a process. Their watch fails or is followed by a
    // read within a second; evacuations carry the era.
    store_.set_era_handler(
        [this](store_era era)
        {
            log_event(log_level::warning, "store_era_changed",
                      {{"era", era.value()}});
            registration_.recheck();
            members_read_ = false;
        });
}

balancer_daemon::~balancer_daemon()
{
    traffic_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
}

// Returns the timer of the reads of data that must be applied within `limit`.
// `latest_read` is when the latest read began that the traffic thread knows of.
read_pacer balancer_daemon::make_pacer(duration limit,
                                       const std::atomic<instant>& latest_read)
{
    return {max_read_age(limit),
            {loop_->timer(), read_monotonic_clock,
             [this]
             { return std::uniform_real_distribution<double>()(random_); },
             [&latest_read] { return latest_read.load(); }}};
}

std::uint64_t balancer_daemon::random_bits()
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
    if (hedge_percent_ > 0)
    {
        log_event(log_level::info, "hedging", {{"percent", hedge_percent_}});
    }
    loop_->add_task("follow_rules", follower_.follow());
    if (follows_evacuations())
    {
        loop_->add_task("follow_evacuations", evacuations_.follow());
    }
    loop_->add_task(
        "maintain_registration",
        registration_.maintain(own_entry(), entry_value(settings_)));
    loop_->add_task("follow_members", follow_members());
    loop_->add_task("query_seeds", query_seeds());
    return loop_->run();
}

std::string balancer_daemon::own_entry() const
{
    return entry_name(platform_adapter::balancers_collection, settings_.host_);
}

readiness balancer_daemon::check_readiness() const
{
    if (leaving_)
    {
        return {false, "leaving"};
    }
    if (traffic_.status().rules_version_ == 0)
    {
        return {false, "no rules are known"};
    }
    if (traffic_.status().live_agents_ == 0)
    {
        return {false, "no agent is live"};
    }
    if (follows_evacuations() && !traffic_.status().evacuations_known_ &&
        !evacuations_.is_store_failing())
    {
        return {false, "no evacuations are known"};
    }
    return {true, ""};
}

http_response balancer_daemon::handle_request(const http_request& request) const
{
    if (platform_adapter::parse_call(request).kind_ !=
        platform_adapter::instance_call::readiness_check)
    {
        // Upstreams report only to the agent on their own instance.
        return {status_not_found, ""};
    }
    const readiness current = check_readiness();
    if (current.ready_ != was_ready_)
    {
        was_ready_ = current.ready_;
        log_event(log_level::info, current.ready_ ? "ready" : "unready",
                  {{"reason", current.reason_},
                   {"rules", traffic_.status().rules_version_.load()},
                   {"agents", traffic_.status().live_agents_.load()}});
    }
    return {current.ready_ ? status_ok : status_unavailable, ""};
}

member_lists balancer_daemon::members() const
{
    member_lists result{traffic_.agents(), balancers_};
    result.balancers_.push_back(settings_.host_);
    return result;
}

bool balancer_daemon::follows_evacuations() const
{
    return settings_.evacuate_within_.has_value();
}

// Tells the follower of evacuations which data centres have members.
void balancer_daemon::note_members(const std::vector<platform_object>& entries)
{
    if (follows_evacuations())
    {
        evacuations_.add_known_data_centres(data_centres_of(entries));
    }
}

kj::Promise<void> balancer_daemon::follow_members()
{
    const freshness fresh =
        members_read_ ? freshness::allow_stale : freshness::current;
    // Lists count as complete only if they are read after the own entry was
    // written: if two members start at the same time, at least one of them then
    // sees the entry of the other.
    const bool registered = registration_.is_written();
    return store_.read_collection(platform_adapter::agents_collection, fresh)
        .then(
            [this, fresh, registered](tl::expected<object_page, error>&& agents)
            {
                balancer_commands commands;
                if (agents)
                {
                    commands.agents_ = hosts_of(agents->objects_);
                    note_members(agents->objects_);
                }
                const bool agents_read = agents.has_value();
                return store_
                    .read_collection(platform_adapter::balancers_collection,
                                     fresh)
                    .then(
                        [this, agents_read, registered,
                         commands = std::move(commands)](
                            tl::expected<object_page, error>&& peers) mutable
                        {
                            if (peers)
                            {
                                commands.balancers_ = hosts_of(peers->objects_);
                                balancers_ = commands.balancers_;
                            }
                            commands.complete_ =
                                registered && agents_read && peers.has_value();
                            members_read_ |= commands.complete_;
                            traffic_.commands().post(std::move(commands));
                        });
            })
        .then(
            [this]
            {
                return loop_->timer().afterDelay(
                    to_kj(members_read_ ? members_read_interval
                                        : members_retry_interval));
            })
        .then([this] { return follow_members(); });
}

// Returns the seed's rules, or rules of version zero if it gives none.
kj::Promise<rules_text> balancer_daemon::query_seed(host_address host)
{
    return fetch_members(*loop_, rpc_address(host))
        .then(
            [this](tl::expected<member_lists, error>&& lists)
            {
                if (lists)
                {
                    balancer_commands commands;
                    commands.agents_ = lists->agents_;
                    commands.balancers_ = lists->balancers_;
                    traffic_.commands().post(std::move(commands));
                }
            })
        .then([this, host] { return fetch_rules(*loop_, rpc_address(host)); })
        .then(
            [host](tl::expected<rules_text, error>&& rules) -> rules_text
            {
                if (rules)
                {
                    return std::move(*rules);
                }
                log_event(log_level::info, "seed_query_failed",
                          {{"peer", to_string(host)},
                           {"reason", rules.error().message_}});
                return {};
            });
}

// The first round also starts after the interval, which gives the store time to
// respond.
kj::Promise<void> balancer_daemon::query_seeds()
{
    return loop_->timer()
        .afterDelay(to_kj(seed_query_interval))
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
                kj::Vector<kj::Promise<rules_text>> queries;
                for (const host_address host : settings_.seeds_)
                {
                    if (host != settings_.host_)
                    {
                        queries.add(query_seed(host));
                    }
                }
                return kj::joinPromises(queries.releaseAsArray())
                    .then(
                        [this](kj::Array<rules_text>&& responses) {
                            follower_.apply_newest(
                                {responses.begin(), responses.end()});
                        })
                    .then([this] { return query_seeds(); });
            });
}

kj::Promise<void>
balancer_daemon::wait_until_idle(std::uint64_t segments_before)
{
    return loop_->timer()
        .afterDelay(to_kj(idle_period))
        .then(
            [this, segments_before]() -> kj::Promise<void>
            {
                const std::uint64_t segments =
                    traffic_.status().segments_received_;
                const duration elapsed = std::chrono::duration_cast<duration>(
                    read_monotonic_clock() - leaving_since_);
                const bool idle =
                    segments == segments_before && !removing_entry_;
                if ((idle && elapsed >= min_drain_time) ||
                    elapsed >= settings_.stop_grace_ - grace_reserve)
                {
                    log_event(log_level::info, "stopped", {{"quiet", idle}});
                    return kj::READY_NOW;
                }
                return wait_until_idle(segments);
            });
}

kj::Promise<void> balancer_daemon::drain()
{
    leaving_ = true;
    leaving_since_ = read_monotonic_clock();
    balancer_commands commands;
    commands.leaving_ = true;
    traffic_.commands().post(std::move(commands));
    // The removal runs in the background, because the store may not respond
    // and the drain ends before the grace period does.
    removing_entry_ = true;
    loop_->add_task("remove_entry",
                    registration_.remove(own_entry())
                        .then([this] { removing_entry_ = false; }));
    return wait_until_idle(traffic_.status().segments_received_);
}

} // namespace galenafork
