#include <galenafork/load_settings.h>

namespace galenafork
{

namespace pvt
{

namespace
{

using error_list = std::vector<std::string>;

void add_error_unless(bool holds, const char* message, error_list& errors)
{
    if (!holds)
    {
        errors.emplace_back(message);
    }
}

bool is_fraction(double value)
{
    return value >= 0 && value <= 1;
}

} // namespace

} // namespace pvt

std::vector<std::string> validation_errors(const load_settings& settings)
{
    pvt::error_list errors;
    const auto& place = settings.placement_;
    pvt::add_error_unless(place.home_margin_ >= 0, "home_margin is below 0",
                          errors);
    pvt::add_error_unless(place.locality_margin_ >= 0,
                          "locality_margin is below 0", errors);
    pvt::add_error_unless(pvt::is_fraction(place.report_influence_),
                          "report_influence is not between 0 and 1", errors);
    pvt::add_error_unless(place.slowness_tolerance_ >= 1,
                          "slowness_tolerance is below 1", errors);
    pvt::add_error_unless(place.slowness_limit_ >= 1,
                          "slowness_limit is below 1", errors);
    const auto& start = settings.slow_start_;
    pvt::add_error_unless(start.floor_ > 0 && start.floor_ <= 1,
                          "slow_start_floor is 0 or less, or above 1", errors);
    pvt::add_error_unless(start.length_ >= duration(0),
                          "slow_start_length is below 0", errors);
    const auto& admission = settings.admission_;
    pvt::add_error_unless(admission.queue_per_slot_ >= 0,
                          "queue_per_slot is below 0", errors);
    pvt::add_error_unless(admission.max_wait_ > duration(0),
                          "max_wait is not above 0", errors);
    pvt::add_error_unless(admission.min_retry_after_ > duration(0),
                          "min_retry_after is not above 0", errors);
    pvt::add_error_unless(admission.max_retry_after_ >=
                              admission.min_retry_after_,
                          "max_retry_after is below min_retry_after", errors);
    pvt::add_error_unless(pvt::is_fraction(settings.retry_.retry_ratio_),
                          "retry_ratio is not between 0 and 1", errors);
    pvt::add_error_unless(settings.retry_.retry_burst_ >= 1,
                          "retry_burst is below 1", errors);
    pvt::add_error_unless(settings.deadline_.request_time_limit_ > duration(0),
                          "request_time_limit is not above 0", errors);
    pvt::add_error_unless(settings.deadline_.return_time_ >= duration(0),
                          "return_time is below 0", errors);
    return errors;
}

} // namespace galenafork
