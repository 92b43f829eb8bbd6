/// \file
/// Command lines of stand-ins.

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

/// Parses the command line into `options`, then runs `body`; returns the exit
/// status. Prints the options and returns 0 for `--help`; prints the reason
/// and returns 2 for a bad command line, 1 if `body` throws.
int run_program(int argc, char** argv,
                const boost::program_options::options_description& options,
                const std::function<int()>& body);

/// `text` as an endpoint; throws `std::invalid_argument`.
endpoint endpoint_argument(const std::string& text);

/// Two endpoints written `A=B`; throws `std::invalid_argument`.
std::pair<endpoint, endpoint> endpoint_pair_argument(const std::string& text);

/// Milliseconds as a duration.
constexpr duration milliseconds(std::int64_t count)
{
    return std::chrono::milliseconds(count);
}

} // namespace galenafork::standin

#endif
