#include <algorithm>
#include <galenafork/journal.h>

namespace galenafork
{

namespace
{

bool advances_state(journal_entry_state from, journal_entry_state to)
{
    return from == journal_entry_state::started &&
           to != journal_entry_state::started;
}

} // namespace

const stored_entry* find_entry(const request_journal& journal,
                               const request_key& key)
{
    const auto found = journal.entries_.find(key);
    return found == journal.entries_.end() ? nullptr : &found->second;
}

const stored_entry& merge_entry(request_journal& journal,
                                const journal_entry& entry,
                                const journal_settings& settings, instant now)
{
    const instant expires_at = now + settings.lifetime_;
    const auto [at, added] = journal.entries_.emplace(
        entry.key_, stored_entry{entry, expires_at, false});
    stored_entry& stored = at->second;
    if (!added && stored.entry_.owner_ == entry.owner_ &&
        advances_state(stored.entry_.state_, entry.state_))
    {
        stored.entry_ = entry;
        stored.expires_at_ = expires_at;
    }
    return stored;
}

void expire_entries(request_journal& journal, instant now)
{
    auto& entries = journal.entries_;
    for (auto at = entries.begin(); at != entries.end();)
    {
        at = at->second.expires_at_ <= now ? entries.erase(at) : std::next(at);
    }
}

std::vector<journal_entry>
entries_in_buckets(const request_journal& journal,
                   const std::vector<bucket_id>& buckets)
{
    std::vector<journal_entry> found;
    for (const auto& [key, stored] : journal.entries_)
    {
        const bucket_id bucket = bucket_of(key.flow_);
        if (std::find(buckets.begin(), buckets.end(), bucket) != buckets.end())
        {
            found.push_back(stored.entry_);
        }
    }
    return found;
}

} // namespace galenafork
