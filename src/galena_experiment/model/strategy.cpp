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
    double rest = random.uniform() * total;
    std::size_t chosen = nobody;
    for (std::size_t i = 0; i < view.candidates_.size() && rest >= 0; ++i)
    {
        if (view.candidates_[i].accepts_new_flows_)
        {
            chosen = i;
            rest -= slots_of(view.candidates_[i]);
        }
    }
    return chosen;
}

std::size_t place_in_turn(const placement_view& view, std::size_t& turn)
{
    const std::size_t count = view.candidates_.size();
    for (std::size_t tried = 0; tried < count; ++tried)
    {
        const std::size_t index = turn++ % count;
        if (view.candidates_[index].accepts_new_flows_)
        {
            return index;
        }
    }
    return nobody;
}

// The open member with the lowest `load` per slot; ties are broken at random.
template <class Load>
std::size_t place_at_least(const placement_view& view,
                           const std::vector<Load>& load, random_source& random)
{
    std::size_t best = nobody;
    double best_load = 0;
    int ties = 0;
    for (std::size_t i = 0; i < view.candidates_.size(); ++i)
    {
        const double own =
            static_cast<double>(load[i]) / slots_of(view.candidates_[i]);
        if (!view.candidates_[i].accepts_new_flows_ ||
            (best != nobody && own > best_load))
        {
            continue;
        }
        ties = best == nobody || own < best_load ? 1 : ties + 1;
        if (random.uniform() * ties < 1)
        {
            best = i;
        }
        best_load = own;
    }
    return best;
}

std::size_t place_by_policy(const placement_view& view,
                            const load_settings& settings,
                            random_source& random)
{
    placement_draws draws;
    draws.first_ = random.uniform();
    draws.second_ = random.uniform();
    const auto chosen =
        choose_owner(view.candidates_, view.home_, settings, draws);
    return chosen ? chosen->index_ : nobody;
}

std::size_t place_at_home(const placement_view& view)
{
    return view.candidates_[view.home_].accepts_new_flows_ ? view.home_
                                                           : nobody;
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

std::optional<strategy> strategy_named(const std::string& name)
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

std::size_t place(strategy s, const placement_view& view,
                  const load_settings& settings, random_source& random,
                  std::size_t& turn)
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
        return place_in_turn(view, turn);
    case strategy::least_reported:
        return place_at_least(view, view.reported_, random);
    case strategy::omniscient:
        return place_at_least(view, view.true_in_flight_, random);
    }
    return nobody;
}

} // namespace galenafork::pvt
