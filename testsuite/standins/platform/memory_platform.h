/// \file
/// An in-memory platform, for unit tests of code that uses a `platform_store`.

#ifndef STANDINS_PLATFORM_MEMORY_PLATFORM_H
#define STANDINS_PLATFORM_MEMORY_PLATFORM_H

#include <galenafork/platform.h>
#include <kj/timer.h>
#include <standins/platform/object_store.h>

#include <cstdint>

namespace galenafork::standin
{

/// Answers calls without any delay except that of waiting watches, counts them,
/// and injects the failures that the test has set.
class memory_platform final : public platform_store
{
public:
    /// `timer` must outlive this object.
    explicit memory_platform(kj::Timer& timer) : timer_(timer) {}

    kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) override;
    kj::Promise<write_result> put_if(object_write write) override;
    kj::Promise<watch_result> watch(std::string name, object_version after,
                                    duration wait) override;
    kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string prefix) override;

    /// While true, every call fails with `unavailable`.
    bool outage_ = false;
    /// Number of next writes that are handled, but whose outcome is reported as
    /// `unknown`.
    std::uint64_t lose_answer_next_writes_ = 0;
    /// Number of calls. A watch is one call.
    std::uint64_t calls_ = 0;
    /// The stored objects. Tests inspect them and change them as another writer
    /// would.
    object_store objects_;

private:
    kj::Timer& timer_;
};

} // namespace galenafork::standin

#endif
