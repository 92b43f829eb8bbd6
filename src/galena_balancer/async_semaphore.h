/// \file
/// A semaphore for promises, which limits concurrent reads of the platform.

#ifndef GALENAFORK_GALENA_BALANCER_ASYNC_SEMAPHORE_H
#define GALENAFORK_GALENA_BALANCER_ASYNC_SEMAPHORE_H

#include <deque>
#include <kj/async.h>
#include <kj/memory.h>

namespace galenafork
{

/// Counting semaphore of one event loop; waiters get permits in the order in
/// which they asked. Must outlive its permits.
class async_semaphore
{
public:
    /// Returns its unit to the semaphore when it is destroyed.
    class permit
    {
    public:
        explicit permit(async_semaphore& semaphore) : semaphore_(semaphore) {}
        ~permit()
        {
            semaphore_.release();
        }
        permit(const permit&) = delete;
        permit& operator=(const permit&) = delete;

    private:
        async_semaphore& semaphore_;
    };

    /// Allows `limit` permits at a time.
    explicit async_semaphore(std::size_t limit) : free_permits_(limit) {}

    /// Resolves with a permit as soon as one is free.
    kj::Promise<kj::Own<permit>> acquire()
    {
        if (free_permits_ > 0)
        {
            --free_permits_;
            return kj::heap<permit>(*this);
        }
        auto pair = kj::newPromiseAndFulfiller<kj::Own<permit>>();
        waiters_.push_back(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

private:
    void release()
    {
        while (!waiters_.empty())
        {
            auto next = kj::mv(waiters_.front());
            waiters_.pop_front();
            if (next->isWaiting())
            {
                next->fulfill(kj::heap<permit>(*this));
                return;
            }
        }
        ++free_permits_;
    }

    std::size_t free_permits_;
    std::deque<kj::Own<kj::PromiseFulfiller<kj::Own<permit>>>> waiters_;
};

} // namespace galenafork

#endif
