/// \file
/// Cap'n Proto encoding of the state that balancers replicate.

#ifndef GALENAFORK_REPLICATED_STATE_CODEC_H
#define GALENAFORK_REPLICATED_STATE_CODEC_H

#include <galenafork/replicated_state.h>
#include <libdaemon/control.capnp.h>

#include <tl/expected.hpp>
#include <vector>

namespace galenafork
{

/// \name Writing
/// @{
void write(rpc::Endpoint::Builder out, const endpoint& value);
void write(rpc::Digest::Builder out, const state_digest& value);
void write(rpc::Versions::Builder out, const state_versions& value);
void write(rpc::Update::Builder out, const state_update& value);
/// @}

/// \name Reading
/// Each fails with `bad_message`; an update with invalid rules fails with
/// `bad_rule`.
/// @{
tl::expected<endpoint, error> read(rpc::Endpoint::Reader in);
tl::expected<state_digest, error> read(rpc::Digest::Reader in);
tl::expected<state_versions, error> read(rpc::Versions::Reader in);
tl::expected<state_update, error> read(rpc::Update::Reader in);
/// @}

} // namespace galenafork

#endif
