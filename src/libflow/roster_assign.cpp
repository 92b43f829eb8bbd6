#include "roster_assign.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace galenafork::pvt
{

namespace
{

constexpr std::size_t buckets_total = bucket_count;

std::vector<std::size_t> watch_duties(const roster& r)
{
    std::vector<std::size_t> duties(r.members_.size(), 0);
    for (std::size_t i = 0; i < r.members_.size(); ++i)
    {
        for (const member& watched : r.members_)
        {
            const auto& names = watched.watchers_;
            duties[i] += static_cast<std::size_t>(std::count(
                names.begin(), names.end(), r.members_[i].instance_));
        }
    }
    return duties;
}

bool watches(const member& watched, const member& watcher)
{
    const auto& names = watched.watchers_;
    return std::find(names.begin(), names.end(), watcher.instance_) !=
           names.end();
}

// The best further watcher of `m`, or the member count if there is none.
// Mutual pairs come last: two members that watch each other and are lost
// together leave nobody to promise their lapse.
std::size_t pick_watcher(const roster& r, std::size_t m,
                         const std::vector<std::size_t>& duties)
{
    const member& watched = r.members_[m];
    std::size_t best = r.members_.size();
    std::tuple<bool, bool, std::size_t, std::size_t> best_cost;
    for (std::size_t step = 1; step < r.members_.size(); ++step)
    {
        const std::size_t i = (m + step) % r.members_.size();
        const member& candidate = r.members_[i];
        if (watches(watched, candidate))
        {
            continue;
        }
        const auto cost = std::make_tuple(
            watches(candidate, watched),
            candidate.data_centre_ == watched.data_centre_, duties[i], step);
        if (best == r.members_.size() || cost < best_cost)
        {
            best = i;
            best_cost = cost;
        }
    }
    return best;
}

void drop_absent_watchers(roster& r)
{
    for (member& m : r.members_)
    {
        auto& names = m.watchers_;
        names.erase(std::remove_if(names.begin(), names.end(),
                                   [&](const instance_id& id)
                                   { return find_member(r, id) == nullptr; }),
                    names.end());
    }
}

// Slots decide the share; a member that serves with no slots counts as one.
std::size_t weight_of(const member& m)
{
    if (m.state_ != member_state::serving)
    {
        return 0;
    }
    return std::max<std::size_t>(1, m.slots_.value());
}

// Buckets per member: proportional to slots, largest remainders rounded up.
std::vector<std::size_t> quotas(const roster& r)
{
    std::vector<std::size_t> weights;
    for (const member& m : r.members_)
    {
        weights.push_back(weight_of(m));
    }
    const std::size_t total =
        std::accumulate(weights.begin(), weights.end(), std::size_t{0});
    std::vector<std::size_t> quota(weights.size(), 0);
    if (total == 0)
    {
        return quota;
    }
    std::vector<std::size_t> by_remainder(weights.size());
    std::iota(by_remainder.begin(), by_remainder.end(), std::size_t{0});
    std::size_t given = 0;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        quota[i] = buckets_total * weights[i] / total;
        given += quota[i];
    }
    std::stable_sort(by_remainder.begin(), by_remainder.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return buckets_total * weights[a] % total >
                                buckets_total * weights[b] % total;
                     });
    for (std::size_t i = 0; given < buckets_total; ++i, ++given)
    {
        ++quota[by_remainder[i]];
    }
    return quota;
}

// Takes homes from members that may hold none or hold too many.
std::vector<std::size_t> release_excess(roster& r,
                                        const std::vector<std::size_t>& quota)
{
    std::vector<std::size_t> held(r.members_.size(), 0);
    for (auto& bucket : r.buckets_)
    {
        if (bucket.home_ == no_member)
        {
            continue;
        }
        const std::size_t home = bucket.home_.value();
        if (held[home] == quota[home])
        {
            bucket.home_ = no_member;
        }
        else
        {
            ++held[home];
        }
    }
    return held;
}

void fill_homes(roster& r, const std::vector<std::size_t>& quota,
                std::vector<std::size_t> held)
{
    std::size_t next = 0;
    for (auto& bucket : r.buckets_)
    {
        if (bucket.home_ != no_member)
        {
            continue;
        }
        const member* deputy = member_at(r, bucket.deputy_);
        if (deputy != nullptr &&
            held[bucket.deputy_.value()] < quota[bucket.deputy_.value()])
        {
            bucket.home_ = bucket.deputy_;
        }
        else
        {
            // Round robin over those below quota spreads a lost member's
            // buckets over all others.
            do
            {
                next = (next + 1) % r.members_.size();
            } while (held[next] >= quota[next]);
            bucket.home_ = member_index(static_cast<std::uint16_t>(next));
        }
        ++held[bucket.home_.value()];
    }
}

void assign_deputies(roster& r)
{
    const std::size_t count = r.members_.size();
    // shared[h * count + d]: buckets with home h and deputy d.
    std::vector<std::size_t> shared(count * count, 0);
    for (auto& bucket : r.buckets_)
    {
        const member* deputy = member_at(r, bucket.deputy_);
        if (deputy == nullptr || weight_of(*deputy) == 0 ||
            bucket.deputy_ == bucket.home_)
        {
            bucket.deputy_ = no_member;
            continue;
        }
        ++shared[bucket.home_.value() * count + bucket.deputy_.value()];
    }
    for (auto& bucket : r.buckets_)
    {
        if (bucket.deputy_ != no_member || bucket.home_ == no_member)
        {
            continue;
        }
        const std::size_t home = bucket.home_.value();
        std::tuple<bool, std::size_t> best_cost;
        for (std::size_t d = 0; d < count; ++d)
        {
            if (d == home || weight_of(r.members_[d]) == 0)
            {
                continue;
            }
            const auto cost = std::make_tuple(r.members_[d].data_centre_ ==
                                                  r.members_[home].data_centre_,
                                              shared[home * count + d]);
            if (bucket.deputy_ == no_member || cost < best_cost)
            {
                bucket.deputy_ = member_index(static_cast<std::uint16_t>(d));
                best_cost = cost;
            }
        }
        if (bucket.deputy_ != no_member)
        {
            ++shared[home * count + bucket.deputy_.value()];
        }
    }
}

} // namespace

void assign_watchers(roster& r)
{
    drop_absent_watchers(r);
    auto duties = watch_duties(r);
    for (std::size_t i = 0; i < r.members_.size(); ++i)
    {
        auto& names = r.members_[i].watchers_;
        while (names.size() < max_watchers)
        {
            const std::size_t picked = pick_watcher(r, i, duties);
            if (picked == r.members_.size())
            {
                break;
            }
            names.push_back(r.members_[picked].instance_);
            ++duties[picked];
        }
    }
}

void assign_buckets(roster& r)
{
    const auto quota = quotas(r);
    const bool nobody_serves = std::all_of(
        quota.begin(), quota.end(), [](std::size_t q) { return q == 0; });
    if (nobody_serves)
    {
        r.buckets_.fill(bucket_assignment{});
        return;
    }
    auto held = release_excess(r, quota);
    fill_homes(r, quota, std::move(held));
    assign_deputies(r);
}

} // namespace galenafork::pvt
