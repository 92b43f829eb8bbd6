#include "membership.h"

#include <galenafork/platform_setup.h>
#include <galenafork/time.h>

namespace galenafork
{

namespace
{

// A change is given up after this many conflicting writes by others.
constexpr int max_attempts = 20;
// Pauses between attempts are random, so that concurrent writers of one roster
// do not keep conflicting.
constexpr std::uint64_t max_retry_pause_ms = 60;

roster empty_roster(const service_name& service)
{
    roster r;
    r.service_ = service;
    return r;
}

bool is_member(const roster& r, const instance_incarnation& requester)
{
    const member* found = find_member(r, requester.instance_);
    return found != nullptr && found->incarnation_ == requester.incarnation_;
}

} // namespace

membership::membership(const service_name& service,
                       membership_dependencies dependencies)
    : service_(service), object_(roster_object_name(service)),
      dependencies_(std::move(dependencies)), fetch_(kj::READY_NOW)
{
}

void membership::apply_object(const platform_object& object)
{
    if (object.version_ <= newest_version_)
    {
        return;
    }
    const auto read = roster_from_json(object.value_);
    if (read)
    {
        newest_version_ = object.version_;
        dependencies_.on_roster_(*read);
    }
}

void membership::fetch()
{
    if (fetching_)
    {
        return;
    }
    fetching_ = true;
    fetch_ = dependencies_.store_.get(object_)
                 .then(
                     [this](tl::expected<platform_object, error> read)
                     {
                         fetching_ = false;
                         if (read)
                         {
                             apply_object(*read);
                         }
                     })
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> membership::watch(duration wait)
{
    return dependencies_.store_.watch(object_, newest_version_, wait)
        .then(
            [this](watch_result result)
            {
                if (result && *result)
                {
                    apply_object(**result);
                }
            });
}

kj::Promise<change_result>
membership::change(roster_change wanted,
                   std::optional<instance_incarnation> requester)
{
    return try_change(
        change_request{std::move(wanted), std::move(requester), 0});
}

kj::Promise<change_result> membership::try_change(change_request r)
{
    return dependencies_.store_.get(object_).then(
        [this,
         r = std::move(r)](tl::expected<platform_object, error>&& read) mutable
        -> kj::Promise<change_result>
        {
            if (!read && read.error().code_ == error_code::not_found)
            {
                return write(std::move(r), empty_roster(service_),
                             no_object_version);
            }
            if (!read)
            {
                return change_result(tl::unexpected(read.error()));
            }
            apply_object(*read);
            const auto current = roster_from_json(read->value_);
            if (!current)
            {
                return change_result(tl::unexpected(current.error()));
            }
            return write(std::move(r), *current, read->version_);
        });
}

kj::Promise<change_result> membership::write(change_request r,
                                             const roster& current,
                                             object_version version)
{
    if (r.requester_ && !is_member(current, *r.requester_))
    {
        return change_result(tl::unexpected(
            error{error_code::refused,
                  "the requesting instance is not a member of the roster"}));
    }
    r.wanted_.write_ =
        make_write_id(dependencies_.random_(), dependencies_.random_());
    auto next = apply(current, r.wanted_);
    if (!next)
    {
        return change_result(tl::unexpected(next.error()));
    }
    const instant sent_at = read_monotonic_clock();
    object_write update{object_, version, to_json(*next), r.wanted_.write_};
    return dependencies_.store_.put_if(std::move(update))
        .then(
            [this, r = std::move(r), next = std::move(*next), sent_at](
                write_result&& result) mutable -> kj::Promise<change_result>
            {
                switch (result.outcome_)
                {
                case write_outcome::accepted:
                    if (result.current_)
                    {
                        return change_result(confirm_change(
                            r.wanted_, *result.current_, sent_at));
                    }
                    dependencies_.on_roster_(next);
                    return change_result(
                        written_change{std::move(next), sent_at});
                case write_outcome::not_accepted:
                    return retry_change(std::move(r));
                case write_outcome::unknown:
                    break;
                }
                return change_result(tl::unexpected(error{
                    error_code::unknown_outcome, result.reason_.message_}));
            });
}

change_result membership::confirm_change(const roster_change& wanted,
                                         const platform_object& object,
                                         instant sent_at)
{
    apply_object(object);
    auto read = roster_from_json(object.value_);
    if (!read)
    {
        return tl::unexpected(read.error());
    }
    if (is_undone(*read, wanted))
    {
        return tl::unexpected(error{error_code::conflict,
                                    "another writer has undone the change"});
    }
    return written_change{std::move(*read), sent_at};
}

kj::Promise<change_result> membership::retry_change(change_request r)
{
    if (++r.attempt_ >= max_attempts)
    {
        return change_result(tl::unexpected(
            error{error_code::conflict,
                  "gave up after too many conflicting writes by others"}));
    }
    const auto pause =
        (1 + dependencies_.random_() % max_retry_pause_ms) * kj::MILLISECONDS;
    return dependencies_.timer_.afterDelay(pause).then(
        [this, r = std::move(r)]() mutable
        { return try_change(std::move(r)); });
}

} // namespace galenafork
