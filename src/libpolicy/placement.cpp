#include <galenafork/load_policy.h>

#include <algorithm>

namespace galenafork
{

namespace pvt
{

namespace
{

using candidates = std::vector<load_candidate>;

/// Index for "no candidate".
constexpr std::size_t none = static_cast<std::size_t>(-1);

bool may_draw(const candidates& all, std::size_t index, std::size_t home,
              std::size_t skip)
{
    return index != home && index != skip && all[index].accepts_new_flows_;
}

// Weighted draw among the open members other than `home` and `skip`.
std::size_t draw_candidate(const candidates& all, std::size_t home,
                           std::size_t skip, const load_settings& settings,
                           double draw)
{
    double total = 0;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (may_draw(all, i, home, skip))
        {
            total += effective_slots(all[i], settings);
        }
    }
    double rest = draw * total;
    std::size_t drawn = none;
    for (std::size_t i = 0; i < all.size() && rest >= 0; ++i)
    {
        if (may_draw(all, i, home, skip))
        {
            drawn = i;
            rest -= effective_slots(all[i], settings);
        }
    }
    return drawn;
}

double standing_from_home(const load_candidate& candidate, duration usual,
                          const load_settings& settings)
{
    const double margin =
        candidate.same_data_centre_ ? 0 : settings.placement_.locality_margin_;
    return load_score(candidate, usual, settings) + margin;
}

std::size_t better_of_two(const candidates& all, std::size_t home,
                          duration usual, const load_settings& settings,
                          const placement_draws& draws)
{
    const std::size_t first =
        draw_candidate(all, home, none, settings, draws.first_);
    const std::size_t second =
        draw_candidate(all, home, first, settings, draws.second_);
    if (first == none || second == none)
    {
        return first;
    }
    const double first_standing =
        standing_from_home(all[first], usual, settings);
    const double second_standing =
        standing_from_home(all[second], usual, settings);
    return second_standing < first_standing ? second : first;
}

} // namespace

} // namespace pvt

double slow_start_factor(duration serving_for,
                         const slow_start_settings& settings)
{
    if (serving_for >= settings.length_)
    {
        return 1;
    }
    const double progress = static_cast<double>(serving_for.count()) /
                            static_cast<double>(settings.length_.count());
    return settings.floor_ + ((1 - settings.floor_) * std::max(progress, 0.0));
}

double effective_slots(const load_candidate& candidate,
                       const load_settings& settings)
{
    const double slots = std::max<std::uint32_t>(candidate.slots_.value(), 1);
    return slots *
           slow_start_factor(candidate.serving_for_, settings.slow_start_);
}

duration median_service_time(const std::vector<load_candidate>& candidates)
{
    std::vector<duration> times;
    for (const load_candidate& c : candidates)
    {
        if (c.accepts_new_flows_ && c.service_time_ > duration(0))
        {
            times.push_back(c.service_time_);
        }
    }
    if (times.empty())
    {
        return duration(0);
    }
    const auto middle =
        times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

double slowness_factor(duration service_time, duration usual,
                       const placement_settings& settings)
{
    if (usual <= duration(0))
    {
        return 1;
    }
    const double ratio = static_cast<double>(service_time.count()) /
                         static_cast<double>(usual.count());
    return std::clamp(ratio / settings.slowness_tolerance_, 1.0,
                      settings.slowness_limit_);
}

double load_score(const load_candidate& candidate, duration usual,
                  const load_settings& settings)
{
    double in_flight = candidate.in_flight_;
    if (settings.placement_.local_correction_)
    {
        in_flight += candidate.assigned_since_report_;
    }
    const double reported = candidate.upstream_report_.value_or(0);
    const double most = in_flight * (1 + settings.placement_.report_influence_);
    in_flight = std::max(in_flight, std::min(reported, most));
    const double per_slot =
        (in_flight + 1) / effective_slots(candidate, settings);
    return per_slot *
           slowness_factor(candidate.service_time_, usual, settings.placement_);
}

assigned_flows decay(const assigned_flows& flows, duration service_time,
                     instant now)
{
    const duration elapsed = now - flows.counted_at_;
    return {smooth(flows.count_, 0, elapsed, service_time), now};
}

assigned_flows add_flow(const assigned_flows& flows, duration service_time,
                        instant now)
{
    assigned_flows next = decay(flows, service_time, now);
    next.count_ += 1;
    return next;
}

const char* to_string(placement_reason reason)
{
    switch (reason)
    {
    case placement_reason::home:
        return "home";
    case placement_reason::less_loaded:
        return "less_loaded";
    case placement_reason::less_loaded_remote:
        return "less_loaded_remote";
    case placement_reason::home_closed:
        return "home_closed";
    }
    return "home";
}

std::optional<placement>
choose_owner(const std::vector<load_candidate>& candidates, std::size_t home,
             const load_settings& settings, const placement_draws& draws)
{
    const duration usual = median_service_time(candidates);
    const std::size_t best =
        pvt::better_of_two(candidates, home, usual, settings, draws);
    const bool home_opens =
        home < candidates.size() && candidates[home].accepts_new_flows_;
    if (best == pvt::none)
    {
        return home_opens
                   ? std::optional(placement{home, placement_reason::home})
                   : std::nullopt;
    }
    if (!home_opens)
    {
        return placement{best, placement_reason::home_closed};
    }
    const double limit =
        pvt::standing_from_home(candidates[best], usual, settings) +
        settings.placement_.home_margin_;
    if (load_score(candidates[home], usual, settings) <= limit)
    {
        return placement{home, placement_reason::home};
    }
    return placement{best, candidates[best].same_data_centre_
                               ? placement_reason::less_loaded
                               : placement_reason::less_loaded_remote};
}

} // namespace galenafork
