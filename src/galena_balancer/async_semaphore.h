/// \file
/// Bounds how many reads of the platform are under way.

#ifndef GALENAFORK_GALENA_BALANCER_ASYNC_SEMAPHORE_H
#define GALENAFORK_GALENA_BALANCER_ASYNC_SEMAPHORE_H

#include <deque>
#include <kj/async.h>
#include <kj/memory.h>

namespace galenafork
{

/// Lets a limited number of holders in at a time, in the order they came. For
/// one event loop; outlives its permits.
class async_semaphore
{
public:
    /// Held while inside; leaves when it goes.
    class permit
    {
    public:
        explicit permit(async_semaphore& gate) : gate_(gate) {}
        ~permit()
        {
            gate_.release();
        }
        permit(const permit&) = delete;
        permit& operator=(const permit&) = delete;

    private:
        async_semaphore& gate_;
    };

    /// Lets `limit` in at a time.
    explicit async_semaphore(std::size_t limit) : free_(limit) {}

    /// Resolves when the caller may go in.
    kj::Promise<kj::Own<permit>> acquire()
    {
        if (free_ > 0)
        {
            --free_;
            return kj::heap<permit>(*this);
        }
        auto pair = kj::newPromiseAndFulfiller<kj::Own<permit>>();
        waiting_.push_back(kj::mv(pair.fulfiller));
        return kj::mv(pair.promise);
    }

private:
    void release()
    {
        while (!waiting_.empty())
        {
            auto next = kj::mv(waiting_.front());
            waiting_.pop_front();
            if (next->isWaiting())
            {
                next->fulfill(kj::heap<permit>(*this));
                return;
            }
        }
        ++free_;
    }

    std::size_t free_;
    std::deque<kj::Own<kj::PromiseFulfiller<kj::Own<permit>>>> waiting_;
};

} // namespace galenafork

#endif
