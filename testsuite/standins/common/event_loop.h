/// \file
/// The event loop of a stand-in: sockets, timers and signals on one thread.

#ifndef GALENAFORK_STANDINS_EVENT_LOOP_H
#define GALENAFORK_STANDINS_EVENT_LOOP_H

#include <galenafork/time.h>

#include <csignal>
#include <functional>
#include <map>
#include <unordered_map>

namespace galenafork::standin
{

/// Calls handlers for readable descriptors, due timers and signals.
class event_loop
{
public:
    using handler = std::function<void()>;

    /// Throws `std::system_error` if a descriptor can't be opened.
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Calls `on_readable` whenever `descriptor` is readable.
    void watch(int descriptor, handler on_readable);

    /// Stops watching `descriptor`. Must be called before it is closed.
    void unwatch(int descriptor);

    /// Calls `action` once at `when`.
    void at(instant when, handler action);

    /// Calls `action` once after `delay`.
    void after(duration delay, handler action);

    /// Calls `action` after `period`, then again `period` after each call.
    void run_every(duration period, const handler& action);

    /// Calls `action` when the process receives `signal`.
    void on_signal(int signal, handler action);

    /// Handles events until `stop` is called.
    void run();

    /// Makes `run` return. Descriptors that the last poll found readable are
    /// still handled, due timers are not.
    void stop()
    {
        running_ = false;
    }

private:
    void run_due_timers();
    void wait_for_events();
    void read_signals();
    int milliseconds_to_next_timer() const;

    int epoll_descriptor_;
    int signal_descriptor_;
    sigset_t signals_{};
    std::unordered_map<int, handler> read_handlers_;
    std::multimap<instant, handler> timers_;
    std::map<int, handler> signal_handlers_;
    bool running_ = true;
};

} // namespace galenafork::standin

#endif
