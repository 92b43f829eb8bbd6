#include <libplatform/client_impl.h>

#include <utility>

namespace galenafork
{

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
            [name](pvt::answer_or_error&& answer)
                -> tl::expected<platform_object, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == pvt::status_ok)
                {
                    return pvt::read_object(name, answer->body_);
                }
                if (answer->status_ == pvt::status_not_found)
                {
                    return tl::unexpected(
                        error{error_code::not_found, "no object " + name});
                }
                return tl::unexpected(pvt::unexpected_status(answer->status_));
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
            [this, name, after](pvt::answer_or_error&& answer) -> watch_result
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == pvt::status_not_modified)
                {
                    return std::nullopt;
                }
                if (answer->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(answer->status_));
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
            [](pvt::answer_or_error&& answer)
                -> tl::expected<std::vector<object_entry>, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(answer->status_));
                }
                return pvt::read_list(answer->body_);
            });
}

const platform_counters& platform_client::counters() const
{
    return impl_->counters_;
}

} // namespace galenafork
