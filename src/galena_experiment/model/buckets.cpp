#include "buckets.h"

#include <numeric>

namespace galenafork::pvt
{

namespace
{

bool may_hold(const upstream& u)
{
    return u.alive_ && !u.draining_;
}

// Buckets of each member: by slots, the remainder to the first members.
std::vector<std::size_t> quotas(const std::vector<upstream>& members)
{
    std::size_t slots = 0;
    for (const upstream& u : members)
    {
        slots += may_hold(u) ? u.slots_.value() : 0;
    }
    std::vector<std::size_t> quota(members.size(), 0);
    if (slots == 0)
    {
        return quota;
    }
    for (std::size_t i = 0; i < members.size(); ++i)
    {
        quota[i] = may_hold(members[i]) ? std::size_t{bucket_count} *
                                              members[i].slots_.value() / slots
                                        : 0;
    }
    std::size_t rest =
        bucket_count -
        std::accumulate(quota.begin(), quota.end(), std::size_t{0});
    for (std::size_t i = 0; rest > 0; i = (i + 1) % members.size())
    {
        if (may_hold(members[i]))
        {
            ++quota[i];
            --rest;
        }
    }
    return quota;
}

std::size_t next_holder(const std::vector<upstream>& members,
                        std::size_t member)
{
    std::size_t next = (member + 1) % members.size();
    while (!may_hold(members[next]) && next != member)
    {
        next = (next + 1) % members.size();
    }
    return next;
}

} // namespace

bucket_homes spread_buckets(const bucket_homes& homes,
                            const std::vector<upstream>& members)
{
    std::vector<std::size_t> room = quotas(members);
    if (std::accumulate(room.begin(), room.end(), std::size_t{0}) == 0)
    {
        return homes;
    }
    bucket_homes next = homes;
    std::vector<std::size_t> loose;
    for (std::size_t bucket = 0; bucket < next.size(); ++bucket)
    {
        if (room[next[bucket]] > 0)
        {
            --room[next[bucket]];
        }
        else
        {
            loose.push_back(bucket);
        }
    }
    std::size_t taker = 0;
    for (const std::size_t bucket : loose)
    {
        while (room[taker] == 0)
        {
            ++taker;
        }
        next[bucket] = taker;
        --room[taker];
    }
    return next;
}

bucket_homes take_over(const bucket_homes& homes,
                       const std::vector<upstream>& members, deputy_rule rule)
{
    if (rule == deputy_rule::spread)
    {
        return spread_buckets(homes, members);
    }
    bucket_homes next = homes;
    for (std::size_t& home : next)
    {
        home = may_hold(members[home]) ? home : next_holder(members, home);
    }
    return next;
}

} // namespace galenafork::pvt
