/// \file
/// The client's calls on whole collections, and single reads and removals.

#include <libplatform/client_impl.h>

#include <iterator>
#include <utility>

namespace galenafork
{

namespace
{

tl::unexpected<error> no_collections()
{
    return tl::unexpected(error{error_code::refused,
                                "this platform has no collections of objects"});
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
        url = with_parameter(std::move(url), dialect_.allow_stale_suffix_);
    }
    return read(&platform_counters::gets_, std::move(url), {})
        .then(
            [this, name = std::move(name)](pvt::response_or_error&& answer)
                -> tl::expected<platform_object, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == pvt::status_ok)
                {
                    return dialect_.parse_object_(name, answer->body_);
                }
                if (answer->status_ == pvt::status_not_found)
                {
                    return tl::unexpected(
                        error{error_code::not_found, "no object " + name});
                }
                return tl::unexpected(pvt::unexpected_status(answer->status_));
            });
}

kj::Promise<tl::expected<object_page, error>>
platform_client::impl::read_pages(std::string collection, freshness fresh,
                                  object_page so_far)
{
    const std::string after =
        so_far.objects_.empty() ? "" : so_far.objects_.back().name_;
    std::string url = dialect_.collection_url_(collection, after);
    if (fresh == freshness::allow_stale)
    {
        url = with_parameter(std::move(url), dialect_.allow_stale_suffix_);
    }
    return read(&platform_counters::lists_, std::move(url), {})
        .then(
            [this, collection = std::move(collection), fresh,
             so_far =
                 std::move(so_far)](pvt::response_or_error&& answer) mutable
            -> kj::Promise<tl::expected<object_page, error>>
            {
                using page = tl::expected<object_page, error>;
                if (!answer)
                {
                    return page(tl::unexpected(std::move(answer.error())));
                }
                if (answer->status_ != pvt::status_ok)
                {
                    return page(tl::unexpected(
                        pvt::unexpected_status(answer->status_)));
                }
                auto next = dialect_.parse_page_(collection, answer->body_);
                if (!next)
                {
                    return page(tl::unexpected(std::move(next.error())));
                }
                // Watches begin at the first page: what changed since is told
                // again then, never missed.
                if (so_far.version_ == no_object_version)
                {
                    so_far.version_ = next->version_;
                }
                so_far.objects_.insert(
                    so_far.objects_.end(),
                    std::make_move_iterator(next->objects_.begin()),
                    std::make_move_iterator(next->objects_.end()));
                if (next->has_more_ && !next->objects_.empty())
                {
                    return read_pages(std::move(collection), fresh,
                                      std::move(so_far));
                }
                return page(std::move(so_far));
            });
}

kj::Promise<tl::expected<void, error>>
platform_client::impl::remove(const std::string& name, object_version expected)
{
    auto call = new_call(&platform_counters::puts_,
                         dialect_.make_remove_request_(name, expected));
    return run(std::move(call))
        .then(
            [this](pvt::response_or_error&& answer) -> tl::expected<void, error>
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == dialect_.conflict_status_)
                {
                    return tl::unexpected(error{error_code::conflict,
                                                "another writer came first"});
                }
                if (answer->status_ != pvt::status_ok &&
                    answer->status_ != pvt::status_not_found)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(answer->status_));
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
        return tl::expected<object_page, error>(no_collections());
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
        return result(no_collections());
    }
    const std::string watch = "watch=" + std::to_string(after.value());
    std::string url = with_parameter(
        impl_->dialect_.collection_url_(collection, ""), watch.c_str());
    return impl_->read(&platform_counters::watches_, std::move(url), wait)
        .then(
            [this, collection = std::move(collection)](
                pvt::response_or_error&& answer) -> result
            {
                if (!answer)
                {
                    return tl::unexpected(std::move(answer.error()));
                }
                if (answer->status_ == pvt::status_gone)
                {
                    return tl::unexpected(
                        error{error_code::not_found, "that history is gone"});
                }
                if (answer->status_ != pvt::status_ok)
                {
                    return tl::unexpected(
                        pvt::unexpected_status(answer->status_));
                }
                return impl_->dialect_.parse_changes_(collection,
                                                      answer->body_);
            });
}

kj::Promise<tl::expected<void, error>>
platform_client::remove(std::string name, object_version expected)
{
    if (impl_->dialect_.make_remove_request_ == nullptr)
    {
        return tl::expected<void, error>(no_collections());
    }
    return impl_->remove(name, expected);
}

} // namespace galenafork
