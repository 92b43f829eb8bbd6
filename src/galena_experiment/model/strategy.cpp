#include "strategy.h"

namespace galenafork::pvt
{

namespace
{

double slots_of(const load_candidate& candidate)
{
    return candidate.slots_.value();
}

std::size_t place_at_random(const placement_view& view, random_source& random)
{
    double total = 0;
    for (const load_candidate& c : view.candidates_)
    {
        total += c.accepts_new_flows_ ? slots_of(c) : 0;
    }
    double remaining = random.uniform() * total;
    std::size_t chosen = no_simulated_member;
    for (std::size_t i = 0; i < view.candidates_.size() && remaining >= 0; ++i)
    {
        if (view.candidates_[i].accepts_new_flows_)
        {
            chosen = i;
            remaining -= slots_of(view.candidates_[i]);
        }
    }
    return chosen;
}

std::size_t place_round_robin(const placement_view& view,
                              std::size_t& round_robin_index)
{
    const std::size_t count = view.candidates_.size();
    for (std::size_t tried = 0; tried < count; ++tried)
    {
        const std::size_t index = round_robin_index++ % count;
        if (view.candidates_[index].accepts_new_flows_)
        {
            return index;
        }
    }
    return no_simulated_member;
}

// Returns the open member with the lowest load per slot, where `loads` has the
// load of each member; ties are broken at random.
template <class Load>
std::size_t place_least_loaded(const placement_view& view,
                               const std::vector<Load>& loads,
                               random_source& random)
{
    std::size_t best = no_simulated_member;
    double lowest_load = 0;
    int ties = 0;
    for (std::size_t i = 0; i < view.candidates_.size(); ++i)
    {
        const double load_per_slot =
            static_cast<double>(loads[i]) / slots_of(view.candidates_[i]);
        if (!view.candidates_[i].accepts_new_flows_ ||
            (best != no_simulated_member && load_per_slot > lowest_load))
        {
            continue;
        }
        ties = best == no_simulated_member || load_per_slot < lowest_load
                   ? 1
                   : ties + 1;
        if (random.uniform() * ties < 1)
        {
            best = i;
        }
        lowest_load = load_per_slot;
    }
    return best;
}

std::size_t place_by_policy(const placement_view& view,
                            const load_settings& settings,
                            random_source& random)
{
    placement_random_values random_values;
    random_values.first_ = random.uniform();
    random_values.second_ = random.uniform();
    const auto chosen =
        choose_owner(view.candidates_, view.home_, settings, random_values);
    return chosen ? chosen->index_ : no_simulated_member;
}

std::size_t place_at_home(const placement_view& view)
{
    return view.candidates_[view.home_].accepts_new_flows_
               ? view.home_
               : no_simulated_member;
}

} // namespace

const char* to_string(strategy s)
{
    switch (s)
    {
    case strategy::policy:
        return "policy";
    case strategy::no_shedding:
        return "no_shedding";
    case strategy::plain_hash:
        return "plain_hash";
    case strategy::random:
        return "random";
    case strategy::round_robin:
        return "round_robin";
    case strategy::least_reported:
        return "least_reported";
    case strategy::omniscient:
        return "omniscient";
    }
    return "policy";
}

std::optional<strategy> parse_strategy(const std::string& name)
{
    for (const strategy s : all_strategies)
    {
        if (name == to_string(s))
        {
            return s;
        }
    }
    return std::nullopt;
}

std::size_t place_flow(strategy s, const placement_view& view,
                       const load_settings& settings, random_source& random,
                       std::size_t& round_robin_index)
{
    switch (s)
    {
    case strategy::policy:
    case strategy::no_shedding:
        return place_by_policy(view, settings, random);
    case strategy::plain_hash:
        return place_at_home(view);
    case strategy::random:
        return place_at_random(view, random);
    case strategy::round_robin:
        return place_round_robin(view, round_robin_index);
    case strategy::least_reported:
        return place_least_loaded(view, view.reported_in_flight_, random);
    case strategy::omniscient:
        return place_least_loaded(view, view.true_in_flight_, random);
    }
    return no_simulated_member;
}

} // namespace galenafork::pvt
