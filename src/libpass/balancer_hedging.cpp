/// \file
/// A balancer's decisions about hedges of opening segments.

#include <libpass/balancer_pvt.h>

namespace galenafork
{

namespace
{

// Minimum time between two log lines about denied hedges. In overload nearly
// every opening segment waits and no hedge is allowed.
constexpr duration denial_log_interval = std::chrono::milliseconds(200);

void log_denial(pass_balancer_state& state, const tracked_opening& opening,
                const char* reason, instant now, pass_actions& out)
{
    if (now - state.hedging_.denial_logged_at_ < denial_log_interval)
    {
        return;
    }
    state.hedging_.denial_logged_at_ = now;
    pvt::add_decision(out, "hedge_denied", reason, opening.segment_,
                      opening.first_, false, state, now);
}

// Returns whether the balancer still knows where the opening segment went.
bool is_current(const pass_balancer_state& state,
                const tracked_opening& opening)
{
    const auto it = state.flows_.find(opening.segment_.flow_);
    return it != state.flows_.end() &&
           it->second.opening_sequence_ == opening.segment_.sequence_ &&
           it->second.owner_ != host_address();
}

void hedge(pass_balancer_state& state, tracked_opening& opening, instant now,
           pass_actions& out)
{
    if (!is_current(state, opening))
    {
        return;
    }
    if (!covers_hedge(state.hedging_.budget_))
    {
        ++state.hedging_.denied_by_limit_;
        log_denial(state, opening, "limit", now, out);
        return;
    }
    if (!pvt::place_hedge(state, opening, now, out))
    {
        log_denial(state, opening, "no_free_agent", now, out);
        return;
    }
    note_hedge(state.hedging_, opening,
               state.flows_.at(opening.segment_.flow_).owner_);
}

} // namespace

void note_owner_report(pass_balancer_state& state,
                       const flow_owner_message& message)
{
    if (message.hedged_)
    {
        note_hedge_offered(state.hedging_, message.flow_, message.owner_);
    }
}

void handle_hedge_tick(pass_balancer_state& state, instant now,
                       pass_actions& out)
{
    const hedge_settings& settings = state.settings_.hedging_;
    for (tracked_opening* opening :
         take_due_openings(state.hedging_, settings, now))
    {
        hedge(state, *opening, now, out);
    }
    const auto owner_of = [&](const flow_key& flow)
    {
        const auto it = state.flows_.find(flow);
        return it == state.flows_.end() ? host_address() : it->second.owner_;
    };
    settle_hedges(state.hedging_, settings, owner_of, now);
    remove_expired(state.hedging_, settings, now);
}

} // namespace galenafork
