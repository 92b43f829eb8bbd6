#include <galenafork/control_loop.h>
#include <galenafork/log.h>
#include <libdaemon/http_service.h>
#include <libdaemon/span_exporter.h>

#include <capnp/rpc-twoparty.h>
#include <csignal>
#include <kj/async-unix.h>
#include <kj/compat/http.h>
#include <vector>

namespace galenafork
{

namespace
{

constexpr duration span_flush_interval = std::chrono::milliseconds(200);

kj::Duration to_kj(duration d)
{
    return d.count() * kj::MICROSECONDS;
}

// kj's interfaces have no virtual destructors: kj::Own disposes of an object by
// its actual type.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Logs failures of background tasks.
class failure_log final : public kj::TaskSet::ErrorHandler
{
public:
    // NOLINTNEXTLINE(readability-identifier-naming): overrides kj's function.
    void taskFailed(kj::Exception&& failure) override
    {
        log_event(log_level::warning, "task_failed",
                  {{"reason", failure.getDescription().cStr()}});
    }
};

#pragma GCC diagnostic pop

kj::AsyncIoContext set_up_io()
{
    std::signal(SIGPIPE, SIG_IGN);
    kj::UnixEventPort::captureSignal(SIGTERM);
    kj::UnixEventPort::captureSignal(SIGINT);
    kj::UnixEventPort::captureSignal(SIGHUP);
    return kj::setupAsyncIo();
}

} // namespace

struct control_loop::state
{
    explicit state(const metrics_registry& metrics)
        : io_(set_up_io()), service_(headers_, metrics),
          server_(io_.provider->getTimer(), headers_, service_),
          tasks_(kj::heap<kj::TaskSet>(failure_log_))
    {
        auto pair = kj::newPromiseAndFulfiller<void>();
        stop_promise_ = kj::mv(pair.promise);
        stop_fulfiller_ = kj::mv(pair.fulfiller);
    }

    kj::Own<kj::ConnectionReceiver> listen(const endpoint& at)
    {
        auto& network = io_.provider->getNetwork();
        auto address =
            network.parseAddress(to_string(at).c_str()).wait(io_.waitScope);
        return address->listen();
    }

    void begin_stop()
    {
        if (stopping_)
        {
            return;
        }
        stopping_ = true;
        auto drained = drain_ ? drain_() : kj::Promise<void>(kj::READY_NOW);
        tasks_->add(drained.then([this] { stop_fulfiller_->fulfill(); },
                                 [this](kj::Exception&& failure)
                                 {
                                     failure_log_.taskFailed(kj::mv(failure));
                                     stop_fulfiller_->fulfill();
                                 }));
    }

    void on_signal(int signal_number)
    {
        const char* name = signal_number == SIGTERM ? "SIGTERM" : "SIGINT";
        log_event(log_level::info, "signal",
                  {{"name", name}, {"second", stopping_}});
        if (stopping_)
        {
            ::_exit(static_cast<int>(exit_code::forced));
        }
        begin_stop();
    }

    kj::Promise<void> watch_signal(int signal_number)
    {
        return io_.unixEventPort.onSignal(signal_number)
            .then(
                [this, signal_number](siginfo_t)
                {
                    on_signal(signal_number);
                    return watch_signal(signal_number);
                });
    }

    kj::Promise<void> watch_hangup()
    {
        return io_.unixEventPort.onSignal(SIGHUP).then(
            [this](siginfo_t)
            {
                log_event(log_level::info, "signal",
                          {{"name", "SIGHUP"}, {"reload", bool(reload_)}});
                if (reload_)
                {
                    reload_();
                }
                return watch_hangup();
            });
    }

    kj::Promise<void> run_periodically(kj::Duration interval,
                                       std::function<void()> callback)
    {
        return io_.provider->getTimer().afterDelay(interval).then(
            [this, interval, callback = std::move(callback)]() mutable
            {
                callback();
                return run_periodically(interval, std::move(callback));
            });
    }

    kj::Promise<void> watch_fd(kj::UnixEventPort::FdObserver& observer,
                               std::function<void()> callback)
    {
        return observer.whenBecomesReadable().then(
            [this, &observer, callback = std::move(callback)]() mutable
            {
                callback();
                return watch_fd(observer, std::move(callback));
            });
    }

    kj::AsyncIoContext io_;
    failure_log failure_log_;
    kj::HttpHeaderTable headers_;
    pvt::http_service service_;
    kj::HttpServer server_;
    kj::Promise<void> stop_promise_ = nullptr;
    kj::Own<kj::PromiseFulfiller<void>> stop_fulfiller_;
    bool stopping_ = false;
    std::function<kj::Promise<void>()> drain_;
    std::function<void()> reload_;
    std::vector<kj::Own<kj::UnixEventPort::FdObserver>> observers_;
    std::vector<std::unique_ptr<pvt::span_exporter>> exporters_;
    kj::Own<kj::ConnectionReceiver> http_receiver_;
    std::vector<kj::Own<kj::ConnectionReceiver>> additional_http_receivers_;
    kj::Own<kj::ConnectionReceiver> rpc_receiver_;
    // Declared last and so destroyed first: tasks and RPC calls use the other
    // members.
    std::unique_ptr<capnp::TwoPartyServer> rpc_server_;
    kj::Own<kj::TaskSet> tasks_;
};

control_loop::control_loop(std::unique_ptr<state> s) : state_(std::move(s)) {}

control_loop::~control_loop() = default;

tl::expected<std::unique_ptr<control_loop>, error>
control_loop::open(const control_addresses& addresses,
                   const metrics_registry& metrics)
{
    auto s = std::make_unique<state>(metrics);
    try
    {
        s->http_receiver_ = s->listen(addresses.http_);
        s->rpc_receiver_ = s->listen(addresses.rpc_);
        for (const endpoint& at : addresses.additional_http_)
        {
            s->additional_http_receivers_.push_back(s->listen(at));
        }
    }
    catch (const kj::Exception& failure)
    {
        return tl::unexpected(
            error{error_code::unavailable, failure.getDescription().cStr()});
    }
    s->tasks_->add(s->server_.listenHttp(*s->http_receiver_));
    for (auto& receiver : s->additional_http_receivers_)
    {
        s->tasks_->add(s->server_.listenHttp(*receiver));
    }
    s->tasks_->add(s->watch_hangup());
    s->tasks_->add(s->watch_signal(SIGTERM));
    s->tasks_->add(s->watch_signal(SIGINT));
    return std::unique_ptr<control_loop>(new control_loop(std::move(s)));
}

kj::AsyncIoContext& control_loop::io()
{
    return state_->io_;
}

kj::Timer& control_loop::timer()
{
    return state_->io_.provider->getTimer();
}

void control_loop::set_readiness_handler(std::function<readiness()> handler)
{
    state_->service_.readiness_ = std::move(handler);
}

void control_loop::set_status_handler(std::function<std::string()> handler)
{
    state_->service_.status_ = std::move(handler);
}

void control_loop::set_http_handler(http_handler handler)
{
    state_->service_.handler_ = std::move(handler);
}

void control_loop::set_reload_handler(std::function<void()> reload)
{
    state_->reload_ = std::move(reload);
}

void control_loop::serve_rpc(capnp::Capability::Client bootstrap)
{
    state_->rpc_server_ =
        std::make_unique<capnp::TwoPartyServer>(kj::mv(bootstrap));
    state_->tasks_->add(state_->rpc_server_->listen(*state_->rpc_receiver_));
}

void control_loop::set_drain_handler(std::function<kj::Promise<void>()> drain)
{
    state_->drain_ = std::move(drain);
}

void control_loop::run_every(duration interval, std::function<void()> callback)
{
    state_->tasks_->add(
        state_->run_periodically(to_kj(interval), std::move(callback)));
}

void control_loop::add_task(const std::string& name, kj::Promise<void> task)
{
    state_->tasks_->add(task.catch_(
        [name](kj::Exception&& failure)
        {
            log_event(
                log_level::warning, "task_failed",
                {{"task", name}, {"reason", failure.getDescription().cStr()}});
        }));
}

void control_loop::add_fd_handler(int fd, std::function<void()> callback)
{
    using observer = kj::UnixEventPort::FdObserver;
    auto fd_observer = kj::heap<observer>(state_->io_.unixEventPort, fd,
                                          observer::OBSERVE_READ);
    state_->tasks_->add(state_->watch_fd(*fd_observer, std::move(callback)));
    state_->observers_.push_back(kj::mv(fd_observer));
}

tl::expected<void, error>
control_loop::export_spans(span_queue& queue, const trace_settings& settings,
                           const std::string& program,
                           const std::string& instance)
{
    auto writer = span_writer::open(settings);
    if (!writer)
    {
        return tl::unexpected(writer.error());
    }
    state_->exporters_.push_back(std::make_unique<pvt::span_exporter>(
        queue, std::move(*writer), settings.http_, program, instance,
        state_->headers_, state_->io_));
    pvt::span_exporter& exporter = *state_->exporters_.back();
    run_every(span_flush_interval, [this, &exporter]
              { add_task("export_spans", exporter.flush()); });
    return {};
}

kj::Promise<std::unique_ptr<rpc_connection>>
control_loop::connect(const endpoint& to)
{
    auto& network = state_->io_.provider->getNetwork();
    return network.parseAddress(to_string(to).c_str())
        .then([](kj::Own<kj::NetworkAddress>&& address)
              { return address->connect().attach(kj::mv(address)); })
        .then([](kj::Own<kj::AsyncIoStream>&& stream)
              { return std::make_unique<rpc_connection>(kj::mv(stream)); });
}

void control_loop::stop()
{
    state_->begin_stop();
}

exit_code control_loop::run()
{
    state_->stop_promise_.wait(state_->io_.waitScope);
    // Cancels tasks that refer to objects which the daemon destroys next.
    state_->tasks_ = nullptr;
    return exit_code::success;
}

struct rpc_connection::state
{
    explicit state(kj::Own<kj::AsyncIoStream> stream)
        : stream_(kj::mv(stream)), client_(*stream_)
    {
    }

    kj::Own<kj::AsyncIoStream> stream_;
    capnp::TwoPartyClient client_;
};

rpc_connection::rpc_connection(kj::Own<kj::AsyncIoStream> stream)
    : state_(std::make_unique<state>(kj::mv(stream)))
{
}

rpc_connection::~rpc_connection() = default;

capnp::Capability::Client rpc_connection::bootstrap()
{
    return state_->client_.bootstrap();
}

kj::Promise<void> rpc_connection::on_disconnect()
{
    return state_->client_.onDisconnect();
}

} // namespace galenafork
