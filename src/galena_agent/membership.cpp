#include "membership.h"

#include <galenafork/platform_setup.h>
#include <galenafork/time.h>

namespace galenafork
{

namespace
{

// Writers of one roster that keep losing give up after so many tries.
constexpr int max_attempts = 20;
constexpr std::uint64_t longest_pause_ms = 60;

roster empty_roster(const service_name& service)
{
    roster r;
    r.service_ = service;
    return r;
}

bool is_member(const roster& r, const instance_incarnation& life)
{
    const member* found = find_member(r, life.instance_);
    return found != nullptr && found->incarnation_ == life.incarnation_;
}

} // namespace

membership::membership(const service_name& service,
                       membership_dependencies needs)
    : service_(service), object_(roster_object_name(service)),
      needs_(std::move(needs)), fetch_(kj::READY_NOW)
{
}

void membership::take(const platform_object& object)
{
    if (object.version_ <= newest_)
    {
        return;
    }
    const auto read = roster_from_json(object.value_);
    if (read)
    {
        newest_ = object.version_;
        needs_.on_roster_(*read);
    }
}

void membership::fetch()
{
    if (fetching_)
    {
        return;
    }
    fetching_ = true;
    fetch_ = needs_.store_.get(object_)
                 .then(
                     [this](tl::expected<platform_object, error> read)
                     {
                         fetching_ = false;
                         if (read)
                         {
                             take(*read);
                         }
                     })
                 .eagerlyEvaluate(nullptr);
}

kj::Promise<void> membership::watch(duration wait)
{
    return needs_.store_.watch(object_, newest_, wait)
        .then(
            [this](watch_result result)
            {
                if (result && *result)
                {
                    take(**result);
                }
            });
}

kj::Promise<change_result>
membership::change(roster_change wanted,
                   std::optional<instance_incarnation> requester)
{
    return try_change(request{std::move(wanted), std::move(requester), 0});
}

kj::Promise<change_result> membership::try_change(request r)
{
    return needs_.store_.get(object_).then(
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
            take(*read);
            const auto current = roster_from_json(read->value_);
            if (!current)
            {
                return change_result(tl::unexpected(current.error()));
            }
            return write(std::move(r), *current, read->version_);
        });
}

kj::Promise<change_result> membership::write(request r, const roster& current,
                                             object_version version)
{
    if (r.requester_ && !is_member(current, *r.requester_))
    {
        return change_result(tl::unexpected(
            error{error_code::refused, "the requester is no member"}));
    }
    r.wanted_.write_ = make_write_id(needs_.random_(), needs_.random_());
    auto next = apply(current, r.wanted_);
    if (!next)
    {
        return change_result(tl::unexpected(next.error()));
    }
    const instant sent = read_monotonic_clock();
    object_write update{object_, version, to_json(*next), r.wanted_.write_};
    return needs_.store_.put_if(std::move(update))
        .then(
            [this, r = std::move(r), next = std::move(*next),
             sent](write_result&& result) mutable -> kj::Promise<change_result>
            {
                switch (result.outcome_)
                {
                case write_outcome::accepted:
                    if (result.current_)
                    {
                        return change_result(
                            settled(r.wanted_, *result.current_, sent));
                    }
                    needs_.on_roster_(next);
                    return change_result(written_change{std::move(next), sent});
                case write_outcome::not_accepted:
                    return try_again(std::move(r));
                case write_outcome::unknown:
                    break;
                }
                return change_result(tl::unexpected(error{
                    error_code::unknown_outcome, result.reason_.message_}));
            });
}

change_result membership::settled(const roster_change& wanted,
                                  const platform_object& object, instant sent)
{
    take(object);
    auto read = roster_from_json(object.value_);
    if (!read)
    {
        return tl::unexpected(read.error());
    }
    if (is_undone(*read, wanted))
    {
        return tl::unexpected(
            error{error_code::conflict, "another writer has undone it since"});
    }
    return written_change{std::move(*read), sent};
}

kj::Promise<change_result> membership::try_again(request r)
{
    if (++r.attempt_ >= max_attempts)
    {
        return change_result(tl::unexpected(
            error{error_code::conflict, "other writers kept coming first"}));
    }
    const auto pause =
        (1 + needs_.random_() % longest_pause_ms) * kj::MILLISECONDS;
    return needs_.timer_.afterDelay(pause).then(
        [this, r = std::move(r)]() mutable
        { return try_change(std::move(r)); });
}

} // namespace galenafork
