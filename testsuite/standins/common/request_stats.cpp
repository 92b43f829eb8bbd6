#include <common/request_stats.h>

#include <common/log.h>

#include <algorithm>

namespace galenafork::standin
{

namespace
{

constexpr std::size_t percent = 100;

const char* to_string(intake_state state)
{
    switch (state)
    {
    case intake_state::ran:
        return "ran";
    case intake_state::did_not_run:
        return "did_not_run";
    case intake_state::may_have_run:
        return "may_have_run";
    case intake_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

request_stats::request_stats(const std::string& path)
{
    if (!path.empty())
    {
        intakes_file_.open(path, std::ios::app);
    }
}

void request_stats::count_outcome(outcome result, const std::string& reason)
{
    switch (result)
    {
    case outcome::answered:
        ++answered_;
        return;
    case outcome::refused:
        ++refused_;
        break;
    case outcome::broken:
        ++broken_;
        break;
    case outcome::misdelivered:
        ++misdelivered_;
        break;
    }
    ++reasons_[reason];
}

void request_stats::write_intake_state(intake_state state,
                                       const std::string& id)
{
    intakes_file_ << to_string(state) << ' ' << id << std::endl;
}

std::string request_stats::summary() const
{
    std::ostringstream text;
    text << "caller sent=" << sent_ << " answered=" << answered_
         << " refused=" << refused_ << " broken=" << broken_
         << " doubled=0 misdelivered=" << misdelivered_;
    return text.str();
}

void request_stats::log_details()
{
    log_line line("details");
    line.with("late", late_answers_);
    for (const auto& [reason, count] : reasons_)
    {
        line.with(reason.c_str(), count);
    }
    if (latencies_.empty())
    {
        return;
    }
    std::sort(latencies_.begin(), latencies_.end());
    for (const std::size_t rank : {50, 99})
    {
        const std::string key = "p" + std::to_string(rank) + "_us";
        line.with(key.c_str(),
                  latencies_[latencies_.size() * rank / percent].count());
    }
}

} // namespace galenafork::standin
