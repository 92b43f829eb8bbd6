/// \file
/// The control thread of a daemon: a kj event loop that serves health, metrics
/// and status over HTTP, runs a Cap'n Proto RPC server and handles timers,
/// signals and messages from the traffic threads.

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

/// Whether a daemon is ready for traffic.
struct readiness
{
    bool ready_ = false;
    /// Human-readable reason for not being ready; empty when ready.
    std::string reason_;
};

/// Addresses on which a daemon serves operators and its peers.
struct control_addresses
{
    /// Serves HTTP: `/healthz`, `/readyz`, `/metrics`, `/status`.
    endpoint http_;
    /// Serves Cap'n Proto RPC.
    endpoint rpc_;
    /// Further addresses that serve the same HTTP paths.
    std::vector<endpoint> additional_http_ = {};
};

/// An HTTP request that the control loop hands to the daemon's own handler.
struct http_request
{
    std::string method_;
    /// Path and query of the request.
    std::string url_;
    std::string body_;
};

/// Response of a daemon's own handler; `body_` is JSON or empty.
struct http_response
{
    unsigned status_ = 200;
    std::string body_;
};

/// Handles an HTTP request to a path that the control loop does not serve
/// itself. Returns nothing if the daemon does not serve the path either; the
/// client then gets status 404.
using http_handler =
    std::function<std::optional<http_response>(const http_request&)>;

/// A connection to the RPC server of another daemon; carries any number of
/// calls.
class rpc_connection
{
public:
    /// Wraps the stream of an open TCP connection.
    explicit rpc_connection(kj::Own<kj::AsyncIoStream> stream);
    ~rpc_connection();

    /// Returns the bootstrap interface of the server.
    capnp::Capability::Client bootstrap();

    /// Resolves when the connection is closed or broken.
    kj::Promise<void> on_disconnect();

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Event loop of the control thread. Open it before any other thread starts, so
/// that only this thread receives signals, and use it from the thread that
/// opened it.
class control_loop
{
public:
    /// Binds all `addresses`. Fails with `unavailable` if one can't be bound.
    static tl::expected<std::unique_ptr<control_loop>, error>
    open(const control_addresses& addresses, const metrics_registry& metrics);
    ~control_loop();
    control_loop(const control_loop&) = delete;
    control_loop& operator=(const control_loop&) = delete;

    /// Returns the network and timers for the daemon's own asynchronous work.
    kj::AsyncIoContext& io();
    kj::Timer& timer();

    /// Sets the source of the `/readyz` response. Without it the daemon is not
    /// ready.
    void set_readiness_handler(std::function<readiness()> handler);

    /// Sets the source of the JSON text that `/status` returns.
    void set_status_handler(std::function<std::string()> handler);

    /// Sets the handler of HTTP requests to other paths than the loop's own.
    void set_http_handler(http_handler handler);

    /// Starts the RPC server, which offers `bootstrap` to its clients. Call it
    /// once, before `run`.
    void serve_rpc(capnp::Capability::Client bootstrap);

    /// Sets the function that runs on each SIGHUP. Without it SIGHUP is only
    /// logged.
    void set_reload_handler(std::function<void()> reload);

    /// Sets the function that runs on the first SIGTERM or SIGINT or on `stop`.
    /// `run` returns when its promise has resolved or failed; a failure is
    /// logged. A SIGTERM or SIGINT in the meantime ends the process at once.
    void set_drain_handler(std::function<kj::Promise<void>()> drain);

    /// Calls `callback` every `interval`, first after one interval.
    void run_every(duration interval, std::function<void()> callback);

    /// Runs a promise in the background; a failure is logged with `name`.
    void add_task(const std::string& name, kj::Promise<void> task);

    /// Calls `callback` with each value that is posted to `messages`, which
    /// must outlive the loop.
    template <class T>
    void add_mailbox_handler(mailbox<T>& messages,
                             std::function<void(T&&)> callback)
    {
        add_fd_handler(messages.fd(),
                       [&messages, callback = std::move(callback)]
                       {
                           for (T& value : messages.pop_all())
                           {
                               callback(std::move(value));
                           }
                       });
    }

    /// Calls `callback` whenever `fd` becomes readable (edge-triggered).
    void add_fd_handler(int fd, std::function<void()> callback);

    /// Exports the spans of `queue`, which must outlive the loop, to the
    /// destination in `settings`. Fails with `bad_setting` if the file can't
    /// be opened.
    tl::expected<void, error> export_spans(span_queue& queue,
                                           const trace_settings& settings,
                                           const std::string& program,
                                           const std::string& instance);

    /// Connects to the RPC server of another daemon. The promise fails if the
    /// connection can't be established.
    kj::Promise<std::unique_ptr<rpc_connection>> connect(const endpoint& to);

    /// Stops the loop as the first SIGTERM or SIGINT does.
    void stop();

    /// Runs until the loop is stopped and drained, then cancels all background
    /// tasks and returns `success`.
    exit_code run();

private:
    struct state;
    explicit control_loop(std::unique_ptr<state> s);

    std::unique_ptr<state> state_;
};

} // namespace galenafork

#endif
