#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork::pvt
{

namespace
{

// Weight of the newest sample in a moving average.
constexpr double sample_weight = 0.1;

} // namespace

bool note_attention(pass_agent_state& state, instant now)
{
    if (state.last_attended_at_ &&
        now - *state.last_attended_at_ > state.settings_.max_unattended_)
    {
        state.resumed_at_ = now;
    }
    state.last_attended_at_ = now;
    return state.resumed_at_ &&
           now - *state.resumed_at_ < state.settings_.resume_time_;
}

void update_average(duration& average, duration sample)
{
    const auto old_value = static_cast<double>(average.count());
    const auto new_value = static_cast<double>(sample.count());
    average = duration(static_cast<duration::rep>(
        old_value + (new_value - old_value) * sample_weight));
}

void set_phase(agent_flow& flow, pass_phase phase, instant now)
{
    flow.phase_ = phase;
    flow.phase_since_ = now;
    flow.last_active_ = now;
}

void set_occupies_slot(pass_agent_state& state, agent_flow& flow, bool occupies)
{
    if (flow.occupies_slot_ != occupies)
    {
        flow.occupies_slot_ = occupies;
        state.in_flight_ =
            occupies ? state.in_flight_ + 1 : state.in_flight_ - 1;
    }
}

void add_decision(pass_actions& out, const pass_agent_state& state,
                  const flow_key& key, const agent_flow& flow,
                  const char* event, const char* reason, instant now,
                  bool important, host_address host)
{
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = reason;
    decision.flow_ = key;
    decision.opening_sequence_ = flow.opening_sequence_;
    decision.host_ = host;
    decision.version_ = flow.place_.version_;
    decision.in_flight_ = state.in_flight_;
    decision.queued_ = static_cast<std::uint32_t>(state.queue_.size());
    decision.age_ =
        std::chrono::duration_cast<duration>(now - flow.attempt_started_at_);
    decision.important_ = important;
    out.decisions_.push_back(decision);
}

void add_upstream_decision(pass_actions& out, const pass_agent_state& state,
                           const char* event, const char* reason, duration age)
{
    pass_decision decision;
    decision.event_ = event;
    decision.reason_ = reason;
    decision.in_flight_ = state.in_flight_;
    decision.queued_ = static_cast<std::uint32_t>(state.queue_.size());
    decision.age_ = age;
    decision.important_ = true;
    out.decisions_.push_back(decision);
}

void remove_from_queue(pass_agent_state& state, const flow_key& key)
{
    state.queue_.erase(
        std::remove(state.queue_.begin(), state.queue_.end(), key),
        state.queue_.end());
}

} // namespace galenafork::pvt
