#include "placement_adapter.h"

#include <galenafork/load_policy.h>

namespace galenafork
{

namespace
{

// Number of values of a 32-bit integer. Dividing a random one by it gives a
// number in [0, 1).
constexpr double uint32_value_count = 4294967296.0;

// A load report says whether a member is cold, but not since when. A cold
// member counts as having completed 1 / cold_start_divisor of its slow start.
constexpr int cold_start_divisor = 2;

load_candidate make_candidate(const agent_state& state, const member& m,
                              const member& home)
{
    load_candidate candidate;
    candidate.same_data_centre_ = m.data_centre_ == home.data_centre_;
    candidate.accepts_new_flows_ = m.state_ == member_state::serving;
    candidate.slots_ = m.slots_;
    const auto received_load = state.peer_loads_.find(m.instance_);
    const bool is_self = incarnation_of(m) == state.self_;
    const load_report* report = nullptr;
    if (is_self)
    {
        report = &state.load_;
    }
    else if (received_load != state.peer_loads_.end())
    {
        report = &received_load->second.report_;
        candidate.assigned_since_report_ =
            received_load->second.assigned_since_report_;
    }
    if (report == nullptr)
    {
        candidate.accepts_new_flows_ = false;
        return candidate;
    }
    candidate.in_flight_ = report->in_flight_;
    if (report->cold_)
    {
        candidate.serving_for_ =
            state.load_settings_.slow_start_.length_ / cold_start_divisor;
    }
    return candidate;
}

} // namespace

instance_incarnation choose_by_load(const agent_state& state,
                                    bucket_id /*bucket*/, instant /*now*/,
                                    std::uint64_t random_bits)
{
    const member* self = find_incarnation(state.view_, state.self_);
    if (self == nullptr)
    {
        return state.self_;
    }
    std::vector<load_candidate> candidates{make_candidate(state, *self, *self)};
    std::vector<instance_incarnation> incarnations{state.self_};
    for (const member* peer : live_peers(state.view_, state.self_))
    {
        candidates.push_back(make_candidate(state, *peer, *self));
        incarnations.push_back(incarnation_of(*peer));
    }
    const placement_random_values random_values{
        static_cast<double>(random_bits & 0xffffffffU) / uint32_value_count,
        static_cast<double>(random_bits >> 32U) / uint32_value_count};
    const auto chosen =
        choose_owner(candidates, 0, state.load_settings_, random_values);
    return chosen ? incarnations[chosen->index_] : state.self_;
}

} // namespace galenafork
