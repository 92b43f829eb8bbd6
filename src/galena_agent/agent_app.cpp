#include "agent_app.h"

#include <galenafork/log.h>

#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t span_queue_capacity = 4096;
constexpr std::size_t mailbox_capacity = 1024;
constexpr duration roster_retry_delay = milliseconds(300);
constexpr duration watch_duration = seconds(25);
constexpr duration pause_between_watches = milliseconds(500);
constexpr duration drain_poll_interval = milliseconds(100);
// Time in which balancers receive the roster that marks this agent draining;
// until then they still send packets of new flows here.
constexpr duration drain_propagation_time = seconds(2);

kj::Duration to_kj(duration d)
{
    return d.count() * kj::MICROSECONDS;
}

} // namespace

tl::expected<std::unique_ptr<agent_app>, error>
agent_app::open(const agent_config& config)
{
    auto metrics = std::make_unique<metrics_registry>();
    auto loop = control_loop::open(config.control_, *metrics);
    if (!loop)
    {
        return tl::unexpected(loop.error());
    }
    auto packets = open_udp(config.packet_endpoint_, false);
    if (!packets)
    {
        return tl::unexpected(packets.error());
    }
    std::unique_ptr<agent_app> app(new agent_app(
        config, std::move(metrics), std::move(*loop), std::move(*packets)));
    auto exported = app->loop_->export_spans(
        app->spans_, config.traces_, "galena-agent", config.instance_.value());
    if (!exported)
    {
        return tl::unexpected(exported.error());
    }
    return app;
}

agent_app::agent_app(const agent_config& config,
                     std::unique_ptr<metrics_registry> metrics,
                     std::unique_ptr<control_loop> loop, unique_fd packets)
    : config_(config), metrics_(std::move(metrics)),
      random_(std::random_device{}()), spans_(span_queue_capacity),
      control_messages_(mailbox_capacity), loop_(std::move(loop)),
      platform_(config.platform_,
                {loop_->timer(), loop_->io().provider->getNetwork(),
                 read_monotonic_clock,
                 [this] {
                     return std::uniform_real_distribution<double>()(random_);
                 }}),
      membership_(config.service_,
                  {platform_, loop_->timer(), [this] { return next_random(); },
                   [this](const roster& r) { worker_.post(r); }}),
      worker_(config, std::move(packets),
              {*metrics_, spans_, control_messages_, next_random()})
{
    loop_->add_mailbox_handler<control_message>(
        control_messages_, [this](control_message&& message)
        { handle_message(std::move(message)); });
    loop_->set_readiness_handler([this] { return check_readiness(); });
    loop_->set_status_handler([this] { return status(); });
    loop_->set_drain_handler([this] { return drain(); });
}

agent_app::~agent_app()
{
    worker_.stop();
    if (traffic_thread_.joinable())
    {
        traffic_thread_.join();
    }
}

std::uint64_t agent_app::next_random()
{
    return random_();
}

exit_code agent_app::run()
{
    traffic_thread_ = std::thread([this] { worker_.run(); });
    log_event(log_level::info, "started",
              {{"service", config_.service_.value()},
               {"instance", config_.instance_.value()},
               {"packets", to_string(config_.packet_endpoint_)},
               {"upstream", to_string(config_.upstream_)}});
    rejoin();
    loop_->add_task("watch", watch_roster());
    return loop_->run();
}

kj::Promise<void> agent_app::wait(duration time)
{
    return loop_->timer().afterDelay(to_kj(time));
}

member agent_app::own_member(member_state state) const
{
    member m;
    m.instance_ = config_.instance_;
    m.incarnation_ = incarnation_;
    m.data_centre_ = config_.data_centre_;
    m.packet_endpoint_ = config_.packet_endpoint_;
    m.control_endpoint_ = config_.control_.rpc_;
    m.slots_ = config_.slots_;
    m.state_ = state;
    return m;
}

void agent_app::rejoin()
{
    joined_ = false;
    serving_ = false;
    loop_->add_task("join", join());
}

// Each attempt uses a new incarnation, since it may be unknown whether an
// earlier write took effect.
kj::Promise<void> agent_app::join()
{
    if (draining_)
    {
        return kj::READY_NOW;
    }
    // Bit 0 is clear because a roster may renew an incarnation to the next
    // number. Bit 1 is set so that the incarnation is not zero.
    incarnation_ = incarnation((next_random() | 2U) & ~std::uint64_t{1});
    return try_to_join();
}

kj::Promise<void> agent_app::try_to_join()
{
    const roster_change change{
        roster_change_kind::join, own_member(member_state::joining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            if (!result)
            {
                log_event(log_level::warning, "join_failed",
                          {{"code", to_string(result.error().code_)},
                           {"reason", result.error().message_}});
                return wait(roster_retry_delay).then([this] { return join(); });
            }
            joined_ = true;
            log_event(log_level::info, "joined",
                      {{"epoch", result->roster_.epoch_.value()},
                       {"incarnation", incarnation_.value()}});
            worker_.post(start_incarnation{{config_.instance_, incarnation_},
                                           result->roster_,
                                           result->sent_at_});
            return kj::READY_NOW;
        });
}

// A member gets buckets only after its traffic thread holds the lease. A join
// whose answer is lost therefore leaves a member without buckets behind, and no
// flow depends on it.
void agent_app::start_serving()
{
    serving_ = true;
    loop_->add_task("serve", try_to_serve(incarnation_));
}

kj::Promise<void> agent_app::try_to_serve(incarnation joined_incarnation)
{
    if (!joined_ || draining_ || joined_incarnation != incarnation_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::join, own_member(member_state::serving), {}};
    return membership_
        .change(change,
                instance_incarnation{config_.instance_, joined_incarnation})
        .then(
            [this, joined_incarnation](
                const change_result& result) -> kj::Promise<void>
            {
                const bool done =
                    result || result.error().code_ == error_code::conflict ||
                    result.error().code_ == error_code::refused;
                if (done)
                {
                    return kj::READY_NOW;
                }
                return wait(roster_retry_delay)
                    .then([this, joined_incarnation]
                          { return try_to_serve(joined_incarnation); });
            });
}

// One member of each service watches the roster in the platform; its messages
// notify the others of a new epoch.
kj::Promise<void> agent_app::watch_roster()
{
    auto watch = joined_ && status_.follows_platform_
                     ? membership_.watch(watch_duration)
                     : kj::Promise<void>(kj::READY_NOW);
    return watch.then([this] { return wait(pause_between_watches); })
        .then([this] { return watch_roster(); });
}

void agent_app::handle_message(control_message message)
{
    if (const auto* status = std::get_if<agent_status>(&message))
    {
        status_ = *status;
        const bool renewed =
            status->incarnation_ == next_incarnation(incarnation_);
        incarnation_ = renewed ? status->incarnation_ : incarnation_;
        const bool current = status->incarnation_ == incarnation_;
        if (joined_ && !serving_ && current && status->holds_lease_)
        {
            start_serving();
        }
    }
    else if (std::holds_alternative<fetch_roster>(message))
    {
        membership_.fetch();
    }
    else if (const auto* removal = std::get_if<request_removal>(&message))
    {
        remove_member(removal->lost_member_);
    }
    else if (joined_)
    {
        log_event(log_level::warning, "fenced",
                  {{"incarnation", incarnation_.value()}});
        rejoin();
    }
}

void agent_app::remove_member(const instance_incarnation& lost_member)
{
    member removed;
    removed.instance_ = lost_member.instance_;
    removed.incarnation_ = lost_member.incarnation_;
    const roster_change change{roster_change_kind::remove, removed, {}};
    loop_->add_task(
        "remove",
        membership_
            .change(change,
                    instance_incarnation{config_.instance_, incarnation_})
            .then(
                [lost_member](const change_result& result)
                {
                    // Fails if another member has already removed it.
                    if (result)
                    {
                        log_event(log_level::warning, "member_removed",
                                  {{"instance", lost_member.instance_.value()},
                                   {"epoch", result->roster_.epoch_.value()}});
                    }
                }));
}

kj::Promise<void> agent_app::drain()
{
    draining_ = true;
    log_event(log_level::info, "draining", {});
    const instant deadline = read_monotonic_clock() + config_.drain_time_;
    return mark_draining()
        .then([this] { return wait(drain_propagation_time); })
        .then([this, deadline] { return wait_for_flows(deadline); })
        .then([this] { return leave(); });
}

kj::Promise<void> agent_app::mark_draining()
{
    if (!joined_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::drain, own_member(member_state::draining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            const bool not_needed =
                !result && (result.error().code_ == error_code::conflict ||
                            result.error().code_ == error_code::not_found);
            if (result || not_needed)
            {
                return kj::READY_NOW;
            }
            return wait(roster_retry_delay)
                .then([this] { return mark_draining(); });
        });
}

kj::Promise<void> agent_app::wait_for_flows(instant deadline)
{
    if (!joined_ || status_.may_leave_ || read_monotonic_clock() >= deadline)
    {
        return kj::READY_NOW;
    }
    return wait(drain_poll_interval)
        .then([this, deadline] { return wait_for_flows(deadline); });
}

kj::Promise<void> agent_app::leave()
{
    if (!joined_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::leave, own_member(member_state::draining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            const bool done =
                result || result.error().code_ == error_code::not_found;
            if (done)
            {
                log_event(log_level::info, "left", {});
                return kj::READY_NOW;
            }
            return wait(roster_retry_delay).then([this] { return leave(); });
        });
}

readiness agent_app::check_readiness() const
{
    if (draining_)
    {
        return {false, "draining"};
    }
    if (!joined_)
    {
        return {false, "not yet a member of the roster"};
    }
    if (!status_.holds_lease_)
    {
        return {false, "this agent holds no lease"};
    }
    if (!status_.serving_)
    {
        return {false, "not yet serving in the roster"};
    }
    if (status_.open_homes_ < status_.homes_)
    {
        return {false, "the directory of a home bucket is incomplete"};
    }
    return {true, ""};
}

std::string agent_app::status() const
{
    const nlohmann::json json{{"service", config_.service_.value()},
                              {"instance", config_.instance_.value()},
                              {"incarnation", incarnation_.value()},
                              {"epoch", status_.epoch_.value()},
                              {"joined", joined_},
                              {"draining", draining_},
                              {"lease", status_.holds_lease_},
                              {"flows", status_.flows_},
                              {"homes", status_.homes_},
                              {"open_homes", status_.open_homes_},
                              {"journal_entries", status_.journal_entries_},
                              {"in_flight", status_.in_flight_}};
    return json.dump();
}

} // namespace galenafork
