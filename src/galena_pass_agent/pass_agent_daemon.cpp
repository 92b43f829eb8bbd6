#include "pass_agent_daemon.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <libpassd/report_check.h>
#include <libpassd/upstream_check.h>
#include <platform/store_dialect.h>

namespace galenafork
{

namespace
{

using std::chrono::milliseconds;

// Size of the kernel's buffer for segments of the upstream.
constexpr int upstream_buffer_bytes = 2 * 1024 * 1024;

// Time between two reads of the list of balancers in the store. Balancers send
// hellos to the agents on their lists; the reads find balancers that don't have
// this agent on their list yet.
constexpr duration balancers_read_interval = std::chrono::seconds(8);
constexpr duration balancers_retry_interval = milliseconds(500);

// Time between two checks whether the own entry has been written.
constexpr duration entry_poll_interval = milliseconds(100);

constexpr duration idle_poll_interval = milliseconds(50);

// Minimum time from SIGTERM to exit. Balancers are notified at once, but
// segments that they have already sent may arrive for this time.
constexpr duration min_drain_time = milliseconds(300);

// The drain ends at the latest this long before the platform kills the process.
constexpr duration grace_reserve = milliseconds(1500);

// Requested checks of the upstream that may wait for the control thread.
constexpr std::size_t max_queued_check_requests = 4;

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

// Rejects a request of the upstream whose command the traffic thread can't
// accept. An acknowledged command must take effect; the upstream retries a
// request that was not acknowledged.
http_response reject_command(const char* event, const instance_id& instance)
{
    log_event(log_level::warning, event,
              {{"instance", instance.value()},
               {"reason", "the command queue of the traffic thread is full"}});
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
                  "there is no upstream on this instance: app is missing"});
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
    auto upstream_socket =
        open_udp_v4(settings.from_upstream_, upstream_buffer_bytes);
    if (!upstream_socket)
    {
        return tl::unexpected(upstream_socket.error());
    }
    return std::unique_ptr<pass_agent_daemon>(
        new pass_agent_daemon(settings, std::move(metrics), std::move(*loop),
                              std::move(*io), std::move(*upstream_socket)));
}

pass_agent_daemon::pass_agent_daemon(
    const platform_adapter::instance_settings& settings,
    std::unique_ptr<metrics_registry> metrics,
    std::unique_ptr<control_loop> loop, packet_io io, unique_fd upstream_socket)
    : settings_(settings), metrics_(std::move(metrics)),
      evacuation_log_(*metrics_), check_requests_(max_queued_check_requests),
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
              pass_agent_settings s;
              s.host_ = settings.host_;
              s.data_centre_ = settings.data_centre_;
              s.follows_evacuations_ = settings.evacuate_within_.has_value();
              s.cold_limit_.overage_ =
                  settings.cold_overage_.value_or(s.cold_limit_.overage_);
              s.cold_limit_.slack_ =
                  settings.cold_slack_.value_or(s.cold_limit_.slack_);
              s.flow_lifetime_ = settings.flow_lifetime_;
              return s;
          }(),
          std::move(io), std::move(upstream_socket), log_,
          evacuation_log_.changes(), check_requests_, *metrics_),
      registration_(store_, loop_->timer(), [this] { return random_bits(); },
                    {}),
      reports_(metrics_->add_counter("galena_upstream_reports_total",
                                     "Reports received from the upstream.")),
      bad_reports_(metrics_->add_counter(
          "galena_upstream_reports_unreadable_total",
          "Reports that were malformed or of another upstream.")),
      checks_(metrics_->add_counter(
          "galena_upstream_checks_total",
          "Checks whether the upstream's process is running.")),
      absences_(metrics_->add_counter(
          "galena_upstream_absences_total",
          "Checks whose connection the upstream's address refused."))
{
    loop_->set_http_handler([this](const http_request& request)
                            { return handle_request(request); });
    loop_->set_readiness_handler([] { return readiness{true, ""}; });
    loop_->set_drain_handler([this] { return drain(); });
    loop_->add_mailbox_handler<evacuation_change>(
        evacuation_log_.changes(),
        [this](evacuation_change&& change) { evacuation_log_.write(change); });
    loop_->run_every(log_flush_interval, [this] { log_.flush(); });
    store_.set_era_handler(
        [this](store_era era)
        {
            log_event(log_level::warning, "store_era_changed",
                      {{"era", era.value()}});
            registration_.recheck();
            balancers_read_ = false;
        });
    loop_->add_mailbox_handler<upstream_check_request>(
        check_requests_,
        [this](upstream_check_request&& request) {
            loop_->add_task("check_upstream", check_upstream_process(request));
        });
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

std::uint64_t pass_agent_daemon::random_bits()
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
    loop_->add_task("read_own_entry", read_own_entry());
    return loop_->run();
}

http_response pass_agent_daemon::handle_request(const http_request& request)
{
    const platform_adapter::parsed_call parsed =
        platform_adapter::parse_call(request);
    switch (parsed.kind_)
    {
    case platform_adapter::instance_call::readiness_check:
        return {status_ok, ""};
    case platform_adapter::instance_call::report:
        return handle_report_request(parsed.instance_, request.body_);
    case platform_adapter::instance_call::deregistration:
        return handle_deregistration_request(parsed.instance_);
    case platform_adapter::instance_call::unknown:
        break;
    }
    return {status_not_found, ""};
}

http_response
pass_agent_daemon::handle_report_request(const instance_id& instance,
                                         const std::string& body)
{
    reports_.add();
    const start_time_ms now = wall_clock_now();
    auto report =
        platform_adapter::parse_report(instance, body)
            .and_then([&](const upstream_report& parsed)
                      { return check_report(parsed, settings_, now); });
    if (!report)
    {
        bad_reports_.add();
        log_event(log_level::warning, "report_rejected",
                  {{"instance", instance.value()},
                   {"reason", report.error().message_}});
        return {status_bad_request, ""};
    }
    const std::uint64_t now_ms = now.value();
    const std::uint64_t started_ms = report->started_.value();
    report->started_monotonic_ =
        read_monotonic_clock() -
        milliseconds(now_ms > started_ms ? now_ms - started_ms : 0);
    agent_commands commands;
    commands.report_ = std::move(*report);
    if (!traffic_.commands().post(std::move(commands)))
    {
        return reject_command("report_refused", instance);
    }
    if (!registered_)
    {
        registered_ = true;
        loop_->add_task("maintain_registration",
                        registration_.maintain(own_entry(), own_entry_value()));
    }
    return {status_ok, "{}"};
}

http_response
pass_agent_daemon::handle_deregistration_request(const instance_id& instance)
{
    log_event(log_level::info, "upstream_deregistered",
              {{"instance", instance.value()}});
    agent_commands commands;
    commands.deregistered_ = instance;
    if (!traffic_.commands().post(std::move(commands)))
    {
        return reject_command("deregistration_refused", instance);
    }
    return {status_ok, "{}"};
}

kj::Promise<void> pass_agent_daemon::find_balancers()
{
    if (!registration_.is_written())
    {
        // The list is read only after the own entry is written. If a balancer
        // and an agent start at the same time, at least one then sees the
        // entry of the other.
        return loop_->timer()
            .afterDelay(to_kj(entry_poll_interval))
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
                    log_event(log_level::warning, "balancers_read_failed",
                              {{"reason", page.error().message_}});
                }
                return loop_->timer().afterDelay(to_kj(
                    page ? balancers_read_interval : balancers_retry_interval));
            })
        .then([this] { return find_balancers(); });
}

std::string pass_agent_daemon::own_entry() const
{
    return entry_name(platform_adapter::agents_collection, settings_.host_);
}

std::string pass_agent_daemon::own_entry_value() const
{
    return agent_entry_value(settings_, upstream_accepts_connections_);
}

kj::Promise<void> pass_agent_daemon::read_own_entry()
{
    return store_.get(own_entry())
        .then(
            [this](tl::expected<platform_object, error>&& entry)
                -> kj::Promise<void>
            {
                if (entry && accepts_connections(*entry))
                {
                    note_connection_accepted();
                }
                if (entry || entry.error().code_ == error_code::not_found ||
                    upstream_accepts_connections_)
                {
                    return kj::READY_NOW;
                }
                return loop_->timer()
                    .afterDelay(to_kj(balancers_retry_interval))
                    .then([this] { return read_own_entry(); });
            });
}

void pass_agent_daemon::note_connection_accepted()
{
    if (upstream_accepts_connections_)
    {
        return;
    }
    upstream_accepts_connections_ = true;
    registration_.set_value(own_entry_value());
    agent_commands commands;
    commands.upstream_accepts_connections_ = true;
    traffic_.commands().post(std::move(commands));
}

kj::Promise<void>
pass_agent_daemon::check_upstream_process(upstream_check_request request)
{
    checks_.add();
    const instant checked_at = read_monotonic_clock();
    return check_upstream(loop_->io().provider->getNetwork(), loop_->timer(),
                          settings_.upstream_, upstream_check_timeout)
        .then(
            [this, request, checked_at](upstream_presence presence)
            {
                if (presence == upstream_presence::absent)
                {
                    absences_.add();
                }
                // An address that never accepts a connection is checked
                // periodically, so only changes are logged.
                if (request.reason_ != upstream_check_reason::unproven ||
                    presence != last_presence_)
                {
                    const duration took = std::chrono::duration_cast<duration>(
                        read_monotonic_clock() - checked_at);
                    log_event(log_level::info, "upstream_check",
                              {{"outcome", to_string(presence)},
                               {"reason", to_string(request.reason_)},
                               {"age_us", request.age_.count()},
                               {"took_us", took.count()}});
                }
                last_presence_ = presence;
                if (presence == upstream_presence::present)
                {
                    note_connection_accepted();
                }
                agent_commands commands;
                commands.check_ = upstream_check_result{presence, checked_at};
                if (traffic_.commands().post(std::move(commands)))
                {
                    ++checks_posted_;
                }
            });
}

void pass_agent_daemon::remove_entry_if_gone()
{
    if (entry_removal_started_ || !traffic_.status().upstream_gone_)
    {
        return;
    }
    // The removal runs in the background, because the store may not respond
    // and the drain ends before the grace period does.
    entry_removal_started_ = true;
    removing_entry_ = true;
    loop_->add_task("remove_entry",
                    registration_.remove(own_entry())
                        .then([this] { removing_entry_ = false; }));
}

bool pass_agent_daemon::is_drain_pending() const
{
    return removing_entry_ || final_check_running_ ||
           traffic_.status().checks_handled_ != checks_posted_;
}

kj::Promise<void> pass_agent_daemon::wait_until_idle()
{
    return loop_->timer()
        .afterDelay(to_kj(idle_poll_interval))
        .then(
            [this]() -> kj::Promise<void>
            {
                const duration elapsed = std::chrono::duration_cast<duration>(
                    read_monotonic_clock() - leaving_since_);
                const bool checks_ended = !is_drain_pending();
                remove_entry_if_gone();
                const bool idle =
                    traffic_.status().idle_ && checks_ended && !removing_entry_;
                if ((idle && elapsed >= min_drain_time) ||
                    elapsed >= settings_.stop_grace_ - grace_reserve)
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
    remove_entry_if_gone();
    // An upstream that has crashed sends no deregistration. An agent that has
    // had no report since its start may have an entry of its predecessor.
    final_check_running_ = true;
    loop_->add_task("check_upstream",
                    check_upstream_process({upstream_check_reason::leaving})
                        .then([this] { final_check_running_ = false; }));
    return wait_until_idle();
}

} // namespace galenafork
