#include <galenafork/load_policy.h>

#include <algorithm>

namespace galenafork
{

namespace pvt
{

namespace
{

using candidates = std::vector<load_candidate>;

// Index for "no candidate".
constexpr std::size_t none = static_cast<std::size_t>(-1);

bool is_eligible(const candidates& all, std::size_t index, std::size_t home,
                 std::size_t skip)
{
    return index != home && index != skip && all[index].accepts_new_flows_;
}

// Picks one of the candidates that accept new flows, other than `home` and
// `skip`, with a probability in proportion to its effective slots. Returns
// `none` if there is no such candidate. `random` is uniform in [0, 1).
std::size_t pick_weighted_candidate(const candidates& all, std::size_t home,
                                    std::size_t skip,
                                    const load_settings& settings,
                                    double random)
{
    double total = 0;
    for (std::size_t i = 0; i < all.size(); ++i)
    {
        if (is_eligible(all, i, home, skip))
        {
            total += effective_slots(all[i], settings);
        }
    }
    double remaining = random * total;
    std::size_t picked = none;
    for (std::size_t i = 0; i < all.size() && remaining >= 0; ++i)
    {
        if (is_eligible(all, i, home, skip))
        {
            picked = i;
            remaining -= effective_slots(all[i], settings);
        }
    }
    return picked;
}

double load_score_from_home(const load_candidate& candidate, duration median,
                            const load_settings& settings)
{
    const double margin =
        candidate.same_data_centre_ ? 0 : settings.placement_.locality_margin_;
    return load_score(candidate, median, settings) + margin;
}

std::size_t pick_better_of_two(const candidates& all, std::size_t home,
                               duration median, const load_settings& settings,
                               const placement_random_values& random_values)
{
    const std::size_t first = pick_weighted_candidate(all, home, none, settings,
                                                      random_values.first_);
    const std::size_t second = pick_weighted_candidate(
        all, home, first, settings, random_values.second_);
    if (first == none || second == none)
    {
        return first;
    }
    const double first_score =
        load_score_from_home(all[first], median, settings);
    const double second_score =
        load_score_from_home(all[second], median, settings);
    return second_score < first_score ? second : first;
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

double slowness_factor(duration service_time, duration median,
                       const placement_settings& settings)
{
    if (median <= duration(0))
    {
        return 1;
    }
    const double ratio = static_cast<double>(service_time.count()) /
                         static_cast<double>(median.count());
    return std::clamp(ratio / settings.slowness_tolerance_, 1.0,
                      settings.slowness_limit_);
}

double load_score(const load_candidate& candidate, duration median,
                  const load_settings& settings)
{
    double in_flight = candidate.in_flight_;
    if (settings.placement_.local_correction_)
    {
        in_flight += candidate.assigned_since_report_;
    }
    const double reported = candidate.upstream_report_.value_or(0);
    const double max_reported =
        in_flight * (1 + settings.placement_.report_influence_);
    in_flight = std::max(in_flight, std::min(reported, max_reported));
    const double per_slot =
        (in_flight + 1) / effective_slots(candidate, settings);
    return per_slot * slowness_factor(candidate.service_time_, median,
                                      settings.placement_);
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
             const load_settings& settings,
             const placement_random_values& random_values)
{
    const duration median = median_service_time(candidates);
    const std::size_t best = pvt::pick_better_of_two(candidates, home, median,
                                                     settings, random_values);
    const bool home_is_open =
        home < candidates.size() && candidates[home].accepts_new_flows_;
    if (best == pvt::none)
    {
        return home_is_open
                   ? std::optional(placement{home, placement_reason::home})
                   : std::nullopt;
    }
    if (!home_is_open)
    {
        return placement{best, placement_reason::home_closed};
    }
    const double limit =
        pvt::load_score_from_home(candidates[best], median, settings) +
        settings.placement_.home_margin_;
    if (load_score(candidates[home], median, settings) <= limit)
    {
        return placement{home, placement_reason::home};
    }
    return placement{best, candidates[best].same_data_centre_
                               ? placement_reason::less_loaded
                               : placement_reason::less_loaded_remote};
}

} // namespace galenafork
