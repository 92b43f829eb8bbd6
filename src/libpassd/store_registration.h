/// \file
/// Keeps one entry of this process in the store, so that others find it.

#ifndef LIBPASSD_STORE_REGISTRATION_H
#define LIBPASSD_STORE_REGISTRATION_H

#include <galenafork/platform.h>

#include <functional>
#include <kj/timer.h>

namespace galenafork
{

/// How an entry is kept.
struct store_registration_settings
{
    /// Between two looks at the entry. An entry that lapsed while the store
    /// was away is to be back within two seconds of its return.
    duration check_interval_ = std::chrono::milliseconds(1500);
    /// Between two tries while the store does not answer.
    duration retry_interval_ = std::chrono::milliseconds(700);
};

/// Writes an entry, looks from time to time whether it is still there, and
/// writes it again if not. Looks are cheap reads that may be old; only what
/// they miss is read and written for certain.
class store_registration
{
public:
    /// `store` and `timer` must outlive this. `draw` gives random bits.
    store_registration(collection_store& store, kj::Timer& timer,
                       std::function<std::uint64_t()> draw,
                       store_registration_settings settings);

    /// Keeps `name` with the fields of `value` (a JSON object) until the
    /// promise is dropped.
    kj::Promise<void> maintain(std::string name, std::string value);

    /// Changes the value; written with the next step.
    void set_value(std::string value);

    /// The entry has been in the store.
    bool is_written() const
    {
        return written_;
    }

    /// Removes the entry; the promise never fails.
    kj::Promise<void> remove();

private:
    kj::Promise<void> step();
    kj::Promise<void> write_after_read();
    kj::Promise<void> write(object_version expected);
    kj::Promise<void> pause(duration time);
    bool matches(const std::string& stored) const;

    collection_store& store_;
    kj::Timer& timer_;
    std::function<std::uint64_t()> draw_;
    store_registration_settings settings_;
    std::string name_;
    std::string value_;
    object_version version_ = no_object_version;
    bool certain_ = false;
    bool written_ = false;
    bool reachable_ = true;
};

} // namespace galenafork

#endif
