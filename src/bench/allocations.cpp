#include "allocations.h"

#include <atomic>
#include <cstdlib>
#include <new>

namespace
{

std::atomic<std::uint64_t> allocation_count{0};

} // namespace

namespace galenafork::bench
{

std::uint64_t allocations()
{
    return allocation_count.load(std::memory_order_relaxed);
}

} // namespace galenafork::bench

void* operator new(std::size_t size)
{
    allocation_count.fetch_add(1, std::memory_order_relaxed);
    void* memory = std::malloc(size);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void operator delete(void* memory) noexcept
{
    std::free(memory);
}

void operator delete(void* memory, std::size_t /*size*/) noexcept
{
    std::free(memory);
}
