/// \file
/// Command-line parsing of the stand-ins.

#ifndef GALENAFORK_STANDINS_OPTIONS_H
#define GALENAFORK_STANDINS_OPTIONS_H

#include <galenafork/endpoint.h>
#include <galenafork/time.h>

#include <boost/program_options.hpp>
#include <functional>
#include <string>
#include <vector>

namespace galenafork::standin
{

/// Parses the command line into `options`, then runs `body` and returns its
/// exit status. Prints the options and returns 0 for `--help`. Prints an error
/// and returns 2 for an invalid command line or if `body` throws
/// `std::invalid_argument`, 1 if `body` throws another exception.
int run_program(int argc, char** argv,
                const boost::program_options::options_description& options,
                const std::function<int()>& body);

/// Parses `IP:PORT`; throws `std::invalid_argument` if that fails.
endpoint endpoint_argument(const std::string& text);

/// Parses `IP:PORT=IP:PORT`; throws `std::invalid_argument` if that fails.
std::pair<endpoint, endpoint> endpoint_pair_argument(const std::string& text);

/// Converts milliseconds to a duration.
constexpr duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace galenafork::standin

#endif
