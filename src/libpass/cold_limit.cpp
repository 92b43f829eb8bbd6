#include <galenafork/cold_limit.h>

#include <libpass/agent_pvt.h>

#include <algorithm>

namespace galenafork
{

void apply_cold_rate(cold_limit& limit, double rate, pass_rules_version version)
{
    if (version > limit.version_ || (version == limit.version_ && rate > 0))
    {
        limit.rate_ = rate;
        limit.version_ = version;
    }
}

void note_opening_sent(cold_limit& limit, const cold_limit_settings& settings,
                       instant now)
{
    while (!limit.sent_.empty() &&
           now - limit.sent_.front() >= settings.window_)
    {
        limit.sent_.pop_front();
    }
    limit.sent_.push_back(now);
}

duration cold_limit_wait(const cold_limit& limit,
                         const cold_limit_settings& settings,
                         std::size_t position, instant now)
{
    if (limit.rate_ <= 0)
    {
        return duration(0);
    }
    const auto max_openings = static_cast<std::size_t>(
        limit.rate_ * settings.overage_ + settings.slack_);
    if (max_openings == 0)
    {
        return duration::max();
    }
    const auto first = std::find_if(
        limit.sent_.begin(), limit.sent_.end(),
        [&](instant sent_at) { return now - sent_at < settings.window_; });
    const auto sent =
        static_cast<std::size_t>(std::distance(first, limit.sent_.end()));
    if (sent + position <= max_openings)
    {
        return duration(0);
    }
    // The opening takes the place of an earlier one, which leaves the window.
    // Those sent now and later stay in it for a whole window each.
    const std::size_t earlier = sent + position - max_openings - 1;
    if (earlier < sent)
    {
        return std::chrono::duration_cast<duration>(
            *(first + static_cast<std::ptrdiff_t>(earlier)) + settings.window_ -
            now);
    }
    const std::size_t windows = (earlier - sent) / max_openings + 1;
    return settings.window_ * static_cast<duration::rep>(windows);
}

namespace pvt
{

// Load pattern: an upstream starts while its service is busy, and all balancers
// choose it because it is idle. A cold upstream that gets more requests than it
// can take answers all of them late.
duration cold_wait(const pass_agent_state& state, std::size_t position,
                   instant now)
{
    if (now >= state.upstream_cold_until_ || state.cold_limit_.rate_ <= 0)
    {
        return duration(0);
    }
    const cold_limit_settings& settings = state.settings_.cold_limit_;
    duration wait = cold_limit_wait(state.cold_limit_, settings, position, now);
    if (!state.saw_upstream_start_)
    {
        // An earlier agent may have used up the limit.
        wait = std::max(wait, std::chrono::duration_cast<duration>(
                                  state.started_at_ + settings.window_ - now));
    }
    return std::min(wait, std::chrono::duration_cast<duration>(
                              state.upstream_cold_until_ - now));
}

bool is_cold_limited(const pass_agent_state& state, instant now)
{
    return cold_wait(state, 1, now) > duration(0);
}

void note_cold_rate(pass_agent_state& state, const place_message& place)
{
    if (place.service_ == state.upstream_.service_)
    {
        apply_cold_rate(state.cold_limit_, place.cold_rate_, place.version_);
    }
}

void send_opening(pass_agent_state& state,
                  const std::vector<std::uint8_t>& packet, instant now,
                  pass_actions& out)
{
    note_opening_sent(state.cold_limit_, state.settings_.cold_limit_, now);
    await_upstream(state, now);
    out.send_to_upstream({packet.data(), packet.size()});
}

} // namespace pvt

} // namespace galenafork
