#include <galenafork/load_settings.h>

namespace galenafork
{

namespace pvt
{

namespace
{

using faults = std::vector<std::string>;

void expect(bool holds, const char* sentence, faults& found)
{
    if (!holds)
    {
        found.emplace_back(sentence);
    }
}

bool is_share(double value)
{
    return value >= 0 && value <= 1;
}

} // namespace

} // namespace pvt

std::vector<std::string> validation_errors(const load_settings& settings)
{
    pvt::faults found;
    const auto& place = settings.placement_;
    pvt::expect(place.home_margin_ >= 0, "home_margin is below 0", found);
    pvt::expect(place.locality_margin_ >= 0, "locality_margin is below 0",
                found);
    pvt::expect(pvt::is_share(place.report_influence_),
                "report_influence is not within 0 to 1", found);
    pvt::expect(place.slowness_tolerance_ >= 1, "slowness_tolerance is below 1",
                found);
    pvt::expect(place.slowness_limit_ >= 1, "slowness_limit is below 1", found);
    const auto& start = settings.slow_start_;
    pvt::expect(start.floor_ > 0 && start.floor_ <= 1,
                "slow_start_floor is not above 0 and up to 1", found);
    pvt::expect(start.length_ >= duration(0), "slow_start_length is below 0",
                found);
    const auto& admission = settings.admission_;
    pvt::expect(admission.queue_per_slot_ >= 0, "queue_per_slot is below 0",
                found);
    pvt::expect(admission.max_wait_ > duration(0), "max_wait is not above 0",
                found);
    pvt::expect(admission.min_retry_after_ > duration(0),
                "min_retry_after is not above 0", found);
    pvt::expect(admission.max_retry_after_ >= admission.min_retry_after_,
                "max_retry_after is below min_retry_after", found);
    pvt::expect(pvt::is_share(settings.retry_.retry_ratio_),
                "retry_ratio is not within 0 to 1", found);
    pvt::expect(settings.retry_.retry_burst_ >= 1, "retry_burst is below 1",
                found);
    pvt::expect(settings.deadline_.request_time_limit_ > duration(0),
                "request_time_limit is not above 0", found);
    pvt::expect(settings.deadline_.return_time_ >= duration(0),
                "return_time is below 0", found);
    return found;
}

} // namespace galenafork
