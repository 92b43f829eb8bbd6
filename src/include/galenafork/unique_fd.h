/// \file
/// Owner of a file descriptor.

#ifndef GALENAFORK_UNIQUE_FD_H
#define GALENAFORK_UNIQUE_FD_H

#include <unistd.h>
#include <utility>

namespace galenafork
{

/// Closes its file descriptor when it goes.
class unique_fd
{
public:
    unique_fd() = default;
    /// Takes over `fd`; -1 for none.
    explicit unique_fd(int fd) : fd_(fd) {}
    ~unique_fd()
    {
        reset();
    }
    unique_fd(unique_fd&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
    unique_fd& operator=(unique_fd&& other) noexcept
    {
        if (this != &other)
        {
            reset();
            fd_ = std::exchange(other.fd_, -1);
        }
        return *this;
    }
    unique_fd(const unique_fd&) = delete;
    unique_fd& operator=(const unique_fd&) = delete;

    /// The descriptor, or -1.
    int get() const
    {
        return fd_;
    }

    /// True if it owns a descriptor.
    explicit operator bool() const
    {
        return fd_ >= 0;
    }

private:
    void reset()
    {
        if (fd_ >= 0)
        {
            ::close(fd_);
        }
    }

    int fd_ = -1;
};

} // namespace galenafork

#endif
