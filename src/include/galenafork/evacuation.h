/// \file
/// Evacuations of data centres: how their states are ordered and compared.

#ifndef GALENAFORK_EVACUATION_H
#define GALENAFORK_EVACUATION_H

#include <galenafork/pass_types.h>

#include <cstddef>
#include <set>
#include <string>
#include <vector>

namespace galenafork
{

/// Result of applying an `evacuation_state`.
enum class evacuation_update
{
    /// The state is not later than the current one, or the process does not
    /// follow evacuations.
    ignored,
    /// The state is later, but has the same data centres.
    renewed,
    /// Other data centres are evacuated now.
    changed,
};

/// Returns whether `state` was read from the store: the state of a process that
/// knows no evacuations yet has no revision.
bool is_known(const evacuation_state& state);

/// Returns whether `dc` is evacuated.
bool is_evacuated(const evacuation_state& state, const data_centre& dc);

/// Replaces `current` by `next` if `next` is later by era and revision.
evacuation_update apply_evacuations(evacuation_state& current,
                                    const evacuation_state& next);

/// Names of data centres in the store's entries, sorted and without duplicates.
struct evacuation_names
{
    std::vector<data_centre> data_centres_;
    /// Names that are malformed or exceed `max_evacuated_data_centres`.
    std::size_t ignored_ = 0;
};

/// Maximum number of evacuated data centres. With names of the maximum length
/// they fit into a hello, which is one datagram.
inline constexpr std::size_t max_evacuated_data_centres = 16;

/// Selects the valid ones of `names`: at most `max_name_bytes` bytes without
/// control characters. If there are too many, names in `known` take precedence.
evacuation_names select_evacuations(const std::vector<std::string>& names,
                                    const std::set<data_centre>& known);

/// Intervals of a balancer's reads of the evacuations.
struct evacuation_read_settings
{
    /// Time from a failed read to the next one.
    duration retry_interval_ = std::chrono::milliseconds(500);
    /// The store counts as failing if it has given no response for this time. A
    /// balancer is then ready without knowing the evacuations.
    duration failing_after_ = std::chrono::seconds(2);
};

} // namespace galenafork

#endif
