#include "evacuation_follower.h"

#include <galenafork/log.h>
#include <libpassd/daemon_setup.h>
#include <platform/store_dialect.h>

namespace galenafork
{

namespace
{

// Bounds the memory for names in odd entries of members.
constexpr std::size_t max_known_data_centres = 256;

} // namespace

evacuation_follower::evacuation_follower(collection_store& store,
                                         kj::Timer& timer, read_pacer pacer,
                                         evacuation_read_settings settings,
                                         state_callback on_state)
    : store_(store), timer_(timer), pacer_(std::move(pacer)),
      settings_(settings), on_state_(std::move(on_state))
{
}

kj::Promise<void> evacuation_follower::follow()
{
    return read();
}

void evacuation_follower::add_known_data_centres(
    const std::vector<data_centre>& known)
{
    for (const data_centre& dc : known)
    {
        if (known_.size() < max_known_data_centres)
        {
            known_.insert(dc);
        }
    }
    log_unknown(evacuated_);
}

bool evacuation_follower::is_store_failing() const
{
    return unanswered_since_ &&
           timer_.now() - *unanswered_since_ >= to_kj(settings_.failing_after_);
}

kj::Promise<void> evacuation_follower::read()
{
    if (!unanswered_since_)
    {
        unanswered_since_ = timer_.now();
    }
    const instant began_at = pacer_.now();
    return store_
        .read_collection(platform_adapter::evacuations_collection,
                         freshness::current)
        .then(
            [this, began_at](
                tl::expected<object_page, error>&& page) -> kj::Promise<void>
            {
                if (!page)
                {
                    return handle_failure(page.error());
                }
                handle_page(*page, began_at);
                return pacer_.wait_until_due();
            })
        .then([this] { return read(); });
}

kj::Promise<void> evacuation_follower::handle_failure(const error& cause)
{
    if (!failure_logged_)
    {
        failure_logged_ = true;
        log_event(
            log_level::warning, "evacuations_unreadable",
            {{"reason", cause.message_}, {"data_centres", evacuated_.size()}});
    }
    return timer_.afterDelay(to_kj(settings_.retry_interval_));
}

void evacuation_follower::handle_page(const object_page& page, instant began_at)
{
    unanswered_since_.reset();
    failure_logged_ = false;
    const std::size_t prefix_size =
        std::string(platform_adapter::evacuations_collection).size() + 1;
    std::vector<std::string> names;
    for (const platform_object& object : page.objects_)
    {
        names.push_back(
            object.name_.substr(std::min(prefix_size, object.name_.size())));
    }
    evacuation_names selected = select_evacuations(names, known_);
    log_ignored(selected.ignored_);
    evacuated_ = std::move(selected.data_centres_);
    pacer_.note_read(began_at);
    on_state_({page.era_, page.version_, evacuated_}, began_at);
}

void evacuation_follower::log_ignored(std::size_t ignored)
{
    if (ignored != logged_ignored_ && ignored > 0)
    {
        log_event(log_level::warning, "evacuations_ignored",
                  {{"entries", ignored}});
    }
    logged_ignored_ = ignored;
}

void evacuation_follower::log_unknown(const std::vector<data_centre>& evacuated)
{
    std::set<data_centre> unknown;
    for (const data_centre& dc : evacuated)
    {
        if (known_.count(dc) != 0)
        {
            continue;
        }
        unknown.insert(dc);
        if (logged_unknown_.count(dc) == 0)
        {
            log_event(log_level::warning, "evacuation_unknown",
                      {{"data_centre", dc.value()}});
        }
    }
    // An entry that is removed and written again is logged again.
    logged_unknown_ = std::move(unknown);
}

} // namespace galenafork
