/// \file
/// The client's calls on collections, and its reads and removals of single
/// objects.

#include <libplatform/client_impl.h>

#include <iterator>
#include <utility>

namespace galenafork
{

namespace
{

tl::unexpected<error> collections_unsupported()
{
    return tl::unexpected(error{error_code::refused,
                                "this platform does not support collections"});
}

std::string with_parameter(std::string url, const char* parameter)
{
    if (*parameter != '\0')
    {
        url += url.find('?') == std::string::npos ? "?" : "&";
        url += parameter;
    }
    return url;
}

} // namespace

kj::Promise<tl::expected<platform_object, error>>
platform_client::impl::get(std::string name, freshness fresh)
{
    std::string url = dialect_.object_url_(name);
    if (fresh == freshness::allow_stale)
    {
        url = with_parameter(std::move(url), dialect_.allow_stale_parameter_);
    }
    return read(&platform_counters::gets_, std::move(url), {})
        .then(
            [this, name = std::move(name)](pvt::response_or_error&& response)
                -> tl::expected<platform_object, error>
            {
                if (!response)
                {
                    return tl::unexpected(std::move(response.error()));
                }
                if (response->status_ == pvt::status_ok)
                {
                    return dialect_.parse_object_(name, response->body_);
                }
                if (response->status_ == pvt::status_not_found)
                {
                    return tl::unexpected(
                        error{error_code::not_found, "no object " + name});
                }
                return tl::unexpected(
                    pvt::unexpected_status(response->status_));
            });
}

kj::Promise<tl::expected<object_page, error>>
platform_client::impl::read_pages(std::string collection, freshness fresh,
                                  object_page collected)
{
    const std::string after =
        collected.objects_.empty() ? "" : collected.objects_.back().name_;
    std::string url = dialect_.collection_url_(collection, after);
    if (fresh == freshness::allow_stale)
    {
        url = with_parameter(std::move(url), dialect_.allow_stale_parameter_);
    }
    return read(&platform_counters::lists_, std::move(url), {})
        .then(
            [this, collection = std::move(collection), fresh,
             collected = std::move(collected)](
                pvt::response_or_error&& response) mutable
            -> kj::Promise<tl::expected<object_page, error>>
            {
                using page = tl::expected<object_page, error>;
                if (!response)
                {
                    return page(tl::unexpected(std::move(response.error())));
                }
                if (response->status_ != pvt::status_ok)
                {
                    return page(tl::unexpected(
                        pvt::unexpected_status(response->status_)));
                }
                auto next = dialect_.parse_page_(collection, response->body_);
                if (!next)
                {
                    return page(tl::unexpected(std::move(next.error())));
                }
                // A watch continues from the version of the first page: it then
                // reports changes made while later pages are read, some of them
                // a second time, but misses none.
                if (collected.version_ == no_object_version)
                {
                    collected.version_ = next->version_;
                    collected.era_ = response->era_;
                }
                collected.objects_.insert(
                    collected.objects_.end(),
                    std::make_move_iterator(next->objects_.begin()),
                    std::make_move_iterator(next->objects_.end()));
                if (next->has_more_ && !next->objects_.empty())
                {
                    return read_pages(std::move(collection), fresh,
                                      std::move(collected));
                }
                return page(std::move(collected));
            });
}

kj::Promise<tl::expected<void, error>>
platform_client::impl::remove(const std::string& name, object_version expected)
{
    auto call = new_call(&platform_counters::puts_,
                         dialect_.make_remove_request_(name, expected));
    return run(std::move(call))
        .then(
            [this](
                pvt::response_or_error&& response) -> tl::expected<void, error>
            {
                if (!response)
                {
                    return tl::unexpected(std::move(response.error()));
                }
                if (response->status_ == dialect_.conflict_status_)
                {
                    return tl::unexpected(
                        error{error_code::conflict,
                              "another writer updated the object first"});
                }
                if (response->status_ != pvt::status_ok &&
                    response->status_ != pvt::status_not_found)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(response->status_));
                }
                return {};
            });
}

kj::Promise<tl::expected<platform_object, error>>
platform_client::get_allow_stale(std::string name)
{
    return impl_->get(std::move(name), freshness::allow_stale);
}

kj::Promise<tl::expected<object_page, error>>
platform_client::read_collection(std::string collection, freshness fresh)
{
    if (impl_->dialect_.parse_page_ == nullptr)
    {
        return tl::expected<object_page, error>(collections_unsupported());
    }
    return impl_->read_pages(std::move(collection), fresh, {});
}

kj::Promise<tl::expected<object_changes, error>>
platform_client::watch_collection(std::string collection, object_version after,
                                  duration wait)
{
    using result = tl::expected<object_changes, error>;
    if (impl_->dialect_.parse_changes_ == nullptr)
    {
        return result(collections_unsupported());
    }
    const std::string watch = "watch=" + std::to_string(after.value());
    std::string url = with_parameter(
        impl_->dialect_.collection_url_(collection, ""), watch.c_str());
    return impl_->read(&platform_counters::watches_, std::move(url), wait)
        .then(
            [this, collection = std::move(collection)](
                pvt::response_or_error&& response) -> result
            {
                if (!response)
                {
                    return tl::unexpected(std::move(response.error()));
                }
                if (response->status_ == pvt::status_gone)
                {
                    return tl::unexpected(
                        error{error_code::not_found,
                              "the platform no longer has the history "
                              "since the requested version"});
                }
                if (response->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(response->status_));
                }
                return impl_->dialect_.parse_changes_(collection,
                                                      response->body_);
            });
}

kj::Promise<tl::expected<void, error>>
platform_client::remove(std::string name, object_version expected)
{
    if (impl_->dialect_.make_remove_request_ == nullptr)
    {
        return tl::expected<void, error>(collections_unsupported());
    }
    return impl_->remove(name, expected);
}

} // namespace galenafork
