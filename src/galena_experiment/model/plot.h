/// \file
/// Plot of results as SVG.

#ifndef GALENAFORK_EXPERIMENT_PLOT_H
#define GALENAFORK_EXPERIMENT_PLOT_H

#include "results.h"

#include <string>

namespace galenafork::pvt
{

/// Returns an SVG image with one panel for each service. Each scenario has one
/// bar for each strategy, whose height is the highest over the mean load in
/// one-second windows.
std::string plot(const results& all);

} // namespace galenafork::pvt

#endif
