/// \file
/// The HTTP form of a platform's object API: encoding of requests and parsing
/// of responses. Deadlines, retries and the resolving of writes are left to the
/// client, which handles them in the same way for all dialects.

#ifndef GALENAFORK_API_DIALECT_H
#define GALENAFORK_API_DIALECT_H

#include <galenafork/platform.h>

#include <kj/compat/http.h>
#include <optional>
#include <string>

namespace galenafork
{

/// One HTTP request.
struct api_request
{
    kj::HttpMethod method_ = kj::HttpMethod::GET;
    /// Path and query.
    std::string url_;
    std::optional<object_version> if_match_;
    std::string body_;
};

/// The response to one HTTP request.
struct api_response
{
    /// HTTP status; 0 if there was no response.
    unsigned status_ = 0;
    std::string body_;
    /// True if there was no response within the timeout.
    bool timed_out_ = false;
    /// Zero if the response has no era, or one that is not a number.
    store_era era_ = {};
};

/// Functions that translate between the client and one platform. The parsing
/// functions fail with `bad_message`. The last group is null for a platform
/// without collections: calls on collections then fail with `refused`.
struct api_dialect
{
    /// Returns the URL of an object.
    std::string (*object_url_)(const std::string& name);
    /// Returns the URL for `platform_store::list`.
    std::string (*list_url_)(const std::string& prefix);
    /// Returns the request for a conditional update or creation.
    api_request (*make_write_request_)(const object_write& write);
    tl::expected<platform_object, error> (*parse_object_)(
        const std::string& name, const std::string& body);
    tl::expected<object_version, error> (*parse_version_)(
        const std::string& body);
    tl::expected<std::vector<object_entry>, error> (*parse_list_)(
        const std::string& body);
    /// HTTP status of a write whose condition does not hold.
    unsigned conflict_status_;

    /// Returns the URL of a page of a collection: the first one if `after` is
    /// empty, otherwise the one that follows the object named `after`.
    std::string (*collection_url_)(const std::string& collection,
                                   const std::string& after) = nullptr;
    /// Query parameter of a read with `freshness::allow_stale`.
    const char* allow_stale_parameter_ = "";
    api_request (*make_remove_request_)(const std::string& name,
                                        object_version expected) = nullptr;
    tl::expected<object_page, error> (*parse_page_)(
        const std::string& collection, const std::string& body) = nullptr;
    tl::expected<object_changes, error> (*parse_changes_)(
        const std::string& collection, const std::string& body) = nullptr;
    /// Header of responses that holds the store's era; empty if there is none.
    const char* era_header_ = "";
};

/// Returns the dialect of the project's own platform, whose objects have URLs
/// below `/v1/objects`.
const api_dialect& default_dialect();

} // namespace galenafork

#endif
