#include <common/event_loop.h>

#include <array>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <system_error>
#include <unistd.h>

namespace galenafork::standin
{

namespace
{

constexpr int max_wait_ms = 1000;
constexpr std::size_t max_events_per_wait = 64;

// Returns the result of a system call; throws `std::system_error` if the call
// has failed.
int checked(int call_result, const char* call)
{
    if (call_result < 0)
    {
        throw std::system_error(errno, std::generic_category(), call);
    }
    return call_result;
}

} // namespace

event_loop::event_loop()
    : epoll_descriptor_(
          checked(::epoll_create1(EPOLL_CLOEXEC), "epoll_create1")),
      signal_descriptor_(-1)
{
    sigemptyset(&signals_);
    signal_descriptor_ =
        checked(::signalfd(-1, &signals_, SFD_NONBLOCK | SFD_CLOEXEC), //
                "signalfd");
    watch(signal_descriptor_, [this] { read_signals(); });
}

event_loop::~event_loop()
{
    ::close(signal_descriptor_);
    ::close(epoll_descriptor_);
}

void event_loop::watch(int descriptor, handler on_readable)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    checked(::epoll_ctl(epoll_descriptor_, EPOLL_CTL_ADD, descriptor, &event),
            "epoll_ctl");
    read_handlers_[descriptor] = std::move(on_readable);
}

void event_loop::unwatch(int descriptor)
{
    ::epoll_ctl(epoll_descriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
    read_handlers_.erase(descriptor);
}

void event_loop::at(instant when, handler action)
{
    timers_.emplace(when, std::move(action));
}

void event_loop::after(duration delay, handler action)
{
    at(read_monotonic_clock() + delay, std::move(action));
}

void event_loop::run_every(duration period, const handler& action)
{
    after(period,
          [this, period, action]
          {
              action();
              run_every(period, action);
          });
}

void event_loop::on_signal(int signal, handler action)
{
    sigaddset(&signals_, signal);
    ::sigprocmask(SIG_BLOCK, &signals_, nullptr);
    checked(::signalfd(signal_descriptor_, &signals_, 0), "signalfd");
    signal_handlers_[signal] = std::move(action);
}

void event_loop::run()
{
    while (running_)
    {
        run_due_timers();
        wait_for_events();
    }
}

void event_loop::run_due_timers()
{
    const instant now = read_monotonic_clock();
    while (running_ && !timers_.empty() && timers_.begin()->first <= now)
    {
        // The timer is removed before its handler runs, because the handler
        // may add timers.
        const auto due = timers_.extract(timers_.begin());
        due.mapped()();
    }
}

void event_loop::wait_for_events()
{
    if (!running_)
    {
        return;
    }
    std::array<epoll_event, max_events_per_wait> events{};
    const int count = ::epoll_wait(epoll_descriptor_, events.data(),
                                   static_cast<int>(events.size()),
                                   milliseconds_to_next_timer());
    for (int i = 0; i < count; ++i)
    {
        const auto reader =
            read_handlers_.find(events.at(static_cast<std::size_t>(i)).data.fd);
        if (reader != read_handlers_.end())
        {
            // The handler is copied because it may remove its own watch.
            const handler on_readable = reader->second;
            on_readable();
        }
    }
}

void event_loop::read_signals()
{
    signalfd_siginfo info{};
    while (::read(signal_descriptor_, &info, sizeof(info)) == sizeof(info))
    {
        const auto action =
            signal_handlers_.find(static_cast<int>(info.ssi_signo));
        if (action != signal_handlers_.end())
        {
            action->second();
        }
    }
}

int event_loop::milliseconds_to_next_timer() const
{
    if (timers_.empty())
    {
        return max_wait_ms;
    }
    const auto remaining = std::chrono::ceil<std::chrono::milliseconds>(
        timers_.begin()->first - read_monotonic_clock());
    if (remaining.count() <= 0)
    {
        return 0;
    }
    return static_cast<int>(
        std::min<std::int64_t>(remaining.count(), max_wait_ms));
}

} // namespace galenafork::standin
