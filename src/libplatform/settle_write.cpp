#include <libplatform/client_impl.h>

#include <utility>

namespace galenafork
{

kj::Promise<write_result> platform_client::impl::put_if(object_write write)
{
    api_request request = dialect_.make_write_request_(write);
    auto pending = std::make_shared<pvt::pending_write>();
    pending->name_ = std::move(write.name_);
    pending->progress_.expected_version_ = write.expected_version_;
    pending->progress_.write_id_ = std::move(write.write_id_);
    pending->call_ = new_call(&platform_counters::puts_, std::move(request));
    pending->call_->is_write_ = true;
    return run(pending->call_)
        .then([this, pending](pvt::response_or_error&& answer)
              { return handle_put_response(pending, std::move(answer)); });
}

kj::Promise<write_result>
platform_client::impl::handle_put_response(const pvt::write_ptr& write,
                                           pvt::response_or_error answer)
{
    write->progress_.may_have_been_applied_ =
        write->call_->progress_.must_resolve_;
    const auto unless_accepted = write->progress_.may_have_been_applied_
                                     ? write_outcome::unknown
                                     : write_outcome::not_accepted;
    if (!answer)
    {
        return settled(*write, unless_accepted, std::nullopt,
                       std::move(answer.error()));
    }
    const auto version = dialect_.parse_version_(answer->body_);
    if (answer->status_ == pvt::status_ok && version)
    {
        write_result result;
        result.outcome_ = write_outcome::accepted;
        result.version_ = *version;
        return result;
    }
    if (answer->status_ == dialect_.conflict_status_ && version)
    {
        write->progress_.conflict_version_ = *version;
        return read_back(write);
    }
    if (answer->status_ == pvt::status_ok)
    {
        // It took effect, or the answer is not the platform's.
        write->progress_.may_have_been_applied_ = true;
        return read_back(write);
    }
    return settled(*write, unless_accepted, std::nullopt,
                   pvt::unexpected_status(answer->status_));
}

kj::Promise<write_result>
platform_client::impl::read_back(const pvt::write_ptr& write)
{
    api_request request;
    request.url_ = dialect_.object_url_(write->name_);
    auto call = new_call(&platform_counters::gets_, std::move(request));
    call->progress_.must_resolve_ = write->progress_.may_have_been_applied_;
    return run(call).then(
        [this, write, call](pvt::response_or_error&& answer)
        { return handle_read_back(write, call, std::move(answer)); });
}

kj::Promise<write_result>
platform_client::impl::handle_read_back(const pvt::write_ptr& write,
                                        const pvt::call_ptr& call,
                                        pvt::response_or_error answer)
{
    const error conflict{error_code::conflict, "another writer came first"};
    if (!answer && write->progress_.may_have_been_applied_)
    {
        return settled(*write, write_outcome::unknown, std::nullopt,
                       std::move(answer.error()));
    }
    if (!answer)
    {
        return settled(*write, write_outcome::not_accepted, std::nullopt,
                       conflict);
    }
    auto object = dialect_.parse_object_(write->name_, answer->body_);
    const auto meaning =
        object && answer->status_ == pvt::status_ok
            ? pvt::classify_read_back(write->progress_, *object)
            : pvt::read_back_result::stale;
    switch (meaning)
    {
    case pvt::read_back_result::accepted:
        return settled(*write, write_outcome::accepted, std::move(*object), {});
    case pvt::read_back_result::not_accepted:
        return settled(*write, write_outcome::not_accepted, std::move(*object),
                       conflict);
    case pvt::read_back_result::unknown:
        return settled(
            *write, write_outcome::unknown, std::move(*object),
            {error_code::unknown_outcome, "later writes cover the outcome"});
    case pvt::read_back_result::stale:
        break;
    }
    ++counters_.stale_dropped_;
    const duration pause =
        pvt::backoff_delay(settings_, call->progress_.attempts_, random_());
    return timer_.afterDelay(pvt::to_kj(pause))
        .then([this, call] { return run(call); })
        .then([this, write, call](pvt::response_or_error&& again)
              { return handle_read_back(write, call, std::move(again)); });
}

write_result platform_client::impl::settled(
    const pvt::pending_write& write, write_outcome outcome,
    std::optional<platform_object> current, error reason)
{
    if (write.progress_.may_have_been_applied_)
    {
        counters_.resolved_accepted_ +=
            outcome == write_outcome::accepted ? 1 : 0;
        counters_.resolved_not_accepted_ +=
            outcome == write_outcome::not_accepted ? 1 : 0;
        counters_.unresolved_ += outcome == write_outcome::unknown ? 1 : 0;
    }
    write_result result;
    result.outcome_ = outcome;
    result.version_ = current ? current->version_ : no_object_version;
    result.current_ = std::move(current);
    result.reason_ = std::move(reason);
    return result;
}

} // namespace galenafork
