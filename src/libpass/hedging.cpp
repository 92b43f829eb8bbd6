#include <galenafork/hedging.h>

#include <algorithm>

namespace galenafork
{

namespace
{

constexpr std::uint32_t hundredths_per_hedge = 100;

// Percentile of the samples that is the hedge delay.
constexpr std::size_t delay_percentile = 95;

// Returns the opening of `entry`, or null if it is no longer tracked.
tracked_opening* find_opening(hedge_state& state,
                              const hedge_state::entry& entry)
{
    const auto it = state.openings_.find(entry.flow_);
    return it != state.openings_.end() && it->second.id_ == entry.id_
               ? &it->second
               : nullptr;
}

bool has_hedge(const tracked_opening& opening)
{
    return opening.phase_ == hedge_phase::hedged ||
           opening.phase_ == hedge_phase::continued;
}

// Returns the agent of the first transmission if `agent` has the hedge, and the
// agent of the hedge otherwise.
host_address other_than(const tracked_opening& opening, host_address agent)
{
    return agent == opening.second_ ? opening.first_ : opening.second_;
}

} // namespace

void add_opening(hedge_budget& budget, const hedge_settings& settings)
{
    budget.hundredths_ = std::min(budget.hundredths_ + settings.percent_,
                                  settings.burst_ * hundredths_per_hedge);
}

bool covers_hedge(const hedge_budget& budget)
{
    return budget.hundredths_ >= hundredths_per_hedge;
}

void take_hedge(hedge_budget& budget)
{
    budget.hundredths_ -= hundredths_per_hedge;
}

void add_sample(delay_samples& samples, duration sample)
{
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(sample).count();
    const auto value =
        static_cast<std::uint8_t>(std::clamp<decltype(milliseconds)>(
            milliseconds, 0, delay_samples::max_value));
    std::uint8_t& slot = samples.recent_.at(samples.next_);
    if (samples.size_ == delay_samples::capacity)
    {
        --samples.counts_.at(slot);
    }
    else
    {
        ++samples.size_;
    }
    slot = value;
    ++samples.counts_.at(value);
    samples.next_ = (samples.next_ + 1) % delay_samples::capacity;
}

duration hedge_delay(const delay_samples& samples,
                     const hedge_settings& settings)
{
    if (samples.size_ < settings.min_samples_)
    {
        return settings.initial_delay_;
    }
    // The number of samples up to and including the percentile, rounded up.
    const std::size_t rank = (samples.size_ * delay_percentile + 99) / 100;
    std::size_t seen = 0;
    std::size_t value = 0;
    for (; value < delay_samples::max_value; ++value)
    {
        seen += samples.counts_.at(value);
        if (seen >= rank)
        {
            break;
        }
    }
    // Samples were rounded down to whole milliseconds.
    const duration delay = std::chrono::milliseconds(value + 1);
    return std::clamp(delay, settings.min_delay_, settings.max_delay_);
}

void track_opening(hedge_state& state, const hedge_settings& settings,
                   const segment_header& s, byte_view bytes, host_address agent,
                   instant now)
{
    add_opening(state.budget_, settings);
    const bool is_new = state.openings_.count(s.flow_) == 0;
    // Entries of openings that ended early stay in the lists until they expire,
    // so the lists are limited as well.
    if ((is_new && state.openings_.size() >= settings.max_tracked_) ||
        state.undecided_.size() >= settings.max_tracked_)
    {
        return;
    }
    tracked_opening opening;
    opening.id_ = ++state.last_id_;
    opening.segment_ = s;
    opening.packet_.assign(bytes.data_, bytes.data_ + bytes.size_);
    opening.placed_at_ = now;
    opening.first_ = agent;
    state.undecided_.push_back({opening.id_, now, s.flow_});
    state.openings_[s.flow_] = std::move(opening);
}

std::vector<tracked_opening*> take_due_openings(hedge_state& state,
                                                const hedge_settings& settings,
                                                instant now)
{
    std::vector<tracked_opening*> due;
    const bool was_late = now - state.checked_at_ > settings.max_check_gap_;
    state.checked_at_ = now;
    // A process that runs in short slices is late at every check.
    state.check_skipped_ = was_late && !state.check_skipped_;
    if (state.check_skipped_)
    {
        return due;
    }
    const duration delay = hedge_delay(state.samples_, settings);
    while (!state.undecided_.empty() &&
           now - state.undecided_.front().placed_at_ >= delay)
    {
        const hedge_state::entry entry = state.undecided_.front();
        state.undecided_.pop_front();
        tracked_opening* opening = find_opening(state, entry);
        if (opening == nullptr)
        {
            continue;
        }
        state.retained_.push_back(entry);
        if (opening->phase_ != hedge_phase::waiting)
        {
            continue;
        }
        opening->phase_ = hedge_phase::not_hedged;
        if (now - entry.placed_at_ < settings.retransmission_age_)
        {
            due.push_back(opening);
        }
    }
    return due;
}

void note_hedge(hedge_state& state, tracked_opening& opening,
                host_address first)
{
    opening.phase_ = hedge_phase::hedged;
    opening.first_ = first;
    opening.packet_ = {};
    state.unsettled_.push_back(
        {opening.id_, opening.placed_at_, opening.segment_.flow_});
    take_hedge(state.budget_);
    ++state.sent_;
}

void note_hedge_offered(hedge_state& state, const flow_key& flow,
                        host_address agent)
{
    const auto it = state.openings_.find(flow);
    if (it != state.openings_.end() && has_hedge(it->second))
    {
        it->second.second_ = agent;
    }
}

host_address note_retransmission(hedge_state& state, const segment_header& s)
{
    const auto it = state.openings_.find(s.flow_);
    if (it == state.openings_.end() ||
        it->second.segment_.sequence_ != s.sequence_)
    {
        return {};
    }
    tracked_opening& opening = it->second;
    if (opening.phase_ == hedge_phase::waiting)
    {
        opening.phase_ = hedge_phase::not_hedged;
    }
    return has_hedge(opening) ? opening.first_ : host_address();
}

host_address note_continuation(hedge_state& state,
                               const hedge_settings& settings,
                               const segment_header& s, host_address owner,
                               instant now)
{
    const auto it = state.openings_.find(s.flow_);
    if (it == state.openings_.end())
    {
        return owner;
    }
    tracked_opening& opening = it->second;
    if (opening.phase_ != hedge_phase::continued)
    {
        add_sample(state.samples_, std::chrono::duration_cast<duration>(
                                       now - opening.placed_at_));
        if (opening.phase_ != hedge_phase::hedged)
        {
            state.openings_.erase(it);
            return owner;
        }
        opening.phase_ = hedge_phase::continued;
        opening.continued_at_ = now;
        opening.continued_sequence_ = s.sequence_;
        opening.continued_data_bytes_ = s.data_bytes_;
        return opening.second_ != host_address() ? opening.second_ : owner;
    }
    if (opening.continued_data_bytes_ == 0)
    {
        // So far the caller has only acknowledged the answer.
        opening.continued_at_ = now;
        opening.continued_sequence_ = s.sequence_;
        opening.continued_data_bytes_ = s.data_bytes_;
        return owner;
    }
    const bool repeats = s.sequence_ == opening.continued_sequence_ &&
                         s.data_bytes_ == opening.continued_data_bytes_ &&
                         now - opening.continued_at_ >= settings.repeat_time_;
    if (!repeats || opening.repeated_ || opening.second_ == host_address())
    {
        return owner;
    }
    opening.repeated_ = true;
    return other_than(opening, owner);
}

host_address agent_after_return(hedge_state& state, const flow_key& flow,
                                host_address returned_by)
{
    const auto it = state.openings_.find(flow);
    if (it == state.openings_.end() || it->second.second_ == host_address() ||
        it->second.returned_)
    {
        return {};
    }
    it->second.returned_ = true;
    return other_than(it->second, returned_by);
}

void settle_hedges(hedge_state& state, const hedge_settings& settings,
                   const std::function<host_address(const flow_key&)>& owner_of,
                   instant now)
{
    auto& unsettled = state.unsettled_;
    unsettled.erase(
        std::remove_if(
            unsettled.begin(), unsettled.end(),
            [&](const hedge_state::entry& entry)
            {
                const tracked_opening* opening = find_opening(state, entry);
                if (opening == nullptr)
                {
                    return true;
                }
                if (opening->phase_ != hedge_phase::continued ||
                    now - opening->continued_at_ < settings.settle_time_)
                {
                    return false;
                }
                const host_address owner = owner_of(entry.flow_);
                if (owner != host_address() && owner == opening->second_)
                {
                    ++state.won_;
                }
                return true;
            }),
        unsettled.end());
}

void remove_expired(hedge_state& state, const hedge_settings& settings,
                    instant now)
{
    while (!state.retained_.empty() &&
           now - state.retained_.front().placed_at_ > settings.retention_)
    {
        const hedge_state::entry& entry = state.retained_.front();
        if (find_opening(state, entry) != nullptr)
        {
            state.openings_.erase(entry.flow_);
        }
        state.retained_.pop_front();
    }
}

} // namespace galenafork
