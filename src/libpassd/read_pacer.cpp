#include "read_pacer.h"

#include <galenafork/read_schedule.h>
#include <libpassd/daemon_setup.h>

namespace galenafork
{

read_pacer::read_pacer(duration max_age, pacer_dependencies dependencies)
    : max_age_(max_age), dependencies_(std::move(dependencies))
{
}

void read_pacer::note_read(instant began_at)
{
    if (began_at > last_read_)
    {
        last_read_ = began_at;
        due_at_ = began_at + read_delay(max_age_, dependencies_.random_());
    }
}

kj::Promise<void> read_pacer::wait_until_due()
{
    note_read(dependencies_.latest_read_());
    const instant now = dependencies_.clock_();
    if (now >= due_at_)
    {
        return kj::READY_NOW;
    }
    const auto wait = std::chrono::duration_cast<duration>(due_at_ - now);
    return dependencies_.timer_.afterDelay(to_kj(wait))
        .then([this] { return wait_until_due(); });
}

} // namespace galenafork
