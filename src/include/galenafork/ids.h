/// \file
/// Identifiers of services, instances, buckets and versions.

#ifndef GALENAFORK_IDS_H
#define GALENAFORK_IDS_H

#include <galenafork/strong_type.h>

#include <cstdint>
#include <string>

namespace galenafork
{

/// Name of a service, as written in the rule file: 1 to 63 characters of
/// `a-z`, `0-9` and `-`.
using service_name = strong_type<struct service_name_tag, std::string>;

/// Name of one instance, unique within its service; same alphabet as a
/// service name.
using instance_id = strong_type<struct instance_id_tag, std::string>;

/// Name of a data centre; same alphabet as a service name.
using data_centre = strong_type<struct data_centre_tag, std::string>;

/// Random number that an instance chooses anew each time it starts or rejoins.
/// A message for another incarnation of the receiver is never acted on. Zero
/// means "none".
using incarnation = strong_type<struct incarnation_tag, std::uint64_t>;

/// Version of a service's roster; increases by one with each change.
using epoch = strong_type<struct epoch_tag, std::uint64_t>;

/// Version of the accepted rule file; increases by one with each change.
using rules_version = strong_type<struct rules_version_tag, std::uint64_t>;

/// Index of a bucket of a service, below `bucket_count`.
using bucket_id = strong_type<struct bucket_id_tag, std::uint16_t>;

/// Index of a member in its roster's member list.
using member_index = strong_type<struct member_index_tag, std::uint16_t>;

/// Number of slots of an upstream, that is, of requests that it serves
/// concurrently.
using slot_count = strong_type<struct slot_count_tag, std::uint32_t>;

/// Random id of one write, stored in the written object. A writer that did not
/// receive the response finds out by the id whether the write took effect.
using write_id = strong_type<struct write_id_tag, std::string>;

/// Number of buckets of each service.
inline constexpr std::uint16_t bucket_count = 256;

/// Maximum length of a service, instance or data centre name, in bytes.
inline constexpr std::size_t max_name_bytes = 63;

/// Returns the incarnation after `current`, for a member whose incarnation is
/// renewed by a roster change and not by the instance itself.
incarnation next_incarnation(incarnation current);

/// Returns true if `text` is valid as the name of a service, an instance or a
/// data centre.
bool is_valid_name(const std::string& text);

} // namespace galenafork

#endif
