/// \file
/// Lets the agent core choose owners of new flows by the load policy.

#ifndef GALENAFORK_GALENA_AGENT_PLACEMENT_ADAPTER_H
#define GALENAFORK_GALENA_AGENT_PLACEMENT_ADAPTER_H

#include <galenafork/agent_core.h>

namespace galenafork
{

/// An `owner_chooser` that calls `choose_owner` of the load policy. Candidates
/// are this agent, with its own count of requests, and its live peers, with the
/// load reports of their heartbeats; a peer that is not serving or has sent no
/// report gets no flow. Returns this agent if no candidate can be chosen.
instance_incarnation choose_by_load(const agent_state& state, bucket_id bucket,
                                    instant now, std::uint64_t random_bits);

} // namespace galenafork

#endif
