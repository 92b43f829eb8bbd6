/// \file
/// Maintains the entry of this process in the store, where other members find
/// it.

#ifndef LIBPASSD_STORE_REGISTRATION_H
#define LIBPASSD_STORE_REGISTRATION_H

#include <galenafork/platform.h>

#include <functional>
#include <kj/timer.h>

namespace galenafork
{

/// Time intervals of a `store_registration`.
struct store_registration_settings
{
    /// Time between two checks of the entry. An entry that expired during an
    /// outage must be back within two seconds after the outage ends.
    duration check_interval_ = std::chrono::milliseconds(1500);
    /// Time until the next attempt while the entry is not confirmed.
    duration retry_interval_ = std::chrono::milliseconds(700);
};

/// Writes an entry, checks periodically that it is still in the store, and
/// writes it again if it is missing or differs. A check is a cheap read that
/// may be stale; after a failed check a current read decides whether to write.
class store_registration
{
public:
    /// `store` and `timer` must outlive this object. `random_bits` returns
    /// random bits for write ids.
    store_registration(collection_store& store, kj::Timer& timer,
                       std::function<std::uint64_t()> random_bits,
                       store_registration_settings settings);

    /// Maintains the entry `name` with the fields of `value`, a JSON object,
    /// until the promise is dropped.
    kj::Promise<void> maintain(std::string name, std::string value);

    /// Changes the value; it is written at the next check.
    void set_value(std::string value);

    /// Has the next check read the current entry: the store has come back from
    /// an older copy, which may lack it.
    void recheck()
    {
        confirmed_ = false;
    }

    /// Returns whether an entry of this name has been in the store.
    bool is_written() const
    {
        return written_;
    }

    /// Removes the entry `name`, which may be one of an earlier process and is
    /// not maintained any more, and logs the outcome. The promise never fails.
    kj::Promise<void> remove(std::string name);

private:
    kj::Promise<void> run_maintenance();
    kj::Promise<void> write_after_read();
    kj::Promise<void> write(object_version expected);
    kj::Promise<void> pause(duration time);
    bool matches(const std::string& stored) const;

    collection_store& store_;
    kj::Timer& timer_;
    std::function<std::uint64_t()> random_bits_;
    store_registration_settings settings_;
    std::string name_;
    std::string value_;
    object_version version_ = no_object_version;
    /// The last read or write showed the entry in the store with its value.
    bool confirmed_ = false;
    bool written_ = false;
    bool removed_ = false;
    bool store_reachable_ = true;
};

} // namespace galenafork

#endif
