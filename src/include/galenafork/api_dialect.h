/// \file
/// How one platform spells its object API: requests out, answers in. The
/// client's decisions (deadlines, retries, settling of writes) are the same
/// for all.

#ifndef GALENAFORK_API_DIALECT_H
#define GALENAFORK_API_DIALECT_H

#include <galenafork/platform.h>

#include <kj/compat/http.h>
#include <optional>
#include <string>

namespace galenafork
{

/// One call.
struct api_request
{
    kj::HttpMethod method_ = kj::HttpMethod::GET;
    /// Path and query.
    std::string url_;
    std::optional<object_version> if_match_;
    std::string body_;
};

/// The answer to one call.
struct api_response
{
    /// HTTP status; 0 if there was no answer.
    unsigned status_ = 0;
    std::string body_;
    /// There was no answer within the time.
    bool timed_out_ = false;
};

/// Translation between the client and one platform. Functions that read fail
/// with `bad_message`. The last group may be empty: then the calls on
/// collections fail with `refused`.
struct api_dialect
{
    /// The URL of an object.
    std::string (*object_url_)(const std::string& name);
    /// The URL of the list of names; see `platform_store::list`.
    std::string (*list_url_)(const std::string& prefix);
    /// A conditional write or creation.
    api_request (*make_write_request_)(const object_write& write);
    tl::expected<platform_object, error> (*parse_object_)(
        const std::string& name, const std::string& body);
    tl::expected<object_version, error> (*parse_version_)(
        const std::string& body);
    tl::expected<std::vector<object_entry>, error> (*parse_list_)(
        const std::string& body);
    /// The status of a write whose condition does not hold.
    unsigned conflict_status_;

    /// The URL of a collection, after `after` if that is not empty.
    std::string (*collection_url_)(const std::string& collection,
                                   const std::string& after) = nullptr;
    /// What the URL of a read that may be old ends with.
    const char* allow_stale_suffix_ = "";
    api_request (*make_remove_request_)(const std::string& name,
                                        object_version expected) = nullptr;
    tl::expected<object_page, error> (*parse_page_)(
        const std::string& collection, const std::string& body) = nullptr;
    tl::expected<object_changes, error> (*parse_changes_)(
        const std::string& collection, const std::string& body) = nullptr;
};

/// The dialect of the project's own platform.
const api_dialect& default_dialect();

} // namespace galenafork

#endif
