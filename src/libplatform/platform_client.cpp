#include <libplatform/client_impl.h>

#include <utility>

namespace galenafork
{

platform_client::platform_client(const platform_settings& settings,
                                 platform_dependencies dependencies,
                                 const api_dialect& dialect)
    : impl_(std::make_unique<impl>(settings, std::move(dependencies), dialect))
{
}

platform_client::~platform_client() noexcept(false) = default;

kj::Promise<tl::expected<platform_object, error>>
platform_client::get(std::string name)
{
    return impl_->get(std::move(name), freshness::current);
}

kj::Promise<write_result> platform_client::put_if(object_write write)
{
    return impl_->put_if(std::move(write));
}

kj::Promise<watch_result>
platform_client::watch(std::string name, object_version after, duration wait)
{
    std::string url = impl_->dialect_.object_url_(name) +
                      "?watch=" + std::to_string(after.value());
    return impl_->read(&platform_counters::watches_, std::move(url), wait)
        .then(
            [this, name,
             after](pvt::response_or_error&& response) -> watch_result
            {
                if (!response)
                {
                    return tl::unexpected(std::move(response.error()));
                }
                if (response->status_ == pvt::status_not_modified)
                {
                    return std::nullopt;
                }
                if (response->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(response->status_));
                }
                auto object =
                    impl_->dialect_.parse_object_(name, response->body_);
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
    return impl_
        ->read(&platform_counters::lists_, impl_->dialect_.list_url_(prefix),
               {})
        .then(
            [this](pvt::response_or_error&& response)
                -> tl::expected<std::vector<object_entry>, error>
            {
                if (!response)
                {
                    return tl::unexpected(std::move(response.error()));
                }
                if (response->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(response->status_));
                }
                return impl_->dialect_.parse_list_(response->body_);
            });
}

const platform_counters& platform_client::counters() const
{
    return impl_->counters_;
}

} // namespace galenafork
