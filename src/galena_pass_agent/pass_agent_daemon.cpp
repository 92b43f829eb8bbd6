#include "pass_agent_daemon.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <platform/store_dialect.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;

// Bytes of the upstream's segments that wait unread.
constexpr int upstream_buffer_bytes = 2 * 1024 * 1024;

// Balancers say hello to agents that they know; the list finds those that do
// not know this one yet.
constexpr duration balancers_interval = std::chrono::seconds(8);
constexpr duration balancers_retry = milliseconds(500);

// Between two looks whether the own entry is written.
constexpr duration entry_poll = milliseconds(100);

constexpr duration idle_poll = milliseconds(50);

// Balancers learn at once that the agent leaves; their last segments are on
// the way for this time.
constexpr duration least_drain = milliseconds(300);

// Left of the platform's grace when the process ends by itself.
constexpr duration grace_reserve = milliseconds(1500);

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

start_time_ms wall_clock_now()
{
    const auto since_epoch =
        std::chrono::system_clock::now().time_since_epoch();
    return start_time_ms(static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count()));
}

// What is acknowledged must come into force; an upstream without an
// acknowledgement asks again.
http_response refuse_order(const char* event, const instance_id& instance)
{
    log_event(log_level::warning, event,
              {{"instance", instance.value()},
               {"reason", "traffic thread is behind"}});
    return {status_unavailable, ""};
}

} // namespace

tl::expected<std::unique_ptr<pass_agent_daemon>, error>
pass_agent_daemon::open(const platform_adapter::instance_settings& settings)
{
    if (settings.upstream_.port_ == 0)
    {
        return tl::unexpected(
            error{error_code::bad_setting,
                  "there is no upstream on this instance (app is missing)"});
    }
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
    auto from_upstream =
        open_udp_v4(settings.from_upstream_, upstream_buffer_bytes);
    if (!from_upstream)
    {
        return tl::unexpected(from_upstream.error());
    }
    return std::unique_ptr<pass_agent_daemon>(
        new pass_agent_daemon(settings, std::move(metrics), std::move(*loop),
                              std::move(*io), std::move(*from_upstream)));
}

pass_agent_daemon::pass_agent_daemon(
    const platform_adapter::instance_settings& settings,
    std::unique_ptr<metrics_registry> metrics,
    std::unique_ptr<control_loop> loop, packet_io io, unique_fd from_upstream)
    : settings_(settings), metrics_(std::move(metrics)), loop_(std::move(loop)),
      random_(std::random_device{}()), log_({}, *metrics_),
      store_(store_settings(settings),
             {loop_->timer(), loop_->io().provider->getNetwork(),
              read_monotonic_clock,
              [this]
              { return std::uniform_real_distribution<double>()(random_); }},
             platform_adapter::store_dialect()),
      traffic_(
          [&]
          {
              pass_agent_settings s;
              s.host_ = settings.host_;
              s.process_started_ = wall_clock_now();
              return s;
          }(),
          std::move(io), std::move(from_upstream), log_, *metrics_),
      entry_(store_, loop_->timer(), [this] { return draw(); }, {}),
      reports_(metrics_->add_counter("galena_upstream_reports_total",
                                     "Reports of the upstream.")),
      bad_reports_(
          metrics_->add_counter("galena_upstream_reports_unreadable_total",
                                "Reports that could not be read."))
{
    loop_->set_http_handler([this](const http_request& call)
                            { return answer(call); });
    loop_->set_readiness_handler([] { return readiness{true, ""}; });
    loop_->set_drain_handler([this] { return drain(); });
    loop_->run_every(log_flush_interval, [this] { log_.flush(); });
}

pass_agent_daemon::~pass_agent_daemon()
{
    traffic_.stop();
    if (thread_.joinable())
    {
        thread_.join();
    }
    log_.flush();
}

std::uint64_t pass_agent_daemon::draw()
{
    return random_();
}

exit_code pass_agent_daemon::run()
{
    thread_ = std::thread([this] { traffic_.run(); });
    log_event(log_level::info, "started",
              {{"instance", settings_.name_},
               {"host", to_string(settings_.host_)},
               {"service", settings_.service_.value()},
               {"upstream", to_string(settings_.upstream_)}});
    loop_->add_task("find_balancers", find_balancers());
    return loop_->run();
}

http_response pass_agent_daemon::answer(const http_request& call)
{
    const platform_adapter::parsed_call parsed =
        platform_adapter::parse_call(call);
    switch (parsed.kind_)
    {
    case platform_adapter::instance_call::readiness_check:
        return {status_ok, ""};
    case platform_adapter::instance_call::report:
        return take_report_call(parsed.instance_, call.body_);
    case platform_adapter::instance_call::deregistration:
        return take_goodbye_call(parsed.instance_);
    case platform_adapter::instance_call::unknown:
        break;
    }
    return {status_not_found, ""};
}

http_response pass_agent_daemon::take_report_call(const instance_id& instance,
                                                  const std::string& body)
{
    reports_.add();
    auto report = platform_adapter::parse_report(instance, body);
    if (report && report->address_ != settings_.upstream_)
    {
        report = tl::unexpected(
            error{error_code::bad_message, "report of another upstream: " +
                                               to_string(report->address_)});
    }
    if (!report)
    {
        bad_reports_.add();
        log_event(log_level::warning, "report_unreadable",
                  {{"instance", instance.value()},
                   {"reason", report.error().message_}});
        return {status_bad_request, ""};
    }
    const std::uint64_t now_ms = wall_clock_now().value();
    const std::uint64_t started_ms = report->started_.value();
    report->started_monotonic_ =
        read_monotonic_clock() -
        milliseconds(now_ms > started_ms ? now_ms - started_ms : 0);
    agent_commands commands;
    commands.report_ = std::move(*report);
    if (!traffic_.commands().post(std::move(commands)))
    {
        return refuse_order("report_refused", instance);
    }
    if (!registered_)
    {
        registered_ = true;
        loop_->add_task(
            "keep_entry",
            entry_.maintain(entry_name(platform_adapter::agents_collection,
                                       settings_.host_),
                            entry_value(settings_)));
    }
    return {status_ok, "{}"};
}

http_response pass_agent_daemon::take_goodbye_call(const instance_id& instance)
{
    log_event(log_level::info, "upstream_goodbye",
              {{"instance", instance.value()}});
    agent_commands commands;
    commands.deregistered_ = instance;
    if (!traffic_.commands().post(std::move(commands)))
    {
        return refuse_order("goodbye_refused", instance);
    }
    upstream_gone_ = true;
    return {status_ok, "{}"};
}

kj::Promise<void> pass_agent_daemon::find_balancers()
{
    if (!entry_.is_written())
    {
        // Read only after writing: of a balancer and an agent that start
        // together at least one sees the other.
        return loop_->timer()
            .afterDelay(to_kj(entry_poll))
            .then([this] { return find_balancers(); });
    }
    const freshness fresh =
        balancers_read_ ? freshness::allow_stale : freshness::current;
    return store_.read_collection(platform_adapter::balancers_collection, fresh)
        .then(
            [this](tl::expected<object_page, error>&& page)
            {
                if (page)
                {
                    balancers_read_ = true;
                    agent_commands commands;
                    commands.balancers_ = hosts_of(page->objects_);
                    traffic_.commands().post(std::move(commands));
                }
                else
                {
                    log_event(log_level::warning, "balancers_unread",
                              {{"reason", page.error().message_}});
                }
                return loop_->timer().afterDelay(
                    to_kj(page ? balancers_interval : balancers_retry));
            })
        .then([this] { return find_balancers(); });
}

kj::Promise<void> pass_agent_daemon::wait_until_idle()
{
    return loop_->timer()
        .afterDelay(to_kj(idle_poll))
        .then(
            [this]() -> kj::Promise<void>
            {
                const duration passed = std::chrono::duration_cast<duration>(
                    read_monotonic_clock() - leaving_since_);
                const bool idle = traffic_.status().idle_ && !removing_entry_;
                if ((idle && passed >= least_drain) ||
                    passed >= settings_.stop_grace_ - grace_reserve)
                {
                    log_event(log_level::info, "stopped", {{"idle", idle}});
                    return kj::READY_NOW;
                }
                return wait_until_idle();
            });
}

kj::Promise<void> pass_agent_daemon::drain()
{
    leaving_since_ = read_monotonic_clock();
    agent_commands commands;
    commands.shut_down_ = true;
    traffic_.commands().post(std::move(commands));
    if (upstream_gone_ && registered_)
    {
        // Beside the wait, which ends with the grace: the store may not answer.
        removing_entry_ = true;
        loop_->add_task(
            "remove_entry",
            entry_.remove().then([this] { removing_entry_ = false; }));
    }
    return wait_until_idle();
}

} // namespace galenafork
