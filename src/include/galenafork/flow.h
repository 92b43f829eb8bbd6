/// \file
/// Flows and the buckets that they hash to.

#ifndef GALENAFORK_FLOW_H
#define GALENAFORK_FLOW_H

#include <galenafork/endpoint.h>
#include <galenafork/ids.h>

#include <cstddef>
#include <functional>

namespace galenafork
{

/// Identifies a flow: the datagrams between one socket of a caller and one
/// service address.
struct flow_key
{
    endpoint caller_;
    endpoint service_address_;

    friend bool operator==(const flow_key& a, const flow_key& b)
    {
        return a.caller_ == b.caller_ &&
               a.service_address_ == b.service_address_;
    }
    friend bool operator<(const flow_key& a, const flow_key& b)
    {
        if (a.caller_ != b.caller_)
        {
            return a.caller_ < b.caller_;
        }
        return a.service_address_ < b.service_address_;
    }
};

/// Returns the 64-bit hash of a flow. It must be the same on every machine and
/// in every version, because balancers and agents have to agree on it.
std::uint64_t hash_of(const flow_key& flow);

/// Returns the bucket that a flow belongs to.
bucket_id bucket_of(const flow_key& flow);

} // namespace galenafork

template <>
struct std::hash<galenafork::flow_key>
{
    std::size_t operator()(const galenafork::flow_key& flow) const noexcept
    {
        return galenafork::hash_of(flow);
    }
};

#endif
