/// \file
/// The platform in memory, for unit tests of code that takes a
/// `platform_store`.

#ifndef STANDINS_PLATFORM_MEMORY_PLATFORM_H
#define STANDINS_PLATFORM_MEMORY_PLATFORM_H

#include <galenafork/platform.h>
#include <kj/timer.h>
#include <standins/platform/object_store.h>

#include <cstdint>

namespace galenafork::standin
{

/// Answers at once and counts calls; fails as told.
class memory_platform final : public platform_store
{
public:
    /// `timer` must outlive this.
    explicit memory_platform(kj::Timer& timer) : timer_(timer) {}

    kj::Promise<tl::expected<platform_object, error>>
    get(std::string name) override;
    kj::Promise<write_result> put_if(object_write write) override;
    kj::Promise<watch_result> watch(std::string name, object_version after,
                                    duration wait) override;
    kj::Promise<tl::expected<std::vector<object_entry>, error>>
    list(std::string prefix) override;

    /// While true, nothing is answered but `unavailable`.
    bool outage_ = false;
    /// So many writes take effect with the outcome `unknown`.
    std::uint64_t lose_answer_next_writes_ = 0;
    /// Calls so far, a watch being one.
    std::uint64_t calls_ = 0;
    /// The objects, for tests to look at and to change behind the back of the
    /// code under test.
    object_store objects_;

private:
    kj::Timer& timer_;
};

} // namespace galenafork::standin

#endif
