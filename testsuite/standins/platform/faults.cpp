#include <standins/platform/faults.h>

#include <nlohmann/json.hpp>

namespace galenafork::standin
{

namespace
{

using json = nlohmann::json;

// Removes `key` from `j`, so that what is left over is unknown.
template <class T>
void take_key(json& j, const char* key, T& value)
{
    const auto found = j.find(key);
    if (found != j.end())
    {
        value = found->get<T>();
        j.erase(found);
    }
}

void refuse_rest(const json& j)
{
    if (!j.empty())
    {
        throw std::invalid_argument("unknown key " + j.begin().key());
    }
}

fault_plan plan_from(json j)
{
    fault_plan plan;
    take_key(j, "outage", plan.outage_);
    take_key(j, "delay_ms", plan.delay_ms_);
    take_key(j, "lose_answer_next_writes", plan.lose_answer_next_writes_);
    take_key(j, "conflict_next_writes", plan.conflict_next_writes_);
    take_key(j, "fail_rate", plan.fail_rate_);
    take_key(j, "stale_read", plan.stale_read_rate_);
    json watch = json::object();
    take_key(j, "watch", watch);
    take_key(watch, "late_ms", plan.watch_.late_ms_);
    take_key(watch, "duplicate", plan.watch_.duplicate_rate_);
    take_key(watch, "reorder", plan.watch_.reorder_rate_);
    refuse_rest(watch);
    refuse_rest(j);
    return plan;
}

} // namespace

tl::expected<fault_plan, error> read_fault_plan(const std::string& text)
{
    try
    {
        return plan_from(json::parse(text));
    }
    catch (const std::exception& e)
    {
        return tl::unexpected(error{error_code::bad_message, e.what()});
    }
}

bool fault_injector::draw(double rate)
{
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
}

bool fault_injector::take(std::uint64_t& remaining)
{
    if (remaining == 0)
    {
        return false;
    }
    --remaining;
    return true;
}

} // namespace galenafork::standin
