#include "roster_assign.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace galenafork::pvt
{

namespace
{

constexpr std::size_t buckets_total = bucket_count;

std::vector<std::size_t> count_watched_members(const roster& r)
{
    std::vector<std::size_t> watched_counts(r.members_.size(), 0);
    for (std::size_t i = 0; i < r.members_.size(); ++i)
    {
        for (const member& watched : r.members_)
        {
            const auto& watchers = watched.watchers_;
            watched_counts[i] += static_cast<std::size_t>(std::count(
                watchers.begin(), watchers.end(), r.members_[i].instance_));
        }
    }
    return watched_counts;
}

bool is_watched_by(const member& watched, const member& watcher)
{
    const auto& watchers = watched.watchers_;
    return std::find(watchers.begin(), watchers.end(), watcher.instance_) !=
           watchers.end();
}

// Returns the index of the best additional watcher of member `m`, or the number
// of members if there is none. A member that `m` itself watches is the last
// choice: if two members that watch each other are lost together, no watcher is
// left to promise their expiry.
std::size_t pick_watcher(const roster& r, std::size_t m,
                         const std::vector<std::size_t>& watched_counts)
{
    const member& watched = r.members_[m];
    std::size_t best = r.members_.size();
    std::tuple<bool, bool, std::size_t, std::size_t> best_cost;
    for (std::size_t step = 1; step < r.members_.size(); ++step)
    {
        const std::size_t i = (m + step) % r.members_.size();
        const member& candidate = r.members_[i];
        if (is_watched_by(watched, candidate))
        {
            continue;
        }
        const auto cost =
            std::make_tuple(is_watched_by(candidate, watched),
                            candidate.data_centre_ == watched.data_centre_,
                            watched_counts[i], step);
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
        auto& watchers = m.watchers_;
        watchers.erase(std::remove_if(watchers.begin(), watchers.end(),
                                      [&](const instance_id& id) {
                                          return find_member(r, id) == nullptr;
                                      }),
                       watchers.end());
    }
}

// Returns the weight of a member: its number of slots, at least one, if it is
// serving, zero otherwise.
std::size_t weight_of(const member& m)
{
    if (m.state_ != member_state::serving)
    {
        return 0;
    }
    return std::max<std::size_t>(1, m.slots_.value());
}

// Returns the number of homes per member, in proportion to the weights by the
// largest remainder method.
std::vector<std::size_t> bucket_quotas(const roster& r)
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
    std::size_t assigned = 0;
    for (std::size_t i = 0; i < weights.size(); ++i)
    {
        quota[i] = buckets_total * weights[i] / total;
        assigned += quota[i];
    }
    std::stable_sort(by_remainder.begin(), by_remainder.end(),
                     [&](std::size_t a, std::size_t b)
                     {
                         return buckets_total * weights[a] % total >
                                buckets_total * weights[b] % total;
                     });
    for (std::size_t i = 0; assigned < buckets_total; ++i, ++assigned)
    {
        ++quota[by_remainder[i]];
    }
    return quota;
}

// Removes homes beyond each member's quota, and returns the number of homes
// that each member keeps.
std::vector<std::size_t>
release_excess_homes(roster& r, const std::vector<std::size_t>& quota)
{
    std::vector<std::size_t> homes_held(r.members_.size(), 0);
    for (auto& bucket : r.buckets_)
    {
        if (bucket.home_ == no_member)
        {
            continue;
        }
        const std::size_t home = bucket.home_.value();
        if (homes_held[home] == quota[home])
        {
            bucket.home_ = no_member;
        }
        else
        {
            ++homes_held[home];
        }
    }
    return homes_held;
}

void assign_homes(roster& r, const std::vector<std::size_t>& quota,
                  std::vector<std::size_t> homes_held)
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
            homes_held[bucket.deputy_.value()] < quota[bucket.deputy_.value()])
        {
            bucket.home_ = bucket.deputy_;
        }
        else
        {
            // Round robin over the members below quota distributes a lost
            // member's buckets among all others.
            do
            {
                next = (next + 1) % r.members_.size();
            } while (homes_held[next] >= quota[next]);
            bucket.home_ = member_index(static_cast<std::uint16_t>(next));
        }
        ++homes_held[bucket.home_.value()];
    }
}

void assign_deputies(roster& r)
{
    const std::size_t count = r.members_.size();
    // pair_counts[h * count + d]: number of buckets with home h and deputy d.
    std::vector<std::size_t> pair_counts(count * count, 0);
    for (auto& bucket : r.buckets_)
    {
        const member* deputy = member_at(r, bucket.deputy_);
        if (deputy == nullptr || weight_of(*deputy) == 0 ||
            bucket.deputy_ == bucket.home_)
        {
            bucket.deputy_ = no_member;
            continue;
        }
        ++pair_counts[bucket.home_.value() * count + bucket.deputy_.value()];
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
                                              pair_counts[home * count + d]);
            if (bucket.deputy_ == no_member || cost < best_cost)
            {
                bucket.deputy_ = member_index(static_cast<std::uint16_t>(d));
                best_cost = cost;
            }
        }
        if (bucket.deputy_ != no_member)
        {
            ++pair_counts[home * count + bucket.deputy_.value()];
        }
    }
}

} // namespace

void assign_watchers(roster& r)
{
    drop_absent_watchers(r);
    auto watched_counts = count_watched_members(r);
    for (std::size_t i = 0; i < r.members_.size(); ++i)
    {
        auto& watchers = r.members_[i].watchers_;
        while (watchers.size() < max_watchers)
        {
            const std::size_t picked = pick_watcher(r, i, watched_counts);
            if (picked == r.members_.size())
            {
                break;
            }
            watchers.push_back(r.members_[picked].instance_);
            ++watched_counts[picked];
        }
    }
}

void assign_buckets(roster& r)
{
    const auto quota = bucket_quotas(r);
    const bool none_serving = std::all_of(quota.begin(), quota.end(),
                                          [](std::size_t q) { return q == 0; });
    if (none_serving)
    {
        r.buckets_.fill(bucket_assignment{});
        return;
    }
    auto homes_held = release_excess_homes(r, quota);
    assign_homes(r, quota, std::move(homes_held));
    assign_deputies(r);
}

} // namespace galenafork::pvt
