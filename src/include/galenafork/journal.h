/// \file
/// The journal: an agent's records of non-idempotent requests, both its own and
/// those that it stores for other members. It prevents a request from running
/// twice.

#ifndef GALENAFORK_JOURNAL_H
#define GALENAFORK_JOURNAL_H

#include <galenafork/messages.h>
#include <galenafork/time.h>

#include <map>
#include <optional>
#include <vector>

namespace galenafork
{

/// Timeouts of the journal.
struct journal_settings
{
    /// How long an entry is kept after its last change; longer than any
    /// caller retransmits a request under the same key.
    duration lifetime_ = std::chrono::seconds(100);
    /// How long requests without an entry are answered `may_have_run` in a
    /// bucket whose journal entries may be missing.
    duration quarantine_ = std::chrono::seconds(100);
    /// Interval at which an unacknowledged record or transfer is resent.
    duration resend_interval_ = std::chrono::milliseconds(50);
    /// A request whose record the backup has not acked within this time is
    /// dropped unanswered; the caller's retransmission starts it again.
    duration record_timeout_ = std::chrono::milliseconds(2000);
};

/// A journal entry and the time at which it expires.
struct stored_entry
{
    journal_entry entry_;
    instant expires_at_;
    /// The owner has sent the request to its upstream.
    bool sent_to_upstream_ = false;
};

/// All journal entries that an agent holds.
struct request_journal
{
    std::map<request_key, stored_entry> entries_;
};

/// Returns the entry of `key`, or null.
const stored_entry* find_entry(const request_journal& journal,
                               const request_key& key);

/// Adds `entry`, or advances the stored entry of the same key from `started` to
/// `finished` or `refused` if it has the same owner. Any other stored entry
/// stays unchanged. Returns the entry that is stored now.
const stored_entry& merge_entry(request_journal& journal,
                                const journal_entry& entry,
                                const journal_settings& settings, instant now);

/// Removes the entries that have expired at `now`.
void expire_entries(request_journal& journal, instant now);

/// Returns the entries whose flow is in one of `buckets`.
std::vector<journal_entry>
entries_in_buckets(const request_journal& journal,
                   const std::vector<bucket_id>& buckets);

} // namespace galenafork

#endif
