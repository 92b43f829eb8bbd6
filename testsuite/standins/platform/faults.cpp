#include <standins/platform/faults.h>

#include <nlohmann/json.hpp>

namespace galenafork::standin
{

namespace
{

using json = nlohmann::json;

// Moves the value of `key`, if present, from `j` to `value`. The keys that
// remain in `j` at the end are unknown.
template <class T>
void extract_key(json& j, const char* key, T& value)
{
    const auto found = j.find(key);
    if (found != j.end())
    {
        value = found->get<T>();
        j.erase(found);
    }
}

void reject_unknown_keys(const json& j)
{
    if (!j.empty())
    {
        throw std::invalid_argument("unknown key " + j.begin().key());
    }
}

fault_plan plan_from_json(json j)
{
    fault_plan plan;
    extract_key(j, "outage", plan.outage_);
    extract_key(j, "delay_ms", plan.delay_ms_);
    extract_key(j, "lose_answer_next_writes", plan.lose_answer_next_writes_);
    extract_key(j, "conflict_next_writes", plan.conflict_next_writes_);
    extract_key(j, "fail_rate", plan.fail_rate_);
    extract_key(j, "stale_read", plan.stale_read_rate_);
    json watch = json::object();
    extract_key(j, "watch", watch);
    extract_key(watch, "late_ms", plan.watch_.event_delay_ms_);
    extract_key(watch, "duplicate", plan.watch_.duplicate_rate_);
    extract_key(watch, "reorder", plan.watch_.reorder_rate_);
    reject_unknown_keys(watch);
    reject_unknown_keys(j);
    return plan;
}

} // namespace

tl::expected<fault_plan, error> parse_fault_plan(const std::string& text)
{
    try
    {
        return plan_from_json(json::parse(text));
    }
    catch (const std::exception& e)
    {
        return tl::unexpected(error{error_code::bad_message, e.what()});
    }
}

bool fault_injector::should_inject(double rate)
{
    return rate > 0 && std::uniform_real_distribution<>(0, 1)(random_) < rate;
}

bool fault_injector::consume_one(std::uint64_t& remaining)
{
    if (remaining == 0)
    {
        return false;
    }
    --remaining;
    return true;
}

} // namespace galenafork::standin
