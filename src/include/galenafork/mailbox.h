/// \file
/// A bounded queue between threads, which wakes the event loop of its reader.

#ifndef GALENAFORK_MAILBOX_H
#define GALENAFORK_MAILBOX_H

#include <galenafork/unique_fd.h>

#include <atomic>
#include <cstdint>
#include <mutex>
#include <vector>

namespace galenafork
{

/// An eventfd: a file descriptor that becomes readable when signalled.
class wake_event
{
public:
    /// Throws `std::system_error` if the kernel can't create the eventfd.
    wake_event();

    /// Makes the descriptor readable. Any thread may call it.
    void signal() const noexcept;

    /// Makes the descriptor unreadable until the next signal.
    void clear() const noexcept;

    /// Returns the descriptor that an event loop watches for reading.
    int fd() const
    {
        return fd_.get();
    }

private:
    unique_fd fd_;
};

/// Queue of values from any number of threads to one reader, used in both
/// directions between the control thread and the traffic threads. The lock is
/// held only while one value is added or all values are swapped out.
template <class T>
class mailbox
{
public:
    /// Creates a queue of at most `capacity` values.
    explicit mailbox(std::size_t capacity) : capacity_(capacity) {}

    /// Adds `value` and wakes the reader. Returns false if the mailbox is full;
    /// the value is then dropped and counted.
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

    /// Removes and returns all values, oldest first. The reader calls it when
    /// `fd` is readable.
    std::vector<T> pop_all()
    {
        event_.clear();
        std::vector<T> popped;
        const std::lock_guard<std::mutex> lock(mutex_);
        popped.swap(values_);
        return popped;
    }

    /// Returns a descriptor that is readable while the mailbox may hold values.
    int fd() const
    {
        return event_.fd();
    }

    /// Returns the number of values dropped because the mailbox was full.
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
