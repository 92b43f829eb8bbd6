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

constexpr int longest_wait_ms = 1000;
constexpr std::size_t events_per_wait = 64;

int checked(int descriptor, const char* what)
{
    if (descriptor < 0)
    {
        throw std::system_error(errno, std::generic_category(), what);
    }
    return descriptor;
}

} // namespace

event_loop::event_loop()
    : poll_descriptor_(checked(::epoll_create1(EPOLL_CLOEXEC), "epoll")),
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
    ::close(poll_descriptor_);
}

void event_loop::watch(int descriptor, handler on_readable)
{
    epoll_event event{};
    event.events = EPOLLIN;
    event.data.fd = descriptor;
    checked(::epoll_ctl(poll_descriptor_, EPOLL_CTL_ADD, descriptor, &event),
            "epoll_ctl");
    readers_[descriptor] = std::move(on_readable);
}

void event_loop::unwatch(int descriptor)
{
    ::epoll_ctl(poll_descriptor_, EPOLL_CTL_DEL, descriptor, nullptr);
    readers_.erase(descriptor);
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
        run_timers();
        wait();
    }
}

void event_loop::run_timers()
{
    const instant now = read_monotonic_clock();
    while (running_ && !timers_.empty() && timers_.begin()->first <= now)
    {
        // A handler may add timers, so the due one leaves the map first.
        const auto due = timers_.extract(timers_.begin());
        due.mapped()();
    }
}

void event_loop::wait()
{
    if (!running_)
    {
        return;
    }
    std::array<epoll_event, events_per_wait> events{};
    const int count = ::epoll_wait(poll_descriptor_, events.data(),
                                   static_cast<int>(events.size()),
                                   milliseconds_to_next_timer());
    for (int i = 0; i < count; ++i)
    {
        const auto reader =
            readers_.find(events.at(static_cast<std::size_t>(i)).data.fd);
        if (reader != readers_.end())
        {
            // A handler may end its own watch, so it runs from a copy.
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
        return longest_wait_ms;
    }
    const auto left = std::chrono::ceil<std::chrono::milliseconds>(
        timers_.begin()->first - read_monotonic_clock());
    if (left.count() <= 0)
    {
        return 0;
    }
    return static_cast<int>(
        std::min<std::int64_t>(left.count(), longest_wait_ms));
}

} // namespace galenafork::standin
