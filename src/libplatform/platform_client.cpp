#include <galenafork/platform_client.h>

#include <libplatform/call_policy.h>
#include <libplatform/http_exchange.h>

#include <utility>

namespace galenafork
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_precondition_failed = 412;

using answer_or_error = tl::expected<pvt::api_answer, error>;

// One call over all its attempts.
struct pending_call
{
    std::uint64_t platform_counters::*counter_;
    pvt::api_request request_;
    // Added to the attempt's timeout, for watches.
    duration wait_{};
    // Writes may have taken effect when their answer is lost.
    bool is_write_ = false;
    pvt::call_progress progress_;
};

using call_ptr = std::shared_ptr<pending_call>;

// One conditional update until it is settled.
struct pending_write
{
    std::string name_;
    pvt::write_progress progress_;
    call_ptr call_;
};

using write_ptr = std::shared_ptr<pending_write>;

error unexpected_status(unsigned status)
{
    return {error_code::refused,
            "the platform answered " + std::to_string(status)};
}

kj::Duration to_kj(duration d)
{
    return d.count() * kj::MICROSECONDS;
}

} // namespace

class platform_client::impl
{
public:
    impl(const platform_settings& settings, platform_dependencies dependencies)
        : settings_(settings), timer_(dependencies.timer_),
          clock_(std::move(dependencies.clock_)),
          random_(std::move(dependencies.random_)),
          exchange_(dependencies.timer_, dependencies.network_,
                    settings.address_),
          state_(pvt::new_call_state(settings, clock_()))
    {
    }

    kj::Promise<answer_or_error> read(std::uint64_t platform_counters::*counter,
                                      std::string url, duration wait);
    kj::Promise<write_result> put_if(object_write write);

    platform_counters counters_;

private:
    call_ptr new_call(std::uint64_t platform_counters::*counter,
                      pvt::api_request request);
    kj::Promise<answer_or_error> run(call_ptr call);
    kj::Promise<answer_or_error> attempt(call_ptr call);
    kj::Promise<answer_or_error> judge(call_ptr call, pvt::api_answer answer);
    void count_give_up(const error& reason);

    kj::Promise<write_result> judge_put(const write_ptr& write,
                                        answer_or_error answer);
    kj::Promise<write_result> read_back(const write_ptr& write);
    kj::Promise<write_result> judge_read(const write_ptr& write,
                                         const call_ptr& call,
                                         answer_or_error answer);
    write_result settled(const pending_write& write, write_outcome outcome,
                         std::optional<platform_object> current, error reason);

    platform_settings settings_;
    kj::Timer& timer_;
    std::function<instant()> clock_;
    std::function<double()> random_;
    pvt::http_exchange exchange_;
    pvt::call_state state_;
};

call_ptr
platform_client::impl::new_call(std::uint64_t platform_counters::*counter,
                                pvt::api_request request)
{
    auto call = std::make_shared<pending_call>();
    call->counter_ = counter;
    call->request_ = std::move(request);
    call->progress_.deadline_ = clock_() + settings_.call_deadline_;
    return call;
}

kj::Promise<answer_or_error>
platform_client::impl::read(std::uint64_t platform_counters::*counter,
                            std::string url, duration wait)
{
    pvt::api_request request;
    request.url_ = std::move(url);
    auto call = new_call(counter, std::move(request));
    call->wait_ = wait;
    call->progress_.deadline_ += wait;
    return run(std::move(call));
}

kj::Promise<answer_or_error> platform_client::impl::run(call_ptr call)
{
    auto decision =
        pvt::next_step(state_, settings_, call->progress_, clock_());
    switch (decision.step_)
    {
    case pvt::call_step::attempt:
        return attempt(std::move(call));
    case pvt::call_step::wait:
        return timer_.afterDelay(to_kj(decision.wait_))
            .then([this, call = std::move(call)] { return run(call); });
    case pvt::call_step::give_up:
        break;
    }
    count_give_up(decision.reason_);
    return answer_or_error(tl::unexpected(std::move(decision.reason_)));
}

kj::Promise<answer_or_error> platform_client::impl::attempt(call_ptr call)
{
    counters_.*call->counter_ += 1;
    counters_.retries_ += call->progress_.attempts_ > 1 ? 1 : 0;
    pvt::api_request request = call->request_;
    duration timeout = settings_.attempt_timeout_;
    if (call->wait_ > duration::zero())
    {
        // A probe must come back soon, as other calls wait for its outcome.
        const bool is_probe = state_.breaker_.probing_;
        const duration wait = is_probe ? duration::zero() : call->wait_;
        const auto wait_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(wait);
        request.url_ += "&wait_ms=" + std::to_string(wait_ms.count());
        timeout += wait;
    }
    return exchange_.send(request, timeout)
        .then([this, call = std::move(call)](pvt::api_answer&& answer)
              { return judge(call, std::move(answer)); });
}

kj::Promise<answer_or_error>
platform_client::impl::judge(call_ptr call, pvt::api_answer answer)
{
    if (pvt::is_proper(answer))
    {
        pvt::note_answer(state_.breaker_);
        return answer_or_error(std::move(answer));
    }
    counters_.timeouts_ += answer.timed_out_ ? 1 : 0;
    counters_.failures_ += answer.timed_out_ ? 0 : 1;
    pvt::note_failure(state_.breaker_, settings_, clock_(), random_());
    call->progress_.must_settle_ |= call->is_write_;
    const duration pause =
        pvt::backoff_delay(settings_, call->progress_.attempts_, random_());
    return timer_.afterDelay(to_kj(pause))
        .then([this, call = std::move(call)] { return run(call); });
}

void platform_client::impl::count_give_up(const error& reason)
{
    counters_.refused_by_breaker_ +=
        reason.code_ == error_code::unavailable ? 1 : 0;
    counters_.refused_by_budget_ += reason.code_ == error_code::refused ? 1 : 0;
}

kj::Promise<write_result> platform_client::impl::put_if(object_write write)
{
    pvt::api_request request;
    request.method_ = kj::HttpMethod::PUT;
    request.url_ = pvt::object_url(write.name_);
    request.if_match_ = write.expected_;
    request.body_ = std::move(write.value_);
    auto pending = std::make_shared<pending_write>();
    pending->name_ = std::move(write.name_);
    pending->progress_.expected_ = write.expected_;
    pending->progress_.write_ = std::move(write.write_);
    pending->call_ = new_call(&platform_counters::puts_, std::move(request));
    pending->call_->is_write_ = true;
    return run(pending->call_)
        .then([this, pending](answer_or_error&& answer)
              { return judge_put(pending, std::move(answer)); });
}

kj::Promise<write_result>
platform_client::impl::judge_put(const write_ptr& write, answer_or_error answer)
{
    write->progress_.may_have_run_ = write->call_->progress_.must_settle_;
    const auto unless_accepted = write->progress_.may_have_run_
                                     ? write_outcome::unknown
                                     : write_outcome::not_accepted;
    if (!answer)
    {
        return settled(*write, unless_accepted, std::nullopt,
                       std::move(answer.error()));
    }
    const auto version = pvt::read_version(answer->body_);
    if (answer->status_ == status_ok && version)
    {
        write_result result;
        result.outcome_ = write_outcome::accepted;
        result.version_ = *version;
        return result;
    }
    if (answer->status_ == status_precondition_failed && version)
    {
        write->progress_.refused_at_ = *version;
        return read_back(write);
    }
    if (answer->status_ == status_ok)
    {
        // It took effect, or the answer is not the platform's.
        write->progress_.may_have_run_ = true;
        return read_back(write);
    }
    return settled(*write, unless_accepted, std::nullopt,
                   unexpected_status(answer->status_));
}

kj::Promise<write_result>
platform_client::impl::read_back(const write_ptr& write)
{
    pvt::api_request request;
    request.url_ = pvt::object_url(write->name_);
    auto call = new_call(&platform_counters::gets_, std::move(request));
    call->progress_.must_settle_ = write->progress_.may_have_run_;
    return run(call).then(
        [this, write, call](answer_or_error&& answer)
        { return judge_read(write, call, std::move(answer)); });
}

kj::Promise<write_result>
platform_client::impl::judge_read(const write_ptr& write, const call_ptr& call,
                                  answer_or_error answer)
{
    const error conflict{error_code::conflict, "another writer came first"};
    if (!answer && write->progress_.may_have_run_)
    {
        return settled(*write, write_outcome::unknown, std::nullopt,
                       std::move(answer.error()));
    }
    if (!answer)
    {
        return settled(*write, write_outcome::not_accepted, std::nullopt,
                       conflict);
    }
    auto object = pvt::read_object(write->name_, answer->body_);
    const auto meaning = object && answer->status_ == status_ok
                             ? pvt::judge_read_back(write->progress_, *object)
                             : pvt::read_back_meaning::stale;
    switch (meaning)
    {
    case pvt::read_back_meaning::accepted:
        return settled(*write, write_outcome::accepted, std::move(*object), {});
    case pvt::read_back_meaning::not_accepted:
        return settled(*write, write_outcome::not_accepted, std::move(*object),
                       conflict);
    case pvt::read_back_meaning::unknown:
        return settled(
            *write, write_outcome::unknown, std::move(*object),
            {error_code::unknown_outcome, "later writes cover the outcome"});
    case pvt::read_back_meaning::stale:
        break;
    }
    ++counters_.stale_dropped_;
    const duration pause =
        pvt::backoff_delay(settings_, call->progress_.attempts_, random_());
    return timer_.afterDelay(to_kj(pause))
        .then([this, call] { return run(call); })
        .then([this, write, call](answer_or_error&& again)
              { return judge_read(write, call, std::move(again)); });
}

write_result platform_client::impl::settled(
    const pending_write& write, write_outcome outcome,
    std::optional<platform_object> current, error reason)
{
    if (write.progress_.may_have_run_)
    {
        counters_.settled_accepted_ +=
            outcome == write_outcome::accepted ? 1 : 0;
        counters_.settled_not_accepted_ +=
            outcome == write_outcome::not_accepted ? 1 : 0;
        counters_.unsettled_ += outcome == write_outcome::unknown ? 1 : 0;
    }
    write_result result;
    result.outcome_ = outcome;
    result.version_ = current ? current->version_ : no_object;
    result.current_ = std::move(current);
    result.reason_ = std::move(reason);
    return result;
}

platform_client::platform_client(const platform_settings& settings,
                                 platform_dependencies dependencies)
    : impl_(std::make_unique<impl>(settings, std::move(dependencies)))
{
}

platform_client::~platform_client() noexcept(false) = default;

kj::Promise<tl::expected<platform_object, error>>
platform_client::get(std::string name)
{
    return impl_->read(&platform_counters::gets_, pvt::object_url(name), {})
        .then(
            [name](answer_or_error&& answer)
                -> tl::expected<platform_object, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == status_ok)
                {
                    return pvt::read_object(name, answer->body_);
                }
                if (answer->status_ == status_not_found)
                {
                    return tl::unexpected(
                        error{error_code::not_found, "no object " + name});
                }
                return tl::unexpected(unexpected_status(answer->status_));
            });
}

kj::Promise<write_result> platform_client::put_if(object_write write)
{
    return impl_->put_if(std::move(write));
}

kj::Promise<watch_result>
platform_client::watch(std::string name, object_version after, duration wait)
{
    std::string url =
        pvt::object_url(name) + "?watch=" + std::to_string(after.value());
    return impl_->read(&platform_counters::watches_, std::move(url), wait)
        .then(
            [this, name, after](answer_or_error&& answer) -> watch_result
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == status_not_modified)
                {
                    return std::nullopt;
                }
                if (answer->status_ != status_ok)
                {
                    return tl::unexpected(unexpected_status(answer->status_));
                }
                auto object = pvt::read_object(name, answer->body_);
                if (!object)
                {
                    return tl::unexpected(std::move(object.error()));
                }
                if (object->version_ <= after)
                {
                    ++impl_->counters_.stale_dropped_;
                    return std::nullopt;
                }
                return std::move(*object);
            });
}

kj::Promise<tl::expected<std::vector<object_entry>, error>>
platform_client::list(std::string prefix)
{
    return impl_->read(&platform_counters::lists_, pvt::list_url(prefix), {})
        .then(
            [](answer_or_error&& answer)
                -> tl::expected<std::vector<object_entry>, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ != status_ok)
                {
                    return tl::unexpected(unexpected_status(answer->status_));
                }
                return pvt::read_list(answer->body_);
            });
}

const platform_counters& platform_client::counters() const
{
    return impl_->counters_;
}

} // namespace galenafork
