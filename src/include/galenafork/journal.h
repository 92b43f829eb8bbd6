/// \file
/// The journal: what an agent knows of non-idempotent requests, its own and
/// those that it keeps for others. It is what keeps a request from running
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

/// Times of the journal.
struct journal_settings
{
    /// How long an entry is kept after its last change; longer than any
    /// caller repeats a request under the same key.
    duration lifetime_ = std::chrono::seconds(100);
    /// How long a bucket whose entries may be lost answers `may_have_run`.
    duration quarantine_ = std::chrono::seconds(100);
    /// Between two sends of an unconfirmed record or transfer.
    duration resend_interval_ = std::chrono::milliseconds(50);
    /// After so long without the partner's ack the request is dropped
    /// unanswered; the caller's repeat starts again.
    duration record_timeout_ = std::chrono::milliseconds(2000);
};

/// An entry and how long it is still kept.
struct stored_entry
{
    journal_entry entry_;
    instant expires_;
    /// The owner has passed the request to its upstream.
    bool sent_to_upstream_ = false;
};

/// Every entry an agent holds.
struct request_journal
{
    std::map<request_key, stored_entry> entries_;
};

/// The entry of `key`, or null.
const stored_entry* find_entry(const request_journal& journal,
                               const request_key& key);

/// Puts in `entry` or moves the known entry of the same owner forward
/// (`started` to `finished` or `refused`, never back). An entry of another
/// owner stays as it is. Returns the entry as now held.
const stored_entry& merge_entry(request_journal& journal,
                                const journal_entry& entry,
                                const journal_settings& settings, instant now);

/// Drops entries whose time is over.
void expire_entries(request_journal& journal, instant now);

/// Entries whose flow is in one of `buckets`.
std::vector<journal_entry>
entries_in_buckets(const request_journal& journal,
                   const std::vector<bucket_id>& buckets);

} // namespace galenafork

#endif
