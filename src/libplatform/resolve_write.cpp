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
        .then([this, pending](pvt::response_or_error&& response)
              { return handle_put_response(pending, std::move(response)); });
}

kj::Promise<write_result>
platform_client::impl::handle_put_response(const pvt::write_ptr& write,
                                           pvt::response_or_error response)
{
    write->progress_.may_have_been_applied_ =
        write->call_->progress_.must_resolve_;
    const auto failure_outcome = write->progress_.may_have_been_applied_
                                     ? write_outcome::unknown
                                     : write_outcome::not_accepted;
    if (!response)
    {
        return finish_write(*write, failure_outcome, std::nullopt,
                            std::move(response.error()));
    }
    const auto version = dialect_.parse_version_(response->body_);
    if (response->status_ == pvt::status_ok && version)
    {
        write_result result;
        result.outcome_ = write_outcome::accepted;
        result.version_ = *version;
        return result;
    }
    if (response->status_ == dialect_.conflict_status_ && version)
    {
        write->progress_.conflict_version_ = *version;
        return read_back(write);
    }
    if (response->status_ == pvt::status_ok)
    {
        // The write took effect, or the response is not from the platform.
        write->progress_.may_have_been_applied_ = true;
        return read_back(write);
    }
    return finish_write(*write, failure_outcome, std::nullopt,
                        pvt::unexpected_status(response->status_));
}

kj::Promise<write_result>
platform_client::impl::read_back(const pvt::write_ptr& write)
{
    api_request request;
    request.url_ = dialect_.object_url_(write->name_);
    auto call = new_call(&platform_counters::gets_, std::move(request));
    call->progress_.must_resolve_ = write->progress_.may_have_been_applied_;
    return run(call).then(
        [this, write, call](pvt::response_or_error&& response)
        { return handle_read_back(write, call, std::move(response)); });
}

kj::Promise<write_result>
platform_client::impl::handle_read_back(const pvt::write_ptr& write,
                                        const pvt::call_ptr& call,
                                        pvt::response_or_error response)
{
    const error conflict{error_code::conflict,
                         "another writer updated the object first"};
    if (!response && write->progress_.may_have_been_applied_)
    {
        return finish_write(*write, write_outcome::unknown, std::nullopt,
                            std::move(response.error()));
    }
    if (!response)
    {
        return finish_write(*write, write_outcome::not_accepted, std::nullopt,
                            conflict);
    }
    auto object = dialect_.parse_object_(write->name_, response->body_);
    const auto classification =
        object && response->status_ == pvt::status_ok
            ? pvt::classify_read_back(write->progress_, *object)
            : pvt::read_back_result::stale;
    switch (classification)
    {
    case pvt::read_back_result::accepted:
        return finish_write(*write, write_outcome::accepted, std::move(*object),
                            {});
    case pvt::read_back_result::not_accepted:
        return finish_write(*write, write_outcome::not_accepted,
                            std::move(*object), conflict);
    case pvt::read_back_result::unknown:
        return finish_write(*write, write_outcome::unknown, std::move(*object),
                            {error_code::unknown_outcome,
                             "later writes to the object hide the outcome"});
    case pvt::read_back_result::stale:
        break;
    }
    ++counters_.stale_dropped_;
    const duration pause =
        pvt::backoff_delay(settings_, call->progress_.attempts_, random_());
    return timer_.afterDelay(pvt::to_kj(pause))
        .then([this, call] { return run(call); })
        .then(
            [this, write, call](pvt::response_or_error&& retried_response) {
                return handle_read_back(write, call,
                                        std::move(retried_response));
            });
}

write_result platform_client::impl::finish_write(
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
