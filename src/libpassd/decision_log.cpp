#include "decision_log.h"

#include <galenafork/log.h>

namespace galenafork
{

namespace
{

constexpr duration budget_window = std::chrono::seconds(1);

std::string flow_id(const pass_decision& d)
{
    return to_string(d.flow_.caller_) + ">" +
           to_string(d.flow_.service_address_) + "#" +
           std::to_string(d.opening_sequence_);
}

void write_search(const pass_decision& d, duration log_delay)
{
    log_event(log_level::info, d.event_,
              {{"flow", flow_id(d)},
               {"reason", d.reason_},
               {"peer", to_string(d.host_)},
               {"asked", d.search_->asked_},
               {"denied", d.search_->denied_},
               {"undecided", d.search_->undecided_},
               {"ruled_out", d.search_->ruled_out_},
               {"rules", d.version_.value()},
               {"ago_us", log_delay.count()}});
}

void write(const pass_decision& d, duration log_delay)
{
    if (d.search_)
    {
        write_search(d, log_delay);
        return;
    }
    const bool has_flow = d.flow_.caller_.port_ != 0;
    const bool has_host = d.host_ != host_address();
    log_event(log_level::info, d.event_,
              {{"flow", has_flow ? flow_id(d) : std::string("-")},
               {"reason", *d.reason_ != '\0' ? d.reason_ : "-"},
               {"peer", has_host ? to_string(d.host_) : std::string("-")},
               {"busy", d.in_flight_},
               {"held", d.queued_},
               {"age_us", d.age_.count()},
               {"rules", d.version_.value()},
               {"ago_us", log_delay.count()}});
}

} // namespace

decision_log::decision_log(const decision_log_settings& settings,
                           metrics_registry& metrics)
    : settings_(settings),
      omitted_total_(metrics.add_counter(
          "galena_log_omitted_total",
          "Decisions not logged because the log's budget was spent."))
{
}

bool decision_log::consume_budget(const pass_decision& decision, instant now)
{
    if (now - window_started_at_ >= budget_window)
    {
        window_started_at_ = now;
        ordinary_count_ = 0;
        important_count_ = 0;
    }
    std::size_t& count =
        decision.important_ ? important_count_ : ordinary_count_;
    const std::size_t max_count = decision.important_
                                      ? settings_.important_per_second_
                                      : settings_.ordinary_per_second_;
    if (count >= max_count)
    {
        return false;
    }
    ++count;
    return true;
}

void decision_log::add(std::vector<pass_decision>& decisions, instant now)
{
    if (decisions.empty())
    {
        return;
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const pass_decision& decision : decisions)
    {
        if (consume_budget(decision, now))
        {
            entries_.push_back({now, decision});
        }
        else
        {
            ++omitted_;
        }
    }
    decisions.clear();
}

void decision_log::flush()
{
    std::vector<entry> entries;
    std::uint64_t omitted = 0;
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        entries.swap(entries_);
        std::swap(omitted, omitted_);
    }
    const instant now = read_monotonic_clock();
    const log_batch batch;
    for (const entry& e : entries)
    {
        write(e.decision_, now - e.added_at_);
    }
    if (omitted > 0)
    {
        omitted_total_.add(omitted);
        log_event(log_level::warning, "log_omitted", {{"decisions", omitted}});
    }
}

} // namespace galenafork
