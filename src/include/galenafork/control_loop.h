/// \file
/// The control thread of a daemon: a kj event loop with health, metrics and
/// status over HTTP, a Cap'n Proto RPC server, timers, signals and the mail
/// from the traffic threads.

#ifndef GALENAFORK_CONTROL_LOOP_H
#define GALENAFORK_CONTROL_LOOP_H

#include <galenafork/endpoint.h>
#include <galenafork/error.h>
#include <galenafork/mailbox.h>
#include <galenafork/metrics.h>
#include <galenafork/program_options.h>
#include <galenafork/time.h>
#include <galenafork/trace_export.h>

#include <capnp/capability.h>
#include <functional>
#include <kj/async-io.h>
#include <kj/timer.h>
#include <memory>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// Whether a daemon should get traffic.
struct readiness
{
    bool ready_ = false;
    /// Why not, for a person; empty when ready.
    std::string reason_;
};

/// Where a daemon answers operators and its peers.
struct control_addresses
{
    /// HTTP: `/healthz`, `/readyz`, `/metrics`, `/status`.
    endpoint http_;
    /// Cap'n Proto RPC.
    endpoint rpc_;
    /// Further addresses for HTTP, which answer the same.
    std::vector<endpoint> additional_http_ = {};
};

/// An HTTP request as a daemon's own handler sees it.
struct http_request
{
    std::string method_;
    /// Path and query.
    std::string url_;
    std::string body_;
};

/// What a daemon's own handler answers; `body_` is JSON or empty.
struct http_response
{
    unsigned status_ = 200;
    std::string body_;
};

/// Answers a call that the loop does not know itself, or nothing if it is
/// unknown here too.
using http_handler =
    std::function<std::optional<http_response>(const http_request&)>;

/// A call to an RPC server of another daemon, kept open for more calls.
class rpc_connection
{
public:
    /// Wraps the stream of an open TCP connection.
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> stream);
    ~rpc_connection();

    /// The server's first interface.
    capnp::Capability::Client bootstrap();

    /// Resolves when the other side has gone.
    kj::Promise<void> on_disconnect();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Runs the control thread. Open it before any other thread starts, so that
/// signals come to it only; use it from the thread that opened it.
class control_loop
{
public:
    /// Binds both addresses. Fails with `unavailable` if one is taken.
    static tl::expected<std::unique_ptr<control_loop>, error>
    open(const control_addresses& addresses, const metrics_registry& metrics);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Network and timers for the daemon's own asynchronous work.
    kj::AsyncIoContext& io();
    kj::Timer& timer();

    /// What `/readyz` answers; unready until set.
    void set_readiness_handler(std::function<readiness()> read);

    /// The JSON text that `/status` answers.
    void set_status_handler(std::function<std::string()> read);

    /// Answers HTTP requests other than the loop's own.
    void set_http_handler(http_handler handler);

    /// The interface that RPC clients get; call once, before `run`.
    void serve_rpc(capnp::Capability::Client bootstrap);

    /// Runs on each SIGHUP; without it SIGHUP is ignored.
    void set_reload_handler(std::function<void()> reload);

    /// Runs on the first SIGTERM or SIGINT; `run` returns when the promise
    /// has resolved. A second signal ends the process at once.
    void set_drain_handler(std::function<kj::Promise<void>()> drain);

    /// Calls `act` every `interval`, first after one interval.
    void run_every(duration interval, std::function<void()> act);

    /// Runs a promise in the background; its failure is logged under `name`.
    void add_task(const std::string& name, kj::Promise<void> task);

    /// Calls `act` with each value that is posted to `mail`, which must
    /// outlive the loop.
    template <class T>
    void add_mailbox_handler(mailbox<T>& mail, std::function<void(T&&)> act)
    {
        add_fd_handler(mail.fd(),
                       [&mail, act = std::move(act)]
                       {
                           for (T& value : mail.pop_all())
                           {
                               act(std::move(value));
                           }
                       });
    }

    /// Calls `act` whenever `fd` has turned readable (edge triggered).
    void add_fd_handler(int fd, std::function<void()> act);

    /// Sends the spans of `queue`, which must outlive the loop, where
    /// `settings` say. Fails with `bad_setting` if the file can't be opened.
    tl::expected<void, error> export_spans(span_queue& queue,
                                           const trace_settings& settings,
                                           const std::string& program,
                                           const std::string& instance);

    /// Connects to the RPC server of another daemon. The promise fails when
    /// it can't be reached.
    kj::Promise<std::unique_ptr<rpc_connection>> connect(const endpoint& to);

    /// Ends `run` as the first signal would.
    void stop();

    /// Runs until stopped.
    exit_code run();

private:
    struct state;
    explicit control_loop(std::unique_ptr<state> s);

    std::unique_ptr<state> state_;
};

} // namespace galenafork

#endif
