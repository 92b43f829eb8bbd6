#include <standins/platform/api_request.h>
#include <standins/platform/service.h>

#include <algorithm>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

namespace galenafork::standin
{

namespace
{

using json = nlohmann::json;

constexpr const char* standin_prefix = "v1/standin/";
// Longest time that a watch waits, and the default if `wait_ms` is missing.
constexpr std::uint64_t max_wait_ms = 60'000;
constexpr kj::uint status_ok = 200;
constexpr kj::uint status_not_modified = 304;
constexpr kj::uint status_bad_request = 400;
constexpr kj::uint status_not_found = 404;
constexpr kj::uint status_precondition_failed = 412;
constexpr kj::uint status_too_large = 413;
constexpr kj::uint status_unavailable = 503;

std::string version_json(std::uint64_t version)
{
    return json{{"version", version}}.dump();
}

// The value is inserted as it is, since it is JSON already.
std::string object_json(const stored_object& object)
{
    return R"({"version":)" + std::to_string(object.version_) + R"(,"value":)" +
           object.value_ + "}";
}

std::string error_json(const std::string& reason)
{
    return json{{"error", reason}}.dump();
}

kj::Exception disconnect_error()
{
    return KJ_EXCEPTION(DISCONNECTED, "connection closed by an injected fault");
}

std::string counts_json(const call_counts& c)
{
    return json{{"get", c.get_},
                {"put", c.put_},
                {"list", c.list_},
                {"watch", c.watch_},
                {"total", c.get_ + c.put_ + c.list_ + c.watch_},
                {"waiting", c.pending_watches_},
                {"peak_reads_per_second", c.peak_reads_per_second_},
                {"peak_writes_per_second", c.peak_writes_per_second_}}
        .dump();
}

} // namespace

api_headers::api_headers()
    : if_match_(builder_.add("If-Match")), table_(builder_.build())
{
}

platform_service::platform_service(kj::Timer& timer, const api_headers& headers,
                                   std::uint64_t seed)
    : timer_(timer), headers_(headers), faults_(seed)
{
}

void platform_service::set_faults(const fault_plan& plan)
{
    faults_.plan_ = plan;
    if (plan.outage_)
    {
        store_.fail_watches();
    }
}

kj::Promise<void> platform_service::request(kj::HttpMethod method,
                                            kj::StringPtr url,
                                            const kj::HttpHeaders& headers,
                                            kj::AsyncInputStream& body,
                                            Response& response)
{
    api_request request = parse_request(method, url);
    request.if_match_ = to_std_string(
        headers.get(headers_.if_match_).orDefault(kj::StringPtr()));
    return body.readAllText(max_value_bytes + 1)
        .then(
            [this, request = std::move(request),
             &response](const kj::String& text) mutable
            {
                request.body_ = to_std_string(text);
                return route(std::move(request), response);
            });
}

kj::Promise<void> platform_service::route(api_request request,
                                          Response& response)
{
    if (starts_with(request.path_, standin_prefix))
    {
        return route_standin(request, response);
    }
    count_call(request);
    if (faults_.plan_.outage_)
    {
        return disconnect_error();
    }
    if (faults_.should_inject(faults_.plan_.fail_rate_))
    {
        return send(response, status_unavailable, error_json("injected"));
    }
    const auto delay = faults_.plan_.delay_ms_ * kj::MILLISECONDS;
    if (delay == 0 * kj::MILLISECONDS)
    {
        return handle(request, response);
    }
    return timer_.afterDelay(delay).then(
        [this, request = std::move(request), &response]() -> kj::Promise<void>
        {
            if (faults_.plan_.outage_)
            {
                return disconnect_error();
            }
            return handle(request, response);
        });
}

kj::Promise<void> platform_service::route_standin(const api_request& request,
                                                  Response& response)
{
    const std::string call =
        request.path_.substr(std::string(standin_prefix).size());
    if (call == "calls" && request.method_ == kj::HttpMethod::GET)
    {
        return send(response, status_ok, counts_json(calls_));
    }
    if (call == "faults" && request.method_ == kj::HttpMethod::POST)
    {
        const auto plan = parse_fault_plan(request.body_);
        if (!plan)
        {
            return send(response, status_bad_request,
                        error_json(plan.error().message_));
        }
        set_faults(*plan);
        return send(response, status_ok, "{}");
    }
    return send(response, status_not_found,
                error_json("unknown path or method"));
}

kj::Promise<void> platform_service::handle(const api_request& request,
                                           Response& response)
{
    const bool is_get = request.method_ == kj::HttpMethod::GET;
    if (request.path_ == objects_path && is_get)
    {
        return list(request, response);
    }
    if (!starts_with(request.path_, object_prefix))
    {
        return send(response, status_not_found,
                    error_json("unknown path or method"));
    }
    if (request.method_ == kj::HttpMethod::PUT)
    {
        return put(request, response);
    }
    if (!is_get)
    {
        return send(response, status_bad_request,
                    error_json("method is not GET or PUT"));
    }
    return is_watch(request) ? watch(request, response)
                             : get(request, response);
}

kj::Promise<void> platform_service::get(const api_request& request,
                                        Response& response)
{
    const std::string name = object_name(request);
    const bool stale = faults_.should_inject(faults_.plan_.stale_read_rate_);
    const stored_object object =
        stale ? store_.find_previous(name) : store_.find(name);
    if (object.version_ == 0)
    {
        return send(response, status_not_found,
                    error_json("object does not exist"));
    }
    return send(response, status_ok, object_json(object));
}

kj::Promise<void> platform_service::put(const api_request& request,
                                        Response& response)
{
    std::uint64_t expected = 0;
    if (!parse_number(request.if_match_, expected))
    {
        return send(response, status_bad_request,
                    error_json("If-Match is not a version"));
    }
    if (request.body_.size() > max_value_bytes)
    {
        return send(response, status_too_large,
                    error_json("value exceeds 1 MiB"));
    }
    if (!json::accept(request.body_))
    {
        return send(response, status_bad_request,
                    error_json("value is not JSON"));
    }
    const std::string name = object_name(request);
    const stored_object current = store_.find(name);
    if (current.version_ != 0 &&
        fault_injector::consume_one(faults_.plan_.conflict_next_writes_))
    {
        store_.put_if(name, current.version_, current.value_);
    }
    const bool written = store_.put_if(name, expected, request.body_);
    if (fault_injector::consume_one(faults_.plan_.lose_answer_next_writes_))
    {
        return disconnect_error();
    }
    return send(response, written ? status_ok : status_precondition_failed,
                version_json(store_.find(name).version_));
}

kj::Promise<void> platform_service::list(const api_request& request,
                                         Response& response)
{
    const auto prefix = request.query_.find("prefix");
    json objects = json::array();
    for (const auto& [name, version] :
         store_.list(prefix == request.query_.end() ? "" : prefix->second))
    {
        objects.push_back({{"name", name}, {"version", version}});
    }
    return send(response, status_ok,
                json{{"objects", std::move(objects)}}.dump());
}

kj::Promise<void> platform_service::watch(const api_request& request,
                                          Response& response)
{
    std::uint64_t known_version = 0;
    if (!parse_number(request.query_.at("watch"), known_version))
    {
        return send(response, status_bad_request,
                    error_json("parameter watch is not a version"));
    }
    const std::string name = object_name(request);
    const std::uint64_t version = store_.find(name).version_;
    const bool inject_duplicate =
        version != 0 &&
        faults_.should_inject(faults_.plan_.watch_.duplicate_rate_);
    if (version > known_version || inject_duplicate)
    {
        return send_event(name, response);
    }
    return await_event(request, response);
}

kj::Promise<void> platform_service::await_event(const api_request& request,
                                                Response& response)
{
    std::uint64_t wait_ms = max_wait_ms;
    const auto wait = request.query_.find("wait_ms");
    if (wait != request.query_.end() && !parse_number(wait->second, wait_ms))
    {
        return send(response, status_bad_request,
                    error_json("parameter wait_ms is not a number"));
    }
    const std::string name = object_name(request);
    const auto wait_limit = std::min(wait_ms, max_wait_ms) * kj::MILLISECONDS;
    ++calls_.pending_watches_;
    auto written = store_.next_write(name).then([] { return true; });
    auto elapsed = timer_.afterDelay(wait_limit).then([] { return false; });
    return written.exclusiveJoin(kj::mv(elapsed))
        .attach(kj::defer([this] { --calls_.pending_watches_; }))
        .then(
            [this, name, &response](bool has_event) -> kj::Promise<void>
            {
                if (!has_event)
                {
                    return send(response, status_not_modified, "");
                }
                return send_event(name, response);
            });
}

kj::Promise<void> platform_service::send_event(const std::string& name,
                                               Response& response)
{
    const watch_faults& faults = faults_.plan_.watch_;
    const stored_object object = faults_.should_inject(faults.reorder_rate_)
                                     ? store_.find_previous(name)
                                     : store_.find(name);
    return timer_.afterDelay(faults.event_delay_ms_ * kj::MILLISECONDS)
        .then([this, object, &response]
              { return send(response, status_ok, object_json(object)); });
}

kj::Promise<void> platform_service::send(Response& response, kj::uint status,
                                         std::string body)
{
    kj::HttpHeaders headers(*headers_.table_);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    auto stream = response.send(status, status == status_ok ? "OK" : "Not OK",
                                headers, body.size());
    if (body.empty())
    {
        return kj::READY_NOW;
    }
    auto text = kj::heap<std::string>(std::move(body));
    auto written = stream->write(text->data(), text->size());
    return written.attach(kj::mv(stream), kj::mv(text));
}

void platform_service::count_call(const api_request& request)
{
    if (request.method_ == kj::HttpMethod::PUT)
    {
        ++calls_.put_;
        count_in_window(writes_, calls_.peak_writes_per_second_);
        return;
    }
    if (request.path_ == objects_path)
    {
        ++calls_.list_;
    }
    else if (is_watch(request))
    {
        ++calls_.watch_;
    }
    else
    {
        ++calls_.get_;
    }
    count_in_window(reads_, calls_.peak_reads_per_second_);
}

void platform_service::count_in_window(one_second_window& window,
                                       std::uint64_t& peak)
{
    if (timer_.now() - window.start_ >= 1 * kj::SECONDS)
    {
        window = {timer_.now(), 0};
    }
    ++window.count_;
    peak = std::max(peak, window.count_);
}

kj::Promise<void> disconnect_error_handler::handleApplicationError(
    kj::Exception exception, kj::Maybe<kj::HttpService::Response&> response)
{
    if (exception.getType() == kj::Exception::Type::DISCONNECTED)
    {
        return kj::READY_NOW;
    }
    return kj::HttpServerErrorHandler::handleApplicationError(kj::mv(exception),
                                                              response);
}

} // namespace galenafork::standin
