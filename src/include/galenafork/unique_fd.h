/// \file
/// A file descriptor with a unique owner.

#ifndef GALENAFORK_UNIQUE_FD_H
#define GALENAFORK_UNIQUE_FD_H

#include <unistd.h>
#include <utility>

namespace galenafork
{

/// Owns a file descriptor and closes it on destruction.
class unique_fd
{
public:
    unique_fd() = default;
    /// Takes ownership of `fd`; -1 for none.
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

    /// Returns the descriptor, or -1 for none.
    int get() const
    {
        return fd_;
    }

    /// Returns true if the object owns a descriptor.
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
