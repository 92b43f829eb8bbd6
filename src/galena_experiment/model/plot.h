/// \file
/// A plot of results as SVG.

#ifndef GALENAFORK_EXPERIMENT_PLOT_H
#define GALENAFORK_EXPERIMENT_PLOT_H

#include "results.h"

#include <string>

namespace galenafork::pvt
{

/// An SVG with one panel for each service: for each scenario, bars of the
/// highest load over the mean (one-second windows) under each strategy.
std::string plot(const results& all);

} // namespace galenafork::pvt

#endif
