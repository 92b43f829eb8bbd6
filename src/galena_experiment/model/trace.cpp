#include "trace.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace galenafork::pvt
{

namespace
{

// Streams of random numbers of one flow.
constexpr std::uint64_t cost_stream = 0x1000000000000000U;
constexpr std::uint64_t pause_stream = 0x2000000000000000U;

using bucket_weights = std::array<double, bucket_count>;

duration exponential(duration mean, double uniform)
{
    const double drawn =
        -std::log1p(-uniform) * static_cast<double>(mean.count());
    return duration(std::max<duration::rep>(std::llround(drawn), 1));
}

// Inverse of the bounded Pareto distribution function.
std::uint32_t flow_length(const service_setup& service, double uniform)
{
    const double tail = service.flow_tail_;
    const double low = std::pow(service.flow_min_requests_, tail);
    const double high = std::pow(service.flow_max_requests_ + 1, tail);
    const double inner = (uniform * high - uniform * low - high) / (high * low);
    return static_cast<std::uint32_t>(std::pow(-inner, -1 / tail));
}

// Share of the flows that each bucket brings. Ranks are dealt over the buckets
// by a step that is prime to their number, so that popular buckets do not all
// have the same home.
bucket_weights popularity(const service_setup& service)
{
    constexpr std::size_t step = 89;
    bucket_weights weights{};
    double sum = 0;
    for (std::size_t rank = 0; rank < weights.size(); ++rank)
    {
        const double weight =
            std::pow(static_cast<double>(rank + 1), -service.bucket_skew_);
        weights[rank * step % bucket_count] = weight;
        sum += weight;
    }
    for (double& weight : weights)
    {
        weight /= sum;
    }
    return weights;
}

std::size_t draw_bucket(const bucket_weights& cumulative, double uniform)
{
    const auto* found =
        std::upper_bound(cumulative.begin(), cumulative.end(), uniform);
    const auto index = static_cast<std::size_t>(found - cumulative.begin());
    return std::min(index, cumulative.size() - 1);
}

} // namespace

std::uint64_t random_source::bits()
{
    state_ += 0x9e3779b97f4a7c15U;
    std::uint64_t x = state_;
    x = (x ^ (x >> 30U)) * 0xbf58476d1ce4e5b9U;
    x = (x ^ (x >> 27U)) * 0x94d049bb133111ebU;
    return x ^ (x >> 31U);
}

double random_source::uniform()
{
    constexpr double unit = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(bits() >> 11U) * unit;
}

duration cost_of(const traced_flow& flow, std::uint32_t number,
                 const service_setup& service)
{
    random_source source(flow.seed_ ^ (cost_stream + number));
    return exponential(service.request_cost_, source.uniform());
}

duration pause_before(const traced_flow& flow, std::uint32_t number,
                      const service_setup& service)
{
    random_source source(flow.seed_ ^ (pause_stream + number));
    return exponential(service.think_time_, source.uniform());
}

std::vector<traced_flow> make_trace(const service_setup& service, double load,
                                    duration length, std::uint64_t seed)
{
    random_source source(seed);
    const double requests =
        load * capacity(service) * static_cast<double>(length.count()) / 1e6;
    bucket_weights cumulative = popularity(service);
    std::partial_sum(cumulative.begin(), cumulative.end(), cumulative.begin());
    std::vector<traced_flow> trace;
    std::vector<double> starts;
    double sum = 0;
    double at = 0;
    while (sum < requests)
    {
        at += -std::log1p(-source.uniform());
        starts.push_back(at);
        traced_flow flow;
        flow.bucket_ = draw_bucket(cumulative, source.uniform());
        flow.requests_ = flow_length(service, source.uniform());
        flow.seed_ = source.bits();
        sum += flow.requests_;
        trace.push_back(flow);
    }
    const double scale = static_cast<double>(length.count()) / at;
    for (std::size_t i = 0; i < trace.size(); ++i)
    {
        trace[i].start_ = instant(duration(std::llround(starts[i] * scale)));
    }
    return trace;
}

} // namespace galenafork::pvt
