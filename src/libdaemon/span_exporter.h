/// \file
/// Exports spans from the queue to a file or a collector.

#ifndef GALENAFORK_LIBDAEMON_SPAN_EXPORTER_H
#define GALENAFORK_LIBDAEMON_SPAN_EXPORTER_H

#include <galenafork/trace_export.h>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <string>

namespace galenafork::pvt
{

/// Exports spans in batches, with at most one HTTP request in flight.
class span_exporter
{
public:
    /// `queue`, `headers` and `io` must outlive the exporter.
    span_exporter(span_queue& queue, span_writer writer,
                  std::optional<endpoint> http, std::string program,
                  std::string instance, const kj::HttpHeaderTable& headers,
                  kj::AsyncIoContext& io);

    /// Exports up to one batch of the queued spans. Does nothing while the HTTP
    /// request of an earlier batch is in flight.
    kj::Promise<void> flush();

private:
    kj::Promise<void> post(const std::string& batch);

    span_queue& queue_;
    span_writer writer_;
    std::optional<endpoint> http_;
    std::string program_;
    std::string instance_;
    const kj::HttpHeaderTable& headers_;
    kj::Own<kj::HttpClient> client_;
    bool post_in_flight_ = false;
};

} // namespace galenafork::pvt

#endif
