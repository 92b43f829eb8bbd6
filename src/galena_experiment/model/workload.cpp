#include "workload.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numeric>

namespace galenafork::pvt
{

namespace
{

// Stream numbers, which separate the random numbers for the request costs of a
// flow from those for its think times.
constexpr std::uint64_t cost_stream = 0x1000000000000000U;
constexpr std::uint64_t think_time_stream = 0x2000000000000000U;

using bucket_weights = std::array<double, bucket_count>;

duration exponential_duration(duration mean, double uniform)
{
    const double value =
        -std::log1p(-uniform) * static_cast<double>(mean.count());
    return duration(std::max<duration::rep>(std::llround(value), 1));
}

// Returns the inverse of the bounded Pareto distribution function at `uniform`,
// rounded down.
std::uint32_t request_count(const service_setup& service, double uniform)
{
    const double tail = service.flow_tail_;
    const double low = std::pow(service.flow_min_requests_, tail);
    const double high = std::pow(service.flow_max_requests_ + 1, tail);
    const double inner = (uniform * high - uniform * low - high) / (high * low);
    return static_cast<std::uint32_t>(std::pow(-inner, -1 / tail));
}

// Returns the fraction of the flows that falls into each bucket. The step
// between the buckets of consecutive ranks is coprime to the number of buckets,
// so that each bucket has one rank. The step keeps popular buckets apart,
// because consecutive buckets often have the same home.
bucket_weights bucket_popularity(const service_setup& service)
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

std::size_t bucket_at(const bucket_weights& cumulative, double uniform)
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
    constexpr double resolution = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(bits() >> 11U) * resolution;
}

duration request_cost(const workload_flow& flow, std::uint32_t index,
                      const service_setup& service)
{
    random_source source(flow.seed_ ^ (cost_stream + index));
    return exponential_duration(service.request_cost_, source.uniform());
}

duration think_time_before(const workload_flow& flow, std::uint32_t index,
                           const service_setup& service)
{
    random_source source(flow.seed_ ^ (think_time_stream + index));
    return exponential_duration(service.think_time_, source.uniform());
}

std::vector<workload_flow> make_workload(const service_setup& service,
                                         double load, duration length,
                                         std::uint64_t seed)
{
    random_source source(seed);
    const double target_requests =
        load * capacity(service) * static_cast<double>(length.count()) / 1e6;
    bucket_weights cumulative = bucket_popularity(service);
    std::partial_sum(cumulative.begin(), cumulative.end(), cumulative.begin());
    std::vector<workload_flow> workload;
    std::vector<double> start_times;
    double generated_requests = 0;
    double time = 0;
    while (generated_requests < target_requests)
    {
        time += -std::log1p(-source.uniform());
        start_times.push_back(time);
        workload_flow flow;
        flow.bucket_ = bucket_at(cumulative, source.uniform());
        flow.request_count_ = request_count(service, source.uniform());
        flow.seed_ = source.bits();
        generated_requests += flow.request_count_;
        workload.push_back(flow);
    }
    const double scale = static_cast<double>(length.count()) / time;
    for (std::size_t i = 0; i < workload.size(); ++i)
    {
        workload[i].starts_at_ =
            instant(duration(std::llround(start_times[i] * scale)));
    }
    return workload;
}

} // namespace galenafork::pvt
