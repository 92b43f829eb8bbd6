#include <common/options.h>

#include <iostream>
#include <stdexcept>

namespace galenafork::standin
{

namespace po = boost::program_options;

namespace
{

constexpr int exit_failed = 1;
constexpr int exit_usage = 2;

} // namespace

int run_program(int argc, char** argv, const po::options_description& options,
                const std::function<int()>& body)
{
    po::options_description all(options);
    all.add_options()("help", "print the options and exit");
    try
    {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, all), values);
        if (values.count("help") != 0)
        {
            std::cout << all;
            return 0;
        }
        po::notify(values);
    }
    catch (const po::error& e)
    {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
    try
    {
        return body();
    }
    catch (const std::invalid_argument& e)
    {
        std::cerr << e.what() << '\n';
        return exit_usage;
    }
    catch (const std::exception& e)
    {
        std::cerr << e.what() << '\n';
        return exit_failed;
    }
}

endpoint endpoint_argument(const std::string& text)
{
    const auto parsed = parse_endpoint(text);
    if (!parsed.has_value())
    {
        throw std::invalid_argument(parsed.error().message_);
    }
    return *parsed;
}

std::pair<endpoint, endpoint> endpoint_pair_argument(const std::string& text)
{
    const auto equals = text.find('=');
    if (equals == std::string::npos)
    {
        throw std::invalid_argument("'" + text +
                                    "' is not of the form IP:PORT=IP:PORT");
    }
    return {endpoint_argument(text.substr(0, equals)),
            endpoint_argument(text.substr(equals + 1))};
}

} // namespace galenafork::standin
