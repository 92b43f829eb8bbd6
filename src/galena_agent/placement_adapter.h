/// \file
/// Chooses the owner of a new flow by the load policy.

#ifndef GALENAFORK_GALENA_AGENT_PLACEMENT_ADAPTER_H
#define GALENAFORK_GALENA_AGENT_PLACEMENT_ADAPTER_H

#include <galenafork/agent_core.h>

namespace galenafork
{

/// `owner_chooser` by `choose_owner` of the load policy: candidates are this
/// agent, by its own count, and its live serving peers, by their heartbeats.
instance_incarnation choose_by_load(const agent_state& state, bucket_id bucket,
                                    instant now, std::uint64_t draw);

} // namespace galenafork

#endif
