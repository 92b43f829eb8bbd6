#include "agent_app.h"

#include <galenafork/log.h>

#include <nlohmann/json.hpp>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t span_queue_size = 4096;
constexpr std::size_t mailbox_size = 1024;
constexpr duration join_retry = milliseconds(300);
constexpr duration watch_length = seconds(25);
constexpr duration watch_pause = milliseconds(500);
constexpr duration drain_poll = milliseconds(100);
// Balancers learn of the drain meanwhile; until then their packets come here.
constexpr duration drain_linger = seconds(2);

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
    auto packets = open_udp(config.packets_, false);
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
      random_(std::random_device{}()), spans_(span_queue_size),
      mail_(mailbox_size), loop_(std::move(loop)),
      platform_(config.platform_,
                {loop_->timer(), loop_->io().provider->getNetwork(),
                 read_monotonic_clock,
                 [this] {
                     return std::uniform_real_distribution<double>()(random_);
                 }}),
      membership_(config.service_,
                  {platform_, loop_->timer(), [this] { return draw(); },
                   [this](const roster& r) { worker_.post(r); }}),
      worker_(config, std::move(packets), {*metrics_, spans_, mail_, draw()})
{
    loop_->add_mailbox_handler<control_mail>(mail_, [this](control_mail&& mail)
                                             { take_mail(std::move(mail)); });
    loop_->set_readiness_handler([this] { return read_readiness(); });
    loop_->set_status_handler([this] { return read_status(); });
    loop_->set_drain_handler([this] { return drain(); });
}

agent_app::~agent_app()
{
    worker_.stop();
    if (traffic_.joinable())
    {
        traffic_.join();
    }
}

std::uint64_t agent_app::draw()
{
    return random_();
}

exit_code agent_app::run()
{
    traffic_ = std::thread([this] { worker_.run(); });
    log_event(log_level::info, "started",
              {{"service", config_.service_.value()},
               {"instance", config_.instance_.value()},
               {"packets", to_string(config_.packets_)},
               {"upstream", to_string(config_.upstream_)}});
    rejoin();
    loop_->add_task("watch", keep_watching());
    return loop_->run();
}

kj::Promise<void> agent_app::wait(duration time)
{
    return loop_->timer().afterDelay(to_kj(time));
}

member agent_app::self_as(member_state state) const
{
    member m;
    m.instance_ = config_.instance_;
    m.incarnation_ = incarnation_;
    m.data_centre_ = config_.data_centre_;
    m.packet_endpoint_ = config_.packets_;
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

// Each try is a new life: of an earlier write it may be unknown whether it
// took effect.
kj::Promise<void> agent_app::join()
{
    if (draining_)
    {
        return kj::READY_NOW;
    }
    // Bit 0 stays free: a roster may renew an incarnation to the next one.
    incarnation_ = incarnation((draw() | 2U) & ~std::uint64_t{1});
    return try_to_join();
}

kj::Promise<void> agent_app::try_to_join()
{
    const roster_change change{
        roster_change_kind::join, self_as(member_state::joining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            if (!result)
            {
                log_event(log_level::warning, "join_failed",
                          {{"code", to_string(result.error().code_)},
                           {"reason", result.error().message_}});
                return wait(join_retry).then([this] { return join(); });
            }
            joined_ = true;
            log_event(log_level::info, "joined",
                      {{"epoch", result->roster_.epoch_.value()},
                       {"incarnation", incarnation_.value()}});
            worker_.post(begin_life{{config_.instance_, incarnation_},
                                    result->roster_,
                                    result->sent_});
            return kj::READY_NOW;
        });
}

// A member gets buckets only once it runs and holds its lease: were the answer
// to its joining write lost, nothing would depend on it meanwhile.
void agent_app::start_serving()
{
    serving_ = true;
    loop_->add_task("serve", try_to_serve(incarnation_));
}

kj::Promise<void> agent_app::try_to_serve(incarnation life)
{
    if (!joined_ || draining_ || life != incarnation_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::join, self_as(member_state::serving), {}};
    return membership_
        .change(change, instance_incarnation{config_.instance_, life})
        .then(
            [this, life](const change_result& result) -> kj::Promise<void>
            {
                const bool settled =
                    result || result.error().code_ == error_code::conflict ||
                    result.error().code_ == error_code::refused;
                if (settled)
                {
                    return kj::READY_NOW;
                }
                return wait(join_retry)
                    .then([this, life] { return try_to_serve(life); });
            });
}

// One member of each service watches the platform; the others learn of a new
// epoch from its messages.
kj::Promise<void> agent_app::keep_watching()
{
    auto waiting = joined_ && report_.is_first_
                       ? membership_.watch(watch_length)
                       : kj::Promise<void>(kj::READY_NOW);
    return waiting.then([this] { return wait(watch_pause); })
        .then([this] { return keep_watching(); });
}

void agent_app::take_mail(control_mail mail)
{
    if (const auto* report = std::get_if<agent_report>(&mail))
    {
        report_ = *report;
        const bool renewed =
            report->incarnation_ == next_incarnation(incarnation_);
        incarnation_ = renewed ? report->incarnation_ : incarnation_;
        const bool current = report->incarnation_ == incarnation_;
        if (joined_ && !serving_ && current && report->holds_lease_)
        {
            start_serving();
        }
    }
    else if (std::holds_alternative<fetch_roster>(mail))
    {
        membership_.fetch();
    }
    else if (const auto* removal = std::get_if<request_removal>(&mail))
    {
        remove(removal->lost_member_);
    }
    else if (joined_)
    {
        log_event(log_level::warning, "fenced",
                  {{"incarnation", incarnation_.value()}});
        rejoin();
    }
}

void agent_app::remove(const instance_incarnation& life)
{
    member lost;
    lost.instance_ = life.instance_;
    lost.incarnation_ = life.incarnation_;
    const roster_change change{roster_change_kind::remove, lost, {}};
    loop_->add_task(
        "remove",
        membership_
            .change(change,
                    instance_incarnation{config_.instance_, incarnation_})
            .then(
                [life](const change_result& result)
                {
                    // Another member's removal may have come first.
                    if (result)
                    {
                        log_event(log_level::warning, "member_removed",
                                  {{"instance", life.instance_.value()},
                                   {"epoch", result->roster_.epoch_.value()}});
                    }
                }));
}

kj::Promise<void> agent_app::drain()
{
    draining_ = true;
    log_event(log_level::info, "draining", {});
    const instant deadline = read_monotonic_clock() + config_.drain_time_;
    return begin_drain()
        .then([this] { return wait(drain_linger); })
        .then([this, deadline] { return wait_for_flows(deadline); })
        .then([this] { return leave(); });
}

kj::Promise<void> agent_app::begin_drain()
{
    if (!joined_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::drain, self_as(member_state::draining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            const bool already =
                !result && (result.error().code_ == error_code::conflict ||
                            result.error().code_ == error_code::not_found);
            if (result || already)
            {
                return kj::READY_NOW;
            }
            return wait(join_retry).then([this] { return begin_drain(); });
        });
}

kj::Promise<void> agent_app::wait_for_flows(instant deadline)
{
    if (!joined_ || report_.may_leave_ || read_monotonic_clock() >= deadline)
    {
        return kj::READY_NOW;
    }
    return wait(drain_poll)
        .then([this, deadline] { return wait_for_flows(deadline); });
}

kj::Promise<void> agent_app::leave()
{
    if (!joined_)
    {
        return kj::READY_NOW;
    }
    const roster_change change{
        roster_change_kind::leave, self_as(member_state::draining), {}};
    return membership_.change(change).then(
        [this](change_result result) -> kj::Promise<void>
        {
            const bool settled =
                result || result.error().code_ == error_code::not_found;
            if (settled)
            {
                log_event(log_level::info, "left", {});
                return kj::READY_NOW;
            }
            return wait(join_retry).then([this] { return leave(); });
        });
}

readiness agent_app::read_readiness() const
{
    if (draining_)
    {
        return {false, "draining"};
    }
    if (!joined_)
    {
        return {false, "not a member of the roster yet"};
    }
    if (!report_.holds_lease_)
    {
        return {false, "no lease from a watcher"};
    }
    if (!report_.serving_)
    {
        return {false, "joining"};
    }
    if (report_.open_homes_ < report_.homes_)
    {
        return {false, "directory incomplete"};
    }
    return {true, ""};
}

std::string agent_app::read_status() const
{
    const nlohmann::json status{{"service", config_.service_.value()},
                                {"instance", config_.instance_.value()},
                                {"incarnation", incarnation_.value()},
                                {"epoch", report_.epoch_.value()},
                                {"joined", joined_},
                                {"draining", draining_},
                                {"lease", report_.holds_lease_},
                                {"flows", report_.flows_},
                                {"homes", report_.homes_},
                                {"open_homes", report_.open_homes_},
                                {"journal_entries", report_.journal_entries_},
                                {"in_flight", report_.in_flight_}};
    return status.dump();
}

} // namespace galenafork
