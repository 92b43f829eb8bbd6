/// \file
/// A bounded queue between threads that wakes its reader's event loop.

#ifndef GALENAFORK_MAILBOX_H
#define GALENAFORK_MAILBOX_H

#include <galenafork/unique_fd.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace galenafork
{

/// An eventfd: a descriptor that turns readable when signalled.
class wake_event
{
public:
    /// Throws `std::system_error` if the process has no descriptor left.
    wake_event();

    /// Makes the descriptor readable. Any thread.
    void signal() const noexcept;

    /// Makes the descriptor unreadable until the next signal.
    void clear() const noexcept;

    /// To be watched for reading by an event loop.
    int fd() const
    {
        return fd_.get();
    }

private:
    unique_fd fd_;
};

/// Queue of `T` from any threads to one reader. Both directions between the
/// control thread and the traffic threads use it; no lock is held for longer
/// than one move of an element or one swap.
template <class T>
class mailbox
{
public:
    /// Holds `capacity` elements at most.
    explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

    /// Adds `value` and wakes the reader. False if the mailbox is full: the
    /// value is dropped and counted.
    bool post(T value)
    {
        bool first = false;
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            if (values_.size() >= capacity_)
            {
                dropped_.fetch_add(1, std::memory_order_relaxed);
                return false;
            }
            first = values_.empty();
            values_.push_back(std::move(value));
        }
        if (first)
        {
            event_.signal();
        }
        return true;
    }

    /// Takes everything out, in order. For the reader, when `fd` is readable.
    std::vector<T> pop_all()
    {
        event_.clear();
        std::vector<T> taken;
        const std::lock_guard<std::mutex> lock(mutex_);
        taken.swap(values_);
        return taken;
    }

    /// Readable while there may be something to take.
    int fd() const
    {
        return event_.fd();
    }

    /// Values dropped because the mailbox was full.
    std::uint64_t dropped() const
    {
        return dropped_.load(std::memory_order_relaxed);
    }

private:
    std::size_t capacity_;
    std::mutex mutex_;
    std::vector<T> values_;
    std::atomic<std::uint64_t> dropped_{0};
    wake_event event_;
};

} // namespace galenafork

#endif
