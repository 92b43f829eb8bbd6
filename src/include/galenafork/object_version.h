/// \file
/// Versions of the objects in the platform's store.

#ifndef GALENAFORK_OBJECT_VERSION_H
#define GALENAFORK_OBJECT_VERSION_H

#include <galenafork/strong_type.h>

#include <cstdint>

namespace galenafork
{

/// Version of an object in the platform; increases with each write.
using object_version = strong_type<struct object_version_tag, std::uint64_t>;

/// The version of an object that does not exist.
inline constexpr object_version no_object_version{0};

/// Number of times that the platform's store has come back from an older copy
/// of its data. Versions of objects are comparable only within one era. Zero if
/// the store does not report it.
using store_era = strong_type<struct store_era_tag, std::uint64_t>;

} // namespace galenafork

#endif
