/// \file
/// Moves spans from the queue to their collector.

#ifndef GALENAFORK_LIBDAEMON_SPAN_EXPORTER_H
#define GALENAFORK_LIBDAEMON_SPAN_EXPORTER_H

#include <galenafork/trace_export.h>

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <string>

namespace galenafork::pvt
{

/// Sends batches of spans; at most one HTTP request at a time.
class span_exporter
{
public:
    /// All arguments but the texts outlive the exporter.
    span_exporter(span_queue& queue, span_writer writer,
                  std::optional<endpoint> http, std::string program,
                  std::string instance, const kj::HttpHeaderTable& headers,
                  kj::AsyncIoContext& io);

    /// Sends what the queue holds, at most one batch.
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
    bool busy_ = false;
};

} // namespace galenafork::pvt

#endif
