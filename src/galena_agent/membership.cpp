#include "membership.h"

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

} // namespace

membership::membership(const service_name& service,
                       membership_dependencies needs)
    : service_(service), object_("roster/" + service.value()),
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

kj::Promise<change_result> membership::change(roster_change wanted)
{
    wanted.write_ = make_write_id(needs_.random_(), needs_.random_());
    return try_change(std::move(wanted), 0);
}

kj::Promise<change_result> membership::try_change(roster_change wanted,
                                                  int attempt)
{
    return needs_.store_.get(object_).then(
        [this, wanted = std::move(wanted),
         attempt](tl::expected<platform_object, error> read) mutable
        -> kj::Promise<change_result>
        {
            if (!read && read.error().code_ == error_code::not_found)
            {
                return write(std::move(wanted), empty_roster(service_),
                             no_object, attempt);
            }
            if (!read)
            {
                return change_result(tl::unexpected(read.error()));
            }
            auto current = roster_from_json(read->value_);
            if (!current)
            {
                return change_result(tl::unexpected(current.error()));
            }
            return write(std::move(wanted), std::move(*current), read->version_,
                         attempt);
        });
}

kj::Promise<change_result> membership::write(roster_change wanted,
                                             roster current,
                                             object_version version,
                                             int attempt)
{
    auto next = apply(current, wanted);
    if (!next)
    {
        return change_result(tl::unexpected(next.error()));
    }
    const instant sent = read_monotonic_clock();
    object_write update{object_, version, to_json(*next), wanted.write_};
    return needs_.store_.put_if(std::move(update))
        .then(
            [this, wanted = std::move(wanted), next = std::move(*next), sent,
             attempt](write_result result) mutable -> kj::Promise<change_result>
            {
                switch (result.outcome_)
                {
                case write_outcome::accepted:
                    needs_.on_roster_(next);
                    return change_result(written_change{std::move(next), sent});
                case write_outcome::not_accepted:
                    return try_again(std::move(wanted), attempt + 1);
                case write_outcome::unknown:
                    break;
                }
                return change_result(tl::unexpected(error{
                    error_code::unknown_outcome, result.reason_.message_}));
            });
}

kj::Promise<change_result> membership::try_again(roster_change wanted,
                                                 int attempt)
{
    if (attempt >= max_attempts)
    {
        return change_result(tl::unexpected(
            error{error_code::conflict, "other writers kept coming first"}));
    }
    wanted.write_ = make_write_id(needs_.random_(), needs_.random_());
    const auto pause =
        (1 + needs_.random_() % longest_pause_ms) * kj::MILLISECONDS;
    return needs_.timer_.afterDelay(pause).then(
        [this, wanted = std::move(wanted), attempt]() mutable
        { return try_change(std::move(wanted), attempt); });
}

} // namespace galenafork
