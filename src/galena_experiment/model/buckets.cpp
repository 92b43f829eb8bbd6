#include "buckets.h"

#include <numeric>

namespace galenafork::pvt
{

namespace
{

bool can_be_home(const simulated_member& m)
{
    return m.present_ && !m.draining_;
}

// Returns the number of buckets of each member, in proportion to slots. The
// remainder goes to the first members, one bucket each.
std::vector<std::size_t> quotas(const std::vector<simulated_member>& members)
{
    std::size_t slots = 0;
    for (const simulated_member& m : members)
    {
        slots += can_be_home(m) ? m.slots_.value() : 0;
    }
    std::vector<std::size_t> quota(members.size(), 0);
    if (slots == 0)
    {
        return quota;
    }
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        quota[i] =
            can_be_home(members[i])
                ? std::size_t{bucket_count} * members[i].slots_.value() / slots
                : 0;
    }
    std::size_t remainder =
        bucket_count -
        std::accumulate(quota.begin(), quota.end(), std::size_t{0});
    for (std::size_t i = 0; remainder > 0; i = (i + 1) % members.size())
    {
        if (can_be_home(members[i]))
        {
            ++quota[i];
            --remainder;
        }
    }
    return quota;
}

std::size_t next_home(const std::vector<simulated_member>& members,
                      std::size_t member)
{
    std::size_t next = (member + 1) % members.size();
    while (!can_be_home(members[next]) && next != member)
    {
        next = (next + 1) % members.size();
    }
    return next;
}

} // namespace

bucket_homes distribute_buckets(const bucket_homes& homes,
                                const std::vector<simulated_member>& members)
{
    std::vector<std::size_t> free_quota = quotas(members);
    if (std::accumulate(free_quota.begin(), free_quota.end(), std::size_t{0}) ==
        0)
    {
        return homes;
    }
    bucket_homes next = homes;
    std::vector<std::size_t> unassigned;
    for (std::size_t bucket = 0; bucket < next.size(); ++bucket)
    {
        if (free_quota[next[bucket]] > 0)
        {
            --free_quota[next[bucket]];
        }
        else
        {
            unassigned.push_back(bucket);
        }
    }
    std::size_t receiver = 0;
    for (const std::size_t bucket : unassigned)
    {
        while (free_quota[receiver] == 0)
        {
            ++receiver;
        }
        next[bucket] = receiver;
        --free_quota[receiver];
    }
    return next;
}

bucket_homes reassign_lost_buckets(const bucket_homes& homes,
                                   const std::vector<simulated_member>& members,
                                   deputy_assignment deputies)
{
    if (deputies == deputy_assignment::spread)
    {
        return distribute_buckets(homes, members);
    }
    bucket_homes next = homes;
    for (std::size_t& home : next)
    {
        home = can_be_home(members[home]) ? home : next_home(members, home);
    }
    return next;
}

} // namespace galenafork::pvt
