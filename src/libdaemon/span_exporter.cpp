#include <libdaemon/span_exporter.h>

namespace galenafork::pvt
{

namespace
{

// Limits the number of spans in a batch, so that a batch of typical spans fits
// into one UDP datagram.
constexpr std::size_t max_batch_spans = 64;

} // namespace

span_exporter::span_exporter(span_queue& queue, span_writer writer,
                             std::optional<endpoint> http, std::string program,
                             std::string instance,
                             const kj::HttpHeaderTable& headers,
                             kj::AsyncIoContext& io)
    : queue_(queue), writer_(std::move(writer)), http_(http),
      program_(std::move(program)), instance_(std::move(instance)),
      headers_(headers),
      client_(kj::newHttpClient(io.provider->getTimer(), headers,
                                io.provider->getNetwork(), nullptr))
{
}

kj::Promise<void> span_exporter::flush()
{
    if (post_in_flight_)
    {
        return kj::READY_NOW;
    }
    const auto spans = queue_.pop_batch(max_batch_spans);
    if (spans.empty())
    {
        return kj::READY_NOW;
    }
    const std::string batch = to_otlp_json(program_, instance_, spans);
    writer_.write(batch);
    if (!http_)
    {
        return kj::READY_NOW;
    }
    post_in_flight_ = true;
    // If the collector can't be reached, only the spans of this batch are lost.
    return post(batch).then([this] { post_in_flight_ = false; },
                            [this](kj::Exception&&)
                            { post_in_flight_ = false; });
}

kj::Promise<void> span_exporter::post(const std::string& batch)
{
    const std::string url = "http://" + to_string(*http_) + "/v1/traces";
    kj::HttpHeaders headers(headers_);
    headers.set(kj::HttpHeaderId::CONTENT_TYPE, "application/json");
    auto body = kj::heapString(batch.data(), batch.size());
    auto request = client_->request(kj::HttpMethod::POST, url.c_str(), headers,
                                    body.size());
    auto written = request.body->write(body.begin(), body.size())
                       .attach(kj::mv(body), kj::mv(request.body));
    return written
        .then([response = kj::mv(request.response)]() mutable
              { return kj::mv(response); })
        .then(
            [](kj::HttpClient::Response&& response)
            {
                return response.body->readAllBytes().ignoreResult().attach(
                    kj::mv(response.body));
            });
}

} // namespace galenafork::pvt
